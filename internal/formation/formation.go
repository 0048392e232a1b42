// Package formation assigns the engines of one availability zone to groups, opens a group
// once all its members are ready, and dissolves it when a member fails or leaves.
//
// Plan is a pure function from engine state, claims and time to updated claims and
// orders. The Controller probes the engines, commits the claims under the zone's lease
// and sends the orders. A claim is written before the first join and removed only once
// the group's head can no longer accept requests. This keeps every engine out of a second
// serving group across owner changes and late orders.
package formation

import (
	"context"
	"errors"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Group is the claim on a group's members. The first member is the head.
type Group struct {
	Name    string      `json:"name"` // unique, never reused
	Epoch   uint64      `json:"epoch"`
	Service string      `json:"service"`
	Model   string      `json:"model"`
	Domain  string      `json:"domain"`
	Members []roster.ID `json:"members"`
	// Ending marks a group that is being dissolved and never serves again. Members then
	// lists only the engines that may still be in it.
	Ending bool `json:"ending,omitempty"`
}

// Head returns the member that receives the group's requests.
func (g *Group) Head() roster.ID { return g.Members[0] }

// Ledger is the set of claims of one availability zone.
type Ledger struct {
	Groups []Group `json:"groups"`
	// Era is the table era in which the claims were written. Claims read in a later era
	// come from an older copy of the table.
	Era uint64 `json:"era,omitempty"`
}

// Op is the kind of an order.
type Op int

// The kinds of orders.
const (
	Join  Op = iota // become a member of a group
	Open            // start accepting requests; sent to the head
	Close           // stop accepting requests; sent to the head
	Leave           // leave the group
	Stage           // load a model's weights onto the host
)

var opText = [...]string{"join", "open", "close", "leave", "stage"}

// String returns the order's name.
func (o Op) String() string { return opText[o] }

// CloseMode determines what happens to the requests in flight when a group closes.
type CloseMode int

// The close modes.
const (
	Finish   CloseMode = iota // requests in flight complete
	Truncate                  // requests in flight are aborted
)

// Order is an order to one engine.
type Order struct {
	To      roster.ID
	Op      Op
	Group   string
	Epoch   uint64
	Model   string      // set for Join and Stage
	Members []roster.ID // set for Join
	Mode    CloseMode   // set for Close
	// ExpectedCount, if set, is the number of orders that the engine must have begun so far. If
	// the engine's count differs, it answers Conflict and ignores the order. This voids
	// a delayed join once the engine has begun a newer order.
	ExpectedCount *uint64
	Reason        string
}

// OrderResult is an engine's response to an order.
type OrderResult int

// The possible responses.
const (
	Lost         OrderResult = iota // no response: the order may be executed now, later or never
	Begun                           // accepted, in progress
	Done                            // the requested state is already reached
	Rejected                        // a join with an epoch that the engine has superseded
	Conflict                        // the engine's state or order count doesn't match
	OtherProcess                    // another process has the address: the engine is gone
)

var orderResultText = [...]string{"lost", "begun", "done", "rejected", "conflict", "other_life"}

// String returns the name used in logs.
func (v OrderResult) String() string { return orderResultText[v] }

// ErrOtherProcess is returned when another process answers at an engine's address. The
// engine that had the address has ended permanently.
var ErrOtherProcess = errors.New("formation: another process has the engine's address; the engine is gone")

// ErrRestarted is returned when an engine has restarted under its name and address. The
// requested incarnation has ended, and its state is lost.
var ErrRestarted = errors.New("formation: the engine has restarted; its previous incarnation has ended")

// ErrEarlierIncarnation is returned for a response from an earlier incarnation than the
// requested one. It says nothing about the requested incarnation.
var ErrEarlierIncarnation = errors.New("formation: the response is from an earlier incarnation of the engine and is ignored")

// Report is an engine's reported state.
type Report struct {
	Member     roster.Membership
	OrderCount uint64 // number of orders that the engine has begun
	Model      string // model of the newest group
	Staged     []string
	Domain     string
	Busy       bool // an order is in progress
	Queued     int
	Active     int
	Pace       float64 // factor on the engine's usual times; slow if above 1
}

// Engines sends orders to engines and queries their state.
type Engines interface {
	Report(ctx context.Context, addr string, id roster.ID) (Report, error)
	Order(ctx context.Context, addr string, o Order) (OrderResult, error)
}

// EngineState is the known state of one engine.
type EngineState struct {
	ID              roster.ID
	Addr            string // ip:port
	Domain          string
	Draining        bool
	Listed          bool          // in the platform's list of endpoints
	Report          Report        // newest report
	ReportedAt      clock.Instant // when the newest report was requested; 0 if none
	FailingSince    clock.Instant // start of the first failed probe in the current run of failures; 0 if the last one succeeded
	Failures        int           // consecutive failed probes
	LastMissedAt    clock.Instant // when the newest failed probe was started
	RecoveredAt     clock.Instant // when the first successful probe after the newest failure was started; 0 if none has failed
	Ended           bool          // the process has certainly ended
	Restarted       bool          // the engine has restarted under its name and address
	OrderStateUntil clock.Instant // until then, answers to orders override reports, which lag
	OrderCountUntil clock.Instant // reports requested before this may contain an order count that is too low
	ReportedOrders  uint64        // highest number of begun orders in a report
	EarlierReports  int           // reports in a row with a lower one
	LastJoin        string        // group of the newest join that the engine has begun
	LastActivity    clock.Instant // newest activity seen on requests that the engine serves as a head
	RefusedGroup    string        // group that the engine refused to join because it has seen a later epoch
	Stalled         bool          // requests that the engine serves as a head have stalled
}

// Params contains the timeouts and limits of the planner.
type Params struct {
	DeadAfter          time.Duration // an engine is dead once probes have failed for this long
	DeadFailures       int           // and at least this many have failed in a row
	ResendInterval     time.Duration // delay before an order without visible effect is repeated
	LoadWindow         time.Duration // window of LoadsPerWindow
	LoadsPerWindow     int           // loads that the zone may start in a LoadWindow
	MaxConcurrentLoads int           // loads that the zone may run concurrently
}

// DefaultParams returns the parameters for the platform's load window, the number of
// loads that the zone may start in it, and the number that it may run concurrently.
func DefaultParams(loadWindow time.Duration, loads, atOnce int) Params {
	return Params{
		// Two probes of 250 ms. A single lost packet is resent within 200 ms and fails
		// no probe.
		DeadAfter: 400 * time.Millisecond, DeadFailures: 2,
		ResendInterval: time.Second,
		LoadWindow:     loadWindow, LoadsPerWindow: loads, MaxConcurrentLoads: atOnce,
	}
}
