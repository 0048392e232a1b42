package forward

import "chervilloom/internal/catalog"

// Result is how one attempt ended.
type Result int

// The results of an attempt.
const (
	Answered    Result = iota // the client has the complete response
	NotRun                    // the request certainly did not run at the endpoint
	MayHaveRun                // no usable response, or a truncated one
	Failed                    // the endpoint's own error response was received completely
	ClientGone                // the client disconnected
	OutOfTime                 // the deadline of the client or the route has passed
	Quarantined               // not sent: the request is quarantined
)

// Step is the action after an attempt.
type Step int

// The steps.
const (
	Finish        Step = iota // the client has its response, or disconnected
	Retry                     // send the request to another endpoint
	RelayFailure              // relay the endpoint's error response
	Refuse                    // report to the client that the request has not run
	ReportUnknown             // report to the client that the request may have run
	Abort                     // the response has begun: break the client's connection
)

// Progress is the state of a request between two attempts.
type Progress struct {
	Sent        int  // attempts that reached an endpoint
	Runs        int  // attempts that ran or may have run
	HeaderSent  bool // a response header was sent to the client
	HasEndpoint bool // another endpoint is available
	HasBudget   bool // the retry budget allows another attempt
}

// extraSends is the number of attempts allowed beyond the route's maximum of runs. An
// attempt that an endpoint refuses is no run, but counts against the retry budget.
const extraSends = 2

// NextStep returns the step after an attempt. A request that may have run is sent to another
// endpoint only if its route is repeatable.
func NextStep(route *catalog.Route, res Result, p Progress) Step {
	switch res {
	case Answered, ClientGone:
		return Finish
	case OutOfTime, Quarantined:
		return endWithoutResponse(p)
	}
	canRetry := p.HasEndpoint && p.HasBudget && p.Sent < route.MaxAttempts+extraSends
	if p.HeaderSent && route.Repeat != catalog.Stream {
		canRetry = false // only a stream is continued by another run
	}
	switch res {
	case NotRun:
		if canRetry && (p.Runs == 0 || route.Repeatable()) {
			return Retry
		}
	case MayHaveRun, Failed:
		if canRetry && route.Repeatable() && p.Runs < route.MaxAttempts {
			return Retry
		}
		if res == Failed && !p.HeaderSent {
			return RelayFailure
		}
	}
	return endWithoutResponse(p)
}

// endWithoutResponse returns the last step of a request without a response. Refuse promises the
// client that no attempt has run, so it depends on all attempts and not just the last.
func endWithoutResponse(p Progress) Step {
	switch {
	case p.HeaderSent:
		return Abort
	case p.Runs > 0:
		return ReportUnknown
	}
	return Refuse
}
