// Package route selects the destination of a request: a serving group, a
// plain-service endpoint, or a node of another availability zone.
//
// Decide is a pure function of a compiled snapshot, counters, request facts, the
// time and a random source; it returns a choice and its reason. Router wraps it
// for concurrent use. A decision takes no lock besides the Router's own, does no
// I/O and does not allocate.
//
// Load reports lag, and every node reads the same reports. If nodes routed on raw
// reports, all of them would send every request to the group that was idle a
// second ago. The weighted policy therefore subtracts this node's own requests
// from a report, adds the node's current in-flight requests, discounts the
// remaining load by the report's age, and chooses at random among candidates of
// nearly equal cost.
package route

import (
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// Kind is the type of destination of a choice.
type Kind int

// The kinds of choice.
const (
	ToGroup    Kind = iota // a serving group in this availability zone
	ToEndpoint             // a plain-service endpoint in this availability zone
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

// Choice is the destination of a request and the reason for it. Kind determines
// which one of Group, VM and Node is set.
type Choice struct {
	Kind   Kind
	Group  *view.Group
	VM     *view.VM
	Node   fleet.VM
	Reason string

	dest     *state // counters of the destination
	zonePool *state // for ToNode: counters of the pool in the other zone
	expected estimate
}

// TriedDestination identifies a destination that must not be chosen again for this request.
// Empty fields match nothing.
type TriedDestination struct {
	VM    fleet.VM
	Group fleet.GroupID
	Node  fleet.VM
}

// Result is the outcome of a request at its destination.
type Result struct {
	OK        bool // the complete answer was received
	Failed    bool // the failure is attributed to the destination
	FirstByte time.Duration
	Total     time.Duration
	Tokens    int // answer tokens; 0 for plain services
}

// estimate is the expectation at the time of the choice; end compares it with
// the measured result.
type estimate struct {
	uncachedTokens float64       // prompt tokens expected to need prefill
	firstByteWait  time.Duration // expected time to the first byte
	queued         bool          // the destination was expected to have no free slot
}
