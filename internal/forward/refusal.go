package forward

import (
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
	case c.refusal == refusedByRank:
		reason, stage = c.refusal, string(c.refusal)
		e = outcome.New(outcome.Overloaded, outcome.NotRun, "free slots are short for more urgent requests", "try again").WithRetryAfter(addJitter(retryAfterFull))
	case c.refusal == refusedByOrganisation:
		reason, stage = c.refusal, string(c.refusal)
		e = outcome.New(outcome.OverLimit, outcome.NotRun, "the organisation uses more than its share while slots are short", "try again").WithRetryAfter(addJitter(retryAfterFull))
	case stage == "pick" && x.pickReason == balance.AllFull:
		reason = refusedFull
	case stage == "pick":
		reason = refusedUnavailable
	}
	x.recordRefusal(reason)
	return stage, e
}
