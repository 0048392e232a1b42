// Package route decides which serving group, plain-service endpoint or node of
// another availability zone gets a request.
//
// Decide is pure: a compiled snapshot, counters, facts of the request, the time
// and a random source go in, a choice with its reason comes out. Router wraps
// it for concurrent use. A decision takes no locks besides the Router's own,
// does no I/O and allocates nothing.
//
// Load reports lag, and every node reads the same ones. A node that trusts them
// raw sends everything to the group that was idle a second ago, and so do its
// peers. The weighted policy therefore takes its own share out of a report,
// adds what it has in flight now, discounts the rest by age and chooses at
// random between near-equals.
package route

import (
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Kind says where a choice sends a request.
type Kind int

// The kinds of choice.
const (
	ToGroup    Kind = iota // a serving group of the own availability zone
	ToEndpoint             // a plain-service endpoint of the own availability zone
	ToNode                 // an entry node of another availability zone
)

// String returns the label used in metrics and explanations.
func (k Kind) String() string {
	switch k {
	case ToGroup:
		return "group"
	case ToEndpoint:
		return "endpoint"
	default:
		return "node"
	}
}

// Choice is where a request goes and why. Exactly one of Group, VM and Node is
// set, as Kind says.
type Choice struct {
	Kind   Kind
	Group  *view.Group
	VM     *view.VM
	Node   fleet.VM
	Reason string

	on  *state // counters that the request is charged to
	via *state // for ToNode: counters of the pool in the other zone
	est estimate
}

// Tried names a destination that this request shall not get again. Only the
// fields that are set count.
type Tried struct {
	VM    fleet.VM
	Group fleet.GroupID
	Node  fleet.VM
}

// Result is how a request ended at its destination.
type Result struct {
	OK        bool // the answer was whole
	Failed    bool // the destination is to blame
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int // answer tokens; 0 for plain services
}

// estimate is what was expected of a choice when it was made; End compares it
// with what came.
type estimate struct {
	uncached float64       // prompt tokens expected to be computed
	wait     time.Duration // expected time to the first byte
	queued   bool          // the destination was expected to be full
}
