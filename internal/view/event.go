package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// Event is one report that changes the belief. The newest event of a subject
// replaces an older one that still waits, so every event must stand alone: it
// carries the subject's state, never a difference.
type Event interface {
	// subject names what the event is about, for the mailbox.
	subject() subject
}

type subject struct {
	kind string
	id   string
	from fleet.VM // the peer that told it; empty: seen by this node itself
}

// List is the platform's newest list of VMs.
type List struct {
	At      clock.Instant // when the request was sent
	Records []fleet.Record
}

// TableVM is a row of the claims table.
type TableVM struct {
	VM    fleet.VM
	Claim Claim
}

// TableGroup is a row of the groups table.
type TableGroup struct {
	Group   fleet.Group
	Version uint64
}

// Table is what one read of the claims and groups tables returned.
type Table struct {
	At     clock.Instant // when the first request was sent
	VMs    []TableVM
	Groups []TableGroup
	// Complete is set when Groups holds every group of Zone: a group of the
	// zone that is missing was deleted.
	Complete bool
	Zone     fleet.AvailabilityZone
}

// PlatformAnswered tells that the platform answered any request.
type PlatformAnswered struct{ At clock.Instant }

// Probed is the result of one probe.
type Probed struct {
	VM       fleet.VM
	From     fleet.VM      // the watching node; empty: this one
	Sent     clock.Instant // when the probe was sent
	RTT      time.Duration
	Answered bool
	State    fleet.EngineState // when answered; for a service only VM and Boot
	Failing  clock.Instant     // when not answered: since when probes have failed
	Failures int               // when not answered: failed probes in a row
}

// Loaded is a load report.
type Loaded struct {
	From fleet.VM // the watching node; empty: this one
	At   clock.Instant
	Load fleet.Load
}

// Cached is the set of prefixes believed to be in an engine's cache. The map
// must not change after it was handed over.
type Cached struct {
	VM       fleet.VM
	Boot     fleet.BootID
	Prefixes map[uint64]struct{}
}

// MarkLeaving says that a life of an endpoint is leaving. An empty Boot stands
// for the life that is known now.
type MarkLeaving struct {
	VM     fleet.VM
	Boot   fleet.BootID
	From   fleet.VM // the peer that told it; empty: learned by this node itself
	Reason string   // who said it: platform list, endpoint, operator, refusal
}

// Members is the newest membership of the entry nodes, this one left out.
type Members struct{ Nodes []Node }

// Configured is the revision in force.
type Configured struct {
	Revision uint64
	Document *config.Document
}

func (List) subject() subject             { return subject{kind: "list"} }
func (Table) subject() subject            { return subject{kind: "table"} }
func (PlatformAnswered) subject() subject { return subject{kind: "platform"} }
func (e Probed) subject() subject         { return subject{"probe", string(e.VM), e.From} }
func (e Loaded) subject() subject         { return subject{"load", string(e.Load.VM), e.From} }
func (e Cached) subject() subject         { return subject{kind: "cache", id: string(e.VM)} }
func (e MarkLeaving) subject() subject {
	return subject{kind: "leaving", id: string(e.VM) + "|" + string(e.Boot)}
}
func (Members) subject() subject    { return subject{kind: "members"} }
func (Configured) subject() subject { return subject{kind: "config"} }
