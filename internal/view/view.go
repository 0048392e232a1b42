// Package view holds what a node believes of the fleet at one moment. All
// sources merge into it; all decisions read it. A Snapshot is never changed
// after it was published.
package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// Snapshot is one consistent belief.
type Snapshot struct {
	At       clock.Instant
	Self     fleet.Node
	Zone     fleet.AvailabilityZone
	Revision uint64           // 0: none known, the node is not ready
	Config   *config.Document // nil when Revision is 0
	VMs      []VM             // engine and service VMs, by ID
	Groups   []Group          // by ID; dissolved groups are left out
	Nodes    []Node           // other entry nodes, by VM
	// PlatformSeen is when the platform last answered; the zero value means
	// never.
	PlatformSeen clock.Instant
	// ListSeen is when the newest list of VMs was asked for; 0: none was read yet.
	ListSeen clock.Instant
	leavings []leavingKey               // for the Teller
	missed   map[fleet.VM]clock.Instant // for Gossip
}

// VM is what is believed of an engine or service VM.
type VM struct {
	Record fleet.Record
	Listed bool // in the platform's newest list
	// Unlisted is since when the VM has been missing from the list; 0 when listed.
	Unlisted clock.Instant
	Leaving  bool // sticky for the boot, whoever said it first
	Probe    Probe
	Load     fleet.Load
	LoadAt   clock.Instant // when the load was true, as well as can be told
	Claim    *Claim        // row of the claims table; nil: not known to be claimed
}

// Claim is the row of one VM in the claims table.
type Claim struct {
	Group      fleet.GroupID    `json:"group"` // empty: free
	Generation fleet.Generation `json:"generation"`
	Fence      fleet.Fence      `json:"fence"`
	Version    uint64           `json:"-"` // of the row, for the next conditional write
}

// Probe is the newest direct word from an endpoint.
type Probe struct {
	State    fleet.EngineState // of the newest answer; engines only
	Answered clock.Instant     // when the newest answered probe was sent; 0: never
	Failing  clock.Instant     // since when probes have gone unanswered; 0: the newest was answered
	Failures int               // probes in a row without an answer, as far as known
	RTT      time.Duration
}

// Fresh reports whether the endpoint answered a probe sent within limit before now.
func (p *Probe) Fresh(now clock.Instant, limit time.Duration) bool {
	return p.Answered != 0 && p.Failing == 0 && now.Sub(p.Answered) <= limit
}

// Group is what is believed of a group.
type Group struct {
	fleet.Group
	RowVersion uint64 // of the group's row
	// Whole is set when every member's newest probe reports this generation
	// and the boot id that the generation names, and none is leaving.
	Whole bool
	// FreshUntil is when the oldest of the members' probes stops being fresh:
	// a dispatch at or after it needs a new probe first.
	FreshUntil clock.Instant
	Reason     string // why not Whole
	Load       fleet.Load
	LoadAt     clock.Instant
	// Prefixes is an approximate set of prefix hashes in the leader's cache.
	Prefixes map[uint64]struct{}
}

// NodeState is the state of an entry node as its peers see it.
type NodeState string

// The states of a node.
const (
	NodeAlive   NodeState = "alive"
	NodeSuspect NodeState = "suspect"
	NodeDead    NodeState = "dead"
	NodeLeft    NodeState = "left"
)

// Node is what is believed of another entry node.
type Node struct {
	fleet.Node
	Zone     fleet.AvailabilityZone
	Addr     string // peer ip:port
	State    NodeState
	Since    clock.Instant // of the state
	Heard    clock.Instant // last direct or indirect word
	Revision uint64        // configuration revision in force there
	Draining bool
}

// Source gives the newest snapshot to the filters of the request path.
type Source interface {
	// Snapshot returns the newest snapshot; never nil.
	Snapshot() *Snapshot
}
