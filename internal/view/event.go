package view

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// Event is a report that changes the state. In the mailbox the newest event of
// a subject replaces a waiting older one, so an event always carries the
// subject's full state, never a difference.
type Event interface {
	// subject identifies what the event is about, as its key in the mailbox.
	subject() subject
}

type subject struct {
	kind string
	id   string
	from fleet.VM // peer that reported it; empty: observed by this node itself
}

// List is a list of VMs read from the platform.
type List struct {
	At      clock.Instant // send time of the request
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

// Table is the result of one read of the claims and groups tables.
type Table struct {
	At     clock.Instant // send time of the first request
	VMs    []TableVM
	Groups []TableGroup
	// Complete is set when Groups holds every group of Zone: any other group of
	// the zone has been deleted.
	Complete bool
	Zone     fleet.AvailabilityZone
}

// PlatformAnswered reports that the platform answered a request.
type PlatformAnswered struct{ At clock.Instant }

// Probed is the result of one probe.
type Probed struct {
	VM           fleet.VM
	From         fleet.VM      // node that sent the probe; empty: this one
	Sent         clock.Instant // send time of the probe
	RTT          time.Duration
	Answered     bool
	State        fleet.EngineState // if answered; for a service only VM and Boot
	FailingSince clock.Instant     // if not answered: start of the current run of failed probes
	Failures     int               // if not answered: consecutive failed probes
}

// LoadReported is a load report received from an endpoint.
type LoadReported struct {
	From fleet.VM // node that received the report; empty: this one
	At   clock.Instant
	Load fleet.Load
}

// CacheReported is the approximate set of prefixes in an engine's cache. The map must
// not change after the event has been put.
type CacheReported struct {
	VM       fleet.VM
	Boot     fleet.BootID
	Prefixes map[uint64]struct{}
}

// MarkLeaving marks a boot of an endpoint as leaving. An empty Boot stands for
// the newest boot known.
type MarkLeaving struct {
	VM     fleet.VM
	Boot   fleet.BootID
	From   fleet.VM // peer that reported it; empty: detected by this node itself
	Reason string   // origin of the mark: platform list, endpoint, operator, refusal
}

// Members is the newest list of the other entry nodes.
type Members struct{ Nodes []Node }

// Configured is the configuration revision in force.
type Configured struct {
	Revision uint64
	Document *config.Document
}

func (List) subject() subject             { return subject{kind: "list"} }
func (Table) subject() subject            { return subject{kind: "table"} }
func (PlatformAnswered) subject() subject { return subject{kind: "platform"} }
func (e Probed) subject() subject         { return subject{"probe", string(e.VM), e.From} }
func (e LoadReported) subject() subject   { return subject{"load", string(e.Load.VM), e.From} }
func (e CacheReported) subject() subject  { return subject{kind: "cache", id: string(e.VM)} }
func (e MarkLeaving) subject() subject {
	return subject{kind: "leaving", id: string(e.VM) + "|" + string(e.Boot)}
}
func (Members) subject() subject    { return subject{kind: "members"} }
func (Configured) subject() subject { return subject{kind: "config"} }
