package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/outcome"
)

var (
	failedNotRun  = outcome.New(outcome.EndpointFailed, outcome.NotRun, "m", "r")
	failedUnknown = outcome.New(outcome.EndpointFailed, outcome.Unknown, "m", "r")
	cutRan        = outcome.New(outcome.AnswerCut, outcome.Ran, "m", "r")
	badRequest    = outcome.New(outcome.BadRequest, outcome.NotRun, "m", "r")
	tooLate       = outcome.New(outcome.DeadlineExceeded, outcome.Unknown, "m", "r")
)

func TestNext(t *testing.T) {
	cases := []struct {
		name    string
		f       facts
		budget  bool
		verdict verdict
		asked   bool
	}{
		{"not run, at most once", facts{err: failedNotRun}, true, retry, true},
		{"unknown, at most once", facts{err: failedUnknown}, true, giveUp, false},
		{"cut, at most once", facts{err: cutRan}, true, giveUp, false},
		{"unknown, idempotent", facts{err: failedUnknown, idempotent: true}, true, retry, true},
		{"cut before it began here", facts{err: cutRan, idempotent: true}, true, retry, true},
		{"the caller has a part", facts{err: cutRan, idempotent: true, begun: true}, true, giveUp, false},
		{"no budget", facts{err: failedNotRun, idempotent: true}, false, giveUp, true},
		{"nothing left", facts{err: failedNotRun, idempotent: true, exhausted: true}, true, giveUp, false},
		{"time over", facts{err: failedNotRun, idempotent: true, over: true}, true, giveUp, false},
		{"the caller's fault", facts{err: badRequest, idempotent: true}, true, giveUp, false},
		{"deadline", facts{err: tooLate, idempotent: true}, true, giveUp, false},
		{"the wait outlasts the deadline", facts{err: failedNotRun, left: time.Second}, true, giveUp, true},
		{"tries used up", facts{err: failedNotRun, idempotent: true, tries: 4}, true, giveUp, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			tc.f.maxTries = 4
			if tc.f.left == 0 {
				tc.f.left = time.Minute
			}
			asked := false
			dec := next(tc.f, func() (bool, time.Duration) {
				asked = true
				return tc.budget, time.Second
			})
			is.Equal(dec.verdict, tc.verdict)
			is.Equal(asked, tc.asked)
			is.True(dec.reason != "")
		})
	}
}

// Whatever else holds, a request that may run at most once is tried again only
// when the last try did not run, and one whose caller has a part never.
func TestNextNeverDoubles(t *testing.T) {
	errs := []*outcome.Error{failedNotRun, failedUnknown, cutRan, badRequest, tooLate}
	rapid.Check(t, func(t *rapid.T) {
		f := facts{
			tries: rapid.IntRange(0, 5).Draw(t, "tries"), maxTries: 4, err: rapid.SampledFrom(errs).Draw(t, "err"),
			idempotent: rapid.Bool().Draw(t, "idempotent"), begun: rapid.Bool().Draw(t, "begun"),
			left: time.Minute, exhausted: rapid.Bool().Draw(t, "exhausted"), over: rapid.Bool().Draw(t, "over"),
		}
		dec := next(f, func() (bool, time.Duration) { return true, 0 })
		if dec.verdict == retry && (f.begun || !f.idempotent && f.err.Outcome != outcome.NotRun) {
			t.Fatalf("%+v is tried again: %s", f, dec.reason)
		}
	})
}

func TestComeBack(t *testing.T) {
	is := is.New(t)
	is.Equal(comeBack(failedNotRun, 0), defaultComeBack)
	is.Equal(comeBack(failedNotRun, time.Minute), time.Minute)
	is.Equal(comeBack(failedNotRun.After(time.Hour), time.Minute), time.Hour)
	is.Equal(comeBack(failedUnknown, 0), time.Duration(0))
	is.Equal(comeBack(badRequest, 0), time.Duration(0))
}

func TestWorse(t *testing.T) {
	is := is.New(t)
	is.Equal(worse(outcome.NotRun, outcome.Unknown), outcome.Unknown)
	is.Equal(worse(outcome.Unknown, outcome.NotRun), outcome.Unknown)
	is.Equal(worse(outcome.Unknown, outcome.Ran), outcome.Ran)
	is.Equal(worse(outcome.NotRun, outcome.NotRun), outcome.NotRun)
}
