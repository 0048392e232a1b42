package dispatch

import (
	"errors"
	"time"

	"chervilloom/internal/outcome"
)

// verdict is the decision after a failed try.
type verdict string

const (
	retry  verdict = "retry"   // try again, at another destination if there is one
	giveUp verdict = "give up" // return the error to the caller
)

// retryInput holds the inputs of the retry decision after a failed try.
type retryInput struct {
	tries         int
	maxTries      int
	err           *outcome.Error // of the latest try
	idempotent    bool
	started       bool          // a part of the response was sent to the caller
	noDestination bool          // the router has no untried destination
	ended         bool          // the deadline passed or the caller disconnected
	timeLeft      time.Duration // until the deadline
}

// decision is a verdict with its reason.
type decision struct {
	verdict verdict
	wait    time.Duration // before the retry, or before the caller may send the request again
	reason  string
}

// decideRetry decides what follows a failed try. The budget is called only if a retry is
// safe and useful, because each call consumes budget.
func decideRetry(in retryInput, budget func() (bool, time.Duration)) decision {
	if reason := noRetryReason(in); reason != "" {
		return decision{verdict: giveUp, reason: reason}
	}
	if errors.Is(in.err, errUnsent) {
		return decision{verdict: retry, reason: "nothing was sent"}
	}
	ok, wait := budget()
	if !ok {
		return decision{verdict: giveUp, wait: wait, reason: "the retry budget is spent"}
	}
	if wait >= in.timeLeft {
		// Waiting for a retry that cannot start in time would keep the caller from trying
		// elsewhere.
		return decision{verdict: giveUp, wait: wait, reason: "the deadline passes before the next try"}
	}
	if in.err.Outcome == outcome.NotRun {
		return decision{verdict: retry, wait: wait, reason: "the try did not run"}
	}
	return decision{verdict: retry, wait: wait, reason: "the request is idempotent and no answer began"}
}

// noRetryReason returns why a request must not or need not be retried, or "".
func noRetryReason(in retryInput) string {
	switch {
	case in.ended:
		return "the time is over or the caller has left"
	case in.noDestination:
		return "there is nothing left to try"
	case in.started:
		// Another run would generate different tokens, which must not be appended to the
		// part that the caller has.
		return "the caller has a part of the answer"
	case !isTransient(in.err.Kind):
		return "another try would end the same way"
	case in.err.Outcome != outcome.NotRun && !in.idempotent:
		// The request may have run. With the outcome "unknown" the caller can check for
		// its effect; a second run could not be undone.
		return "it may have run and may run at most once"
	case in.tries >= in.maxTries:
		return "the tries are used up"
	}
	return ""
}

// isTransient reports whether another endpoint may succeed.
func isTransient(k outcome.Kind) bool {
	switch k {
	case outcome.EndpointFailed, outcome.AnswerCut, outcome.NoCapacity, outcome.Overloaded, outcome.ShuttingDown:
		return true
	}
	return false
}

// defaultRetryAfter is the retry delay for callers if no other delay is known. Within it
// the views are updated and another endpoint may be chosen.
const defaultRetryAfter = time.Second

// callerRetryAfter returns the delay after which the caller may send the request again,
// or 0 if it must not retry automatically because the request may have run.
func callerRetryAfter(err *outcome.Error, wait time.Duration) time.Duration {
	wait = max(err.RetryAfter, wait)
	if wait == 0 && err.Outcome == outcome.NotRun && isTransient(err.Kind) {
		return defaultRetryAfter
	}
	return wait
}

// worseOutcome returns the combined outcome of a request with one try that ended with a
// and another that ended with b.
func worseOutcome(a, b outcome.Outcome) outcome.Outcome {
	rank := map[outcome.Outcome]int{outcome.NotRun: 1, outcome.Unknown: 2, outcome.Ran: 3}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
