package dispatch

import (
	"errors"
	"time"

	"chervilloom/internal/outcome"
)

// verdict is what follows a failed try.
type verdict string

const (
	retry  verdict = "retry"   // try again, elsewhere if there is an elsewhere
	giveUp verdict = "give up" // the caller is told at once
)

// facts are what the next step after a failed try depends on.
type facts struct {
	tries      int
	maxTries   int
	err        *outcome.Error // of the newest try
	idempotent bool
	begun      bool          // the caller has a part of the answer
	exhausted  bool          // the router has nothing left to try
	over       bool          // the deadline passed or the caller left
	left       time.Duration // up to the deadline
}

// decision is the next step with its reason.
type decision struct {
	verdict verdict
	wait    time.Duration // before the retry, or before the caller comes back
	reason  string
}

// next decides what follows a failed try. The budget is asked only when a
// retry is safe and useful, because asking takes from it.
func next(f facts, budget func() (bool, time.Duration)) decision {
	if reason := final(f); reason != "" {
		return decision{verdict: giveUp, reason: reason}
	}
	if errors.Is(f.err, errUnsent) {
		return decision{verdict: retry, reason: "nothing was sent"}
	}
	ok, wait := budget()
	if !ok {
		return decision{verdict: giveUp, wait: wait, reason: "the retry budget is spent"}
	}
	if wait >= f.left {
		// Holding the answer back for a try that cannot be made would keep the
		// caller from asking elsewhere.
		return decision{verdict: giveUp, wait: wait, reason: "the deadline passes before the next try"}
	}
	if f.err.Outcome == outcome.NotRun {
		return decision{verdict: retry, wait: wait, reason: "the try did not run"}
	}
	return decision{verdict: retry, wait: wait, reason: "the request is idempotent and no answer began"}
}

// final returns why a request may not or need not be tried again, or "".
func final(f facts) string {
	switch {
	case f.over:
		return "the time is over or the caller has left"
	case f.exhausted:
		return "there is nothing left to try"
	case f.begun:
		// Another run would give other tokens: joined to the part that the
		// caller has, it would be nobody's answer.
		return "the caller has a part of the answer"
	case !transient(f.err.Kind):
		return "another try would end the same way"
	case f.err.Outcome != outcome.NotRun && !f.idempotent:
		// It may have run. Told "unknown", the caller can look the effect up; a
		// second run could not be undone.
		return "it may have run and may run at most once"
	case f.tries >= f.maxTries:
		return "the tries are used up"
	}
	return ""
}

// transient reports whether another endpoint may do better.
func transient(k outcome.Kind) bool {
	switch k {
	case outcome.EndpointFailed, outcome.AnswerCut, outcome.NoCapacity, outcome.Overloaded, outcome.ShuttingDown:
		return true
	}
	return false
}

// defaultComeBack is the advice when nobody gave a better one: by then the
// views have changed and another endpoint may be chosen.
const defaultComeBack = time.Second

// comeBack returns when the caller may send the request again; 0 when it must
// not do so unasked, because the request may have run.
func comeBack(err *outcome.Error, wait time.Duration) time.Duration {
	wait = max(err.RetryAfter, wait)
	if wait == 0 && err.Outcome == outcome.NotRun && transient(err.Kind) {
		return defaultComeBack
	}
	return wait
}

// worse returns the outcome of a request of which one try ended with a and
// another with b.
func worse(a, b outcome.Outcome) outcome.Outcome {
	rank := map[outcome.Outcome]int{outcome.NotRun: 1, outcome.Unknown: 2, outcome.Ran: 3}
	if rank[b] > rank[a] {
		return b
	}
	return a
}
