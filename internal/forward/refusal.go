package forward

import (
	"math/rand/v2"
	"time"

	"chervilloom/internal/balance"
	"chervilloom/internal/outcome"
)

// refuseUnderContention returns the stage and the error of a refusal: those given unless the
// request's service is contended and its slots are short. It counts the refusal.
func (x *exchange) refuseUnderContention(stage string, e *outcome.Error) (string, *outcome.Error) {
	c := x.contention
	if c == nil {
		return stage, e
	}
	reason := refusalReason(stage)
	switch {
	case c.refusal != "":
		reason, stage = c.refusal, string(c.refusal)
		e = refusals[reason].WithRetryAfter(x.returnDelay())
	case stage == "pick" && x.pickReason == balance.AllFull:
		reason, e = refusedFull, e.WithRetryAfter(x.returnDelay())
	case stage == "pick":
		reason = refusedUnavailable
	}
	x.recordRefusal(reason)
	return stage, e
}

// refusals are the errors of requests that were refused at once although an endpoint has a free
// slot.
var refusals = map[refusalReason]*outcome.Error{
	refusedByRank:         outcome.New(outcome.Overloaded, outcome.NotRun, "free slots are short for more urgent requests", "try again after the stated time"),
	refusedByOrganisation: outcome.New(outcome.OverLimit, outcome.NotRun, "the organisation uses more than its share while slots are short", "try again after the stated time"),
	refusedLate:           outcome.New(outcome.Overloaded, outcome.NotRun, "no endpoint can complete the answer in the time left", "allow more time"),
}

// addJitter returns a random duration between after and twice after, so that clients that
// are refused for the same time do not retry at the same moment.
func addJitter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*float64(after))
}
