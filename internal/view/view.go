// Package view keeps a node's merged knowledge of the fleet. Every source of
// information is merged into one State; every decision reads an immutable
// Snapshot of it.
package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// Snapshot is a consistent picture of the fleet as the node knows it. It does
// not change after it is published.
type Snapshot struct {
	At       clock.Instant
	Self     fleet.Node
	Zone     fleet.AvailabilityZone
	Revision uint64           // 0: no revision known; the node is not ready
	Config   *config.Document // nil when Revision is 0
	VMs      []VM             // engine and service VMs, by ID
	Groups   []Group          // by ID, without dissolved groups
	Nodes    []Node           // other entry nodes, by VM
	// PlatformSeen is when the platform last answered this node; 0: never.
	PlatformSeen clock.Instant
	// ListSeen is when the newest VM list was requested; 0: none read yet.
	ListSeen     clock.Instant
	leavingMarks []leavingKey               // sent in digests
	resyncPeers  map[fleet.VM]clock.Instant // asked for their full state by Gossip
}

// VM is the known state of an engine or service VM.
type VM struct {
	Record fleet.Record
	Listed bool // present in the platform's newest list
	// UnlistedSince is the time since which the VM has been missing from the list; 0
	// when it is listed.
	UnlistedSince clock.Instant
	Leaving       bool // sticky for the boot, whatever the source
	Probe         Probe
	Load          fleet.Load
	LoadAt        clock.Instant // estimated time at which the load was measured
	Claim         *Claim        // row of the claims table; nil: no claim known
}

// Claim is the row of one VM in the claims table.
type Claim struct {
	Group      fleet.GroupID    `json:"group"` // empty: the VM is free
	Generation fleet.Generation `json:"generation"`
	Fence      fleet.Fence      `json:"fence"`
	Version    uint64           `json:"-"` // row version, for the next conditional write
}

// Probe is the newest probe result of an endpoint.
type Probe struct {
	State        fleet.EngineState // from the newest answer; engines only
	AnsweredAt   clock.Instant     // send time of the newest answered probe; 0: never answered
	FailingSince clock.Instant     // start of the current run of failed probes; 0: the newest probe was answered
	Failures     int               // consecutive failed probes, as far as known
	RTT          time.Duration
}

// Fresh reports whether the newest probe was answered and was sent no more than
// limit before now.
func (p *Probe) Fresh(now clock.Instant, limit time.Duration) bool {
	return p.AnsweredAt != 0 && p.FailingSince == 0 && now.Sub(p.AnsweredAt) <= limit
}

// Group is the known state of a group.
type Group struct {
	fleet.Group
	RowVersion uint64 // version of the group's row
	// Whole is set when every member's newest probe reports this generation and
	// the boot ID that the generation names, and no member is leaving.
	Whole bool
	// FreshUntil is when the oldest of the members' probes expires. A dispatch
	// at or after it requires a new probe first.
	FreshUntil clock.Instant
	Reason     string // why Whole is false
	Load       fleet.Load
	LoadAt     clock.Instant
	// Prefixes is an approximate set of the prefix hashes in the leader's
	// cache.
	Prefixes map[uint64]struct{}
}

// NodeState is the state of an entry node as seen by its peers.
type NodeState string

// The values of NodeState.
const (
	NodeAlive   NodeState = "alive"
	NodeSuspect NodeState = "suspect"
	NodeDead    NodeState = "dead"
	NodeLeft    NodeState = "left"
)

// Node is the known state of another entry node.
type Node struct {
	fleet.Node
	Zone       fleet.AvailabilityZone
	Addr       string // peer ip:port
	State      NodeState
	StateSince clock.Instant // start of State
	LastHeard  clock.Instant // newest direct or indirect message from the node
	Revision   uint64        // configuration revision in force on the node
	Draining   bool
}

// Source provides the newest snapshot to the filters of the request path.
type Source interface {
	// Snapshot returns the newest snapshot; it is never nil.
	Snapshot() *Snapshot
}
