package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/outcome"
)

var (
	failedNotRun     = outcome.New(outcome.EndpointFailed, outcome.NotRun, "m", "r")
	failedUnknown    = outcome.New(outcome.EndpointFailed, outcome.Unknown, "m", "r")
	cutRan           = outcome.New(outcome.AnswerCut, outcome.Ran, "m", "r")
	badRequest       = outcome.New(outcome.BadRequest, outcome.NotRun, "m", "r")
	deadlineExceeded = outcome.New(outcome.DeadlineExceeded, outcome.Unknown, "m", "r")
)

func TestDecideRetry(t *testing.T) {
	cases := []struct {
		name    string
		f       retryInput
		budget  bool
		verdict verdict
		asked   bool
	}{
		{"not run, at most once", retryInput{err: failedNotRun}, true, retry, true},
		{"unknown, at most once", retryInput{err: failedUnknown}, true, giveUp, false},
		{"cut, at most once", retryInput{err: cutRan}, true, giveUp, false},
		{"unknown, idempotent", retryInput{err: failedUnknown, idempotent: true}, true, retry, true},
		{"cut before the response started", retryInput{err: cutRan, idempotent: true}, true, retry, true},
		{"response started", retryInput{err: cutRan, idempotent: true, started: true}, true, giveUp, false},
		{"no budget", retryInput{err: failedNotRun, idempotent: true}, false, giveUp, true},
		{"no destination", retryInput{err: failedNotRun, idempotent: true, noDestination: true}, true, giveUp, false},
		{"ended", retryInput{err: failedNotRun, idempotent: true, ended: true}, true, giveUp, false},
		{"bad request", retryInput{err: badRequest, idempotent: true}, true, giveUp, false},
		{"deadline", retryInput{err: deadlineExceeded, idempotent: true}, true, giveUp, false},
		{"wait exceeds the deadline", retryInput{err: failedNotRun, timeLeft: time.Second}, true, giveUp, true},
		{"tries used up", retryInput{err: failedNotRun, idempotent: true, tries: 4}, true, giveUp, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.f.maxTries = 4
			if tc.f.timeLeft == 0 {
				tc.f.timeLeft = time.Minute
			}
			asked := false
			dec := decideRetry(tc.f, func() (bool, time.Duration) {
				asked = true
				return tc.budget, time.Second
			})
			is.Equal(dec.verdict, tc.verdict)
			is.Equal(asked, tc.asked)
			is.True(dec.reason != "")
		})
	}
}

// For any other input, a request that may run at most once is retried only if the last
// try did not run, and never once a part of the response was sent to the caller.
func TestDecideRetryNeverRunsTwice(t *testing.T) {
	errs := []*outcome.Error{failedNotRun, failedUnknown, cutRan, badRequest, deadlineExceeded}
	rapid.Check(t, func(t *rapid.T) {
		f := retryInput{
			tries: rapid.IntRange(0, 5).Draw(t, "tries"), maxTries: 4, err: rapid.SampledFrom(errs).Draw(t, "err"),
			idempotent: rapid.Bool().Draw(t, "idempotent"), started: rapid.Bool().Draw(t, "begun"),
			timeLeft: time.Minute, noDestination: rapid.Bool().Draw(t, "exhausted"), ended: rapid.Bool().Draw(t, "over"),
		}
		dec := decideRetry(f, func() (bool, time.Duration) { return true, 0 })
		if dec.verdict == retry && (f.started || !f.idempotent && f.err.Outcome != outcome.NotRun) {
			t.Fatalf("%+v is retried: %s", f, dec.reason)
		}
	})
}

func TestCallerRetryAfter(t *testing.T) {
	is := is.New(t)
	is.Equal(callerRetryAfter(failedNotRun, 0), defaultRetryAfter)
	is.Equal(callerRetryAfter(failedNotRun, time.Minute), time.Minute)
	is.Equal(callerRetryAfter(failedNotRun.WithRetryAfter(time.Hour), time.Minute), time.Hour)
	is.Equal(callerRetryAfter(failedUnknown, 0), time.Duration(0))
	is.Equal(callerRetryAfter(badRequest, 0), time.Duration(0))
}

func TestWorseOutcome(t *testing.T) {
	is := is.New(t)
	is.Equal(worseOutcome(outcome.NotRun, outcome.Unknown), outcome.Unknown)
	is.Equal(worseOutcome(outcome.Unknown, outcome.NotRun), outcome.Unknown)
	is.Equal(worseOutcome(outcome.Unknown, outcome.Ran), outcome.Ran)
	is.Equal(worseOutcome(outcome.NotRun, outcome.NotRun), outcome.NotRun)
}
