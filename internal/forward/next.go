package forward

import "chervilloom/internal/catalog"

// Result is how one attempt ended.
type Result int

// The results of an attempt.
const (
	Answered   Result = iota // the client has the whole answer
	NotRun                   // it surely didn't run there
	MayHaveRun               // no usable answer, or one that broke off
	Failed                   // the endpoint's own failure is at hand, complete
	ClientGone               // the client left
	OutOfTime                // the client's or the route's time is over
	Banned                   // not sent: the request ends the endpoints that run it
)

// Step is what to do after an attempt.
type Step int

// The steps.
const (
	Finish Step = iota // the client has its answer, or left
	Again              // send to another endpoint
	Pass               // pass the endpoint's failure on
	Refuse             // tell the client that it has not run
	Admit              // tell the client that it may have run
	Cut                // the answer has begun: break the connection
)

// Progress is what is known of a request between two attempts.
type Progress struct {
	Sent     int  // attempts that reached an endpoint
	Runs     int  // attempts that ran or may have run
	Begun    bool // the client has the head of an answer
	Endpoint bool // another endpoint could take it
	Budget   bool // the retry budget allows another attempt
}

// extraSends is how many attempts beyond the route's runs may be refused by
// endpoints before the client is told: a refusal by an endpoint isn't a run,
// but each counts against the retry budget.
const extraSends = 2

// Next decides what follows an attempt. A request that may have run goes to
// another endpoint only if the route lets it run again.
func Next(route *catalog.Route, res Result, p Progress) Step {
	switch res {
	case Answered, ClientGone:
		return Finish
	case OutOfTime, Banned:
		return endWithout(p)
	}
	more := p.Endpoint && p.Budget && p.Sent < route.MaxAttempts+extraSends
	switch res {
	case NotRun:
		if more && (p.Runs == 0 || route.Repeatable()) {
			return Again
		}
	case MayHaveRun, Failed:
		if more && route.Repeatable() && p.Runs < route.MaxAttempts {
			return Again
		}
		if res == Failed && !p.Begun {
			return Pass
		}
	}
	return endWithout(p)
}

// endWithout ends a request that has no answer. Only one that never ran may be
// told so; the promise binds even when the last attempt didn't run.
func endWithout(p Progress) Step {
	switch {
	case p.Begun:
		return Cut
	case p.Runs > 0:
		return Admit
	}
	return Refuse
}
