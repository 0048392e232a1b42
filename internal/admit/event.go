package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// Handle identifies a request within a lane. The lane's driver assigns it: a small
// number that no other request in the lane uses. It is free again after a Refuse or
// Withdrawn decision, or after the Finish event of an admitted request.
type Handle int32

// EventKind is the type of an event.
type EventKind uint8

// Kinds of events.
const (
	Arrive   EventKind = iota + 1 // a request arrived; Arrival is set
	Finish                        // an admitted request ended; Completion is set
	Withdraw                      // the caller of a request disconnected
	Tick                          // periodic check of the queue
	Replan                        // the limits changed; Plan is set
)

// Event is an input to a lane.
type Event struct {
	Kind       EventKind
	Handle     Handle // Arrive, Finish and Withdraw
	Arrival    Arrival
	Completion Completion
	Plan       *Plan
}

// Arrival holds the properties of a request that a lane uses.
type Arrival struct {
	Organisation fleet.Organisation
	Target       fleet.Target  // model lane only
	Service      string        // lookup lane only
	Priority     int           // higher is served first within the organisation
	Deadline     clock.Instant // 0: none
	PromptTokens int
	MaxTokens    int // 0: not limited by the caller
	// AdmittedElsewhere is set if another node has already admitted the request. It is not
	// counted against the organisation again.
	AdmittedElsewhere bool
}

// Completion is the result of an admitted request.
type Completion struct {
	FirstToken      time.Duration // from admission to the first stream event; 0: not a stream, or no event
	Total           time.Duration // from admission to the end
	Tokens          int           // stream events; 0: not a stream
	Answered        bool          // the answer was complete, so the durations are valid samples
	EndpointRefused bool          // the endpoints refused it for lack of capacity
}

// Verdict is the result of a decision.
type Verdict uint8

// Verdicts. Queue is followed by exactly one of the others. Refuse and Withdrawn
// are final. Admit is final for the caller of Step and ends with a Finish event.
const (
	Admit Verdict = iota + 1
	Queue
	Refuse
	Withdrawn
)

// String returns the verdict as explanations show it.
func (v Verdict) String() string {
	switch v {
	case Admit:
		return "admit"
	case Queue:
		return "queue"
	case Refuse:
		return "refuse"
	case Withdrawn:
		return "withdrawn"
	}
	return "unknown"
}

// Reason is the reason for a verdict. The set is closed, because reasons are metric
// labels.
type Reason string

// Reasons for verdicts.
const (
	ReasonSlotFree      Reason = "room"           // a slot was free
	ReasonDequeued      Reason = "turn"           // it reached the head of the queue and a slot was free
	ReasonAdmitted      Reason = "admitted"       // another node has admitted it
	ReasonNoSlot        Reason = "busy"           // all slots are in use
	ReasonRate          Reason = "rate"           // the organisation's rate cap is used up
	ReasonConcurrency   Reason = "concurrency"    // the organisation has too many requests in progress
	ReasonSaturated     Reason = "saturated"      // too many requests are in progress
	ReasonDeadline      Reason = "deadline"       // it cannot be answered in time
	ReasonExpired       Reason = "expired"        // its deadline has passed
	ReasonQueueFull     Reason = "queue-full"     // the queue is full and the organisation is furthest over its share
	ReasonOrganisation  Reason = "organisation"   // the organisation's share of the queue is full
	ReasonNoCapacity    Reason = "no-capacity"    // nothing serves the target
	ReasonCallerGone    Reason = "caller-gone"    // the caller disconnected
	ReasonLaneFull      Reason = "lane-full"      // the lane's ring is full
	ReasonShuttingDown  Reason = "shutting-down"  // the lane has stopped
	ReasonNotConfigured Reason = "not-configured" // no configuration has been received
)

// Decision is a lane's decision about one request.
type Decision struct {
	Handle      Handle
	Verdict     Verdict
	Kind        outcome.Kind  // Refuse only
	RetryAfter  time.Duration // Refuse only; 0: none
	Reason      Reason
	WaitTime    time.Duration // estimated on Queue and Refuse, measured on Admit
	ServiceTime time.Duration // estimated time from admission to the complete answer
	Waiting     int           // queued requests at the time of the decision
	Limit       int           // concurrency limit at the time of the decision
	InProgress  int           // requests in progress at the time of the decision
	ShareSlots  int           // this node's slots if all nodes are equally loaded
}
