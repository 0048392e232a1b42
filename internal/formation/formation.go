// Package formation forms groups out of the engines of one availability zone,
// opens them when they are whole, and takes them apart when a member is lost or
// leaves.
//
// Plan is pure: facts, claims and time in, changed claims and orders out. The
// Controller probes the engines, commits the claims under the zone's lease and
// gives the orders. A claim is written before the first join and removed only
// when the group's head surely takes no more requests, so that no engine is
// ever a member of two groups that serve, whoever plans and however late an
// order arrives.
package formation

import (
	"context"
	"errors"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Group is the claim on the members of a group. The first member is the head.
type Group struct {
	Name    string      `json:"name"` // never used again
	Epoch   uint64      `json:"epoch"`
	Service string      `json:"service"`
	Model   string      `json:"model"`
	Domain  string      `json:"domain"`
	Members []roster.ID `json:"members"`
	// Ending: the group is being taken apart and never serves again. Its members
	// are then those that are not surely out of it.
	Ending bool `json:"ending,omitempty"`
}

// Head returns the member that takes the group's requests.
func (g *Group) Head() roster.ID { return g.Members[0] }

// Ledger holds the claims of one availability zone.
type Ledger struct {
	Groups []Group `json:"groups"`
	// Era is the table's era in which the claims were written. Read in a later one they
	// are an older copy.
	Era uint64 `json:"era,omitempty"`
}

// Op names an order.
type Op int

// The orders.
const (
	Join  Op = iota // become a member of a group
	Open            // the head begins to take requests
	Close           // the head stops taking requests
	Leave           // stop being a member
	Stage           // load a model's weights onto the host
)

var opText = [...]string{"join", "open", "close", "leave", "stage"}

// String returns the order's name.
func (o Op) String() string { return opText[o] }

// CloseMode says what becomes of the requests that a closing group has.
type CloseMode int

// The modes of a close.
const (
	Finish   CloseMode = iota // they run to their end
	Truncate                  // they are cut
)

// Order is an order to one engine.
type Order struct {
	To      roster.ID
	Op      Op
	Group   string
	Epoch   uint64
	Model   string      // Join and Stage
	Members []roster.ID // Join
	Mode    CloseMode   // Close
	// Count, when set, is how many orders the engine must have begun so far; with
	// another count it answers Conflict and does nothing. A join that is carried
	// out late is void once the engine has begun anything newer.
	Count  *uint64
	Reason string
}

// Verdict is how an engine took an order.
type Verdict int

// The verdicts.
const (
	Lost      Verdict = iota // no answer: it may be carried out, now or later
	Begun                    // accepted
	Done                     // the state holds already
	Rejected                 // a join under an epoch that the engine has left behind
	Conflict                 // it doesn't fit the engine's state or count of orders
	OtherLife                // another process has the address: the engine is gone
)

var verdictText = [...]string{"lost", "begun", "done", "rejected", "conflict", "other_life"}

// String returns the verdict's name in logs.
func (v Verdict) String() string { return verdictText[v] }

// ErrOtherLife means that another process answers at an engine's address: the
// engine that had it has ended for good.
var ErrOtherLife = errors.New("formation: another process has the engine's address; the engine is gone")

// ErrReborn means that an engine has started again under its name and address: the
// life that was asked has ended, and what it held and knew is gone.
var ErrReborn = errors.New("formation: the engine has started again; its former life is over")

// ErrEarlierLife means that an answer is of a process that ended before the one that
// was asked: it says nothing of that one.
var ErrEarlierLife = errors.New("formation: the answer is of an earlier life of the engine; it concludes nothing")

// Report is what an engine tells of itself.
type Report struct {
	Member roster.Membership
	Count  uint64 // orders that it has begun
	Model  string // of its newest group
	Staged []string
	Domain string
	Busy   bool // an order is in progress
	Queued int
	Active int
	Pace   float64 // over 1: slow
}

// Engines gives orders to engines and asks them for their state.
type Engines interface {
	Report(ctx context.Context, addr string, id roster.ID) (Report, error)
	Order(ctx context.Context, addr string, o Order) (Verdict, error)
}

// Fact is what is known of one engine.
type Fact struct {
	ID       roster.ID
	Addr     string // ip:port
	Domain   string
	Draining bool
	Listed   bool          // in the platform's list
	Report   Report        // the newest one
	Answered clock.Instant // when the newest report was asked for; 0: never
	Failing  clock.Instant // since when reports fail; 0: the newest one came
	Failures int           // reports that failed in a row
	Missed   clock.Instant // when the newest report that failed was asked for
	Regained clock.Instant // when the first report after one that failed was asked for; 0: none failed
	Gone     bool          // its process has surely ended
	Reborn   bool          // and another life of the engine has its name and address
	Sure     clock.Instant // until then its answers to orders go before its reports, which lag
	Counted  clock.Instant // reports asked for before this show a Count that is too low
	Begun    string        // group of the newest join that it has begun
	Sign     clock.Instant // last sign of life from requests that it serves as a head
	Refused  string        // group that it refused to join: it has seen a later epoch
	Suspect  bool          // requests that it serves as a head stand still
}

// Params are the times and bounds of the planner.
type Params struct {
	DeadAfter    time.Duration // reports fail for this long: the engine is taken for dead
	DeadFailures int           // and at least this many in a row
	Resend       time.Duration // an order without visible effect is given again after this
	LoadWindow   time.Duration // loads are counted over this
	LoadsPer     int           // loads of this zone that may begin in a LoadWindow
	LoadsAtOnce  int           // loads of this zone that may run at the same time
}

// DefaultParams returns the parameters for a platform's load window, the zone's
// share of the loads in it and of those that run at once.
func DefaultParams(loadWindow time.Duration, loads, atOnce int) Params {
	return Params{
		// Two probes of 250 ms without an answer: one lost packet alone is
		// resent within 200 ms and doesn't fail a probe.
		DeadAfter: 400 * time.Millisecond, DeadFailures: 2,
		Resend:     time.Second,
		LoadWindow: loadWindow, LoadsPer: loads, LoadsAtOnce: atOnce,
	}
}
