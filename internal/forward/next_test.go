package forward

import (
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/catalog"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

var (
	onceRoute   = &catalog.Route{Repeat: catalog.Once, MaxAttempts: 1}
	idemRoute   = &catalog.Route{Repeat: catalog.Idempotent, MaxAttempts: 2}
	streamRoute = &catalog.Route{Repeat: catalog.Stream, Resumable: true, MaxAttempts: 2}
)

func TestNext(t *testing.T) {
	free := Progress{Sent: 1, HasEndpoint: true, HasBudget: true}
	ran := Progress{Sent: 1, Runs: 1, HasEndpoint: true, HasBudget: true}
	for name, c := range map[string]struct {
		route *catalog.Route
		res   Result
		p     Progress
		want  Step
	}{
		"answered":                               {onceRoute, Answered, ran, Finish},
		"client disconnected":                    {idemRoute, ClientGone, ran, Finish},
		"refused, another endpoint available":    {onceRoute, NotRun, free, Retry},
		"refused, no other endpoint":             {onceRoute, NotRun, Progress{Sent: 1, HasBudget: true}, Refuse},
		"refused, no budget":                     {onceRoute, NotRun, Progress{Sent: 1, HasEndpoint: true}, Refuse},
		"refused by the maximum of endpoints":    {onceRoute, NotRun, Progress{Sent: 3, HasEndpoint: true, HasBudget: true}, Refuse},
		"may have run, not repeatable":           {onceRoute, MayHaveRun, ran, ReportUnknown},
		"may have run, repeatable":               {idemRoute, MayHaveRun, ran, Retry},
		"may have run the maximum of times":      {idemRoute, MayHaveRun, Progress{Sent: 2, Runs: 2, HasEndpoint: true, HasBudget: true}, ReportUnknown},
		"refused after an earlier run":           {idemRoute, NotRun, Progress{Sent: 2, Runs: 1}, ReportUnknown},
		"failed, repeatable":                     {idemRoute, Failed, ran, Retry},
		"failed, not repeatable":                 {onceRoute, Failed, ran, RelayFailure},
		"stream cut, another endpoint available": {streamRoute, MayHaveRun, Progress{Sent: 1, Runs: 1, HeaderSent: true, HasEndpoint: true, HasBudget: true}, Retry},
		"stream cut, no other endpoint":          {streamRoute, MayHaveRun, Progress{Sent: 1, Runs: 1, HeaderSent: true, HasBudget: true}, Abort},
		"response cut after its header":          {idemRoute, MayHaveRun, Progress{Sent: 1, Runs: 1, HeaderSent: true, HasEndpoint: true, HasBudget: true}, Abort},
		"out of time before any run":             {onceRoute, OutOfTime, Progress{}, Refuse},
		"out of time, may have run":              {onceRoute, OutOfTime, Progress{Sent: 1, Runs: 1}, ReportUnknown},
		"out of time during the response":        {streamRoute, OutOfTime, Progress{Runs: 1, HeaderSent: true}, Abort},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(NextStep(c.route, c.res, c.p), c.want) })
	}
}

// Guards, for any history of attempts, against a non-repeatable request that is sent again
// after it may have run, and against "not run" reported for a request that may have run.
func TestNextNeverRepeatsNonRepeatableRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Progress{
			Sent: rapid.IntRange(0, 4).Draw(t, "sent"), Runs: rapid.IntRange(0, 3).Draw(t, "runs"),
			HeaderSent: rapid.Bool().Draw(t, "begun"), HasEndpoint: rapid.Bool().Draw(t, "endpoint"), HasBudget: rapid.Bool().Draw(t, "budget"),
		}
		res := Result(rapid.IntRange(int(Answered), int(OutOfTime)).Draw(t, "result"))
		if res == MayHaveRun || res == Failed {
			p.Runs = max(1, p.Runs)
		}
		route := rapid.SampledFrom([]*catalog.Route{onceRoute, idemRoute, streamRoute}).Draw(t, "route")
		switch step := NextStep(route, res, p); {
		case step == Retry && p.Runs > 0 && !route.Repeatable():
			t.Fatal("a non-repeatable request that may have run is sent again")
		case step == Retry && (!p.HasBudget || !p.HasEndpoint):
			t.Fatal("sent again without budget or endpoint")
		case step == Refuse && (p.Runs > 0 || p.HeaderSent):
			t.Fatal("reported as not run although it may have run")
		case step == Retry && p.HeaderSent && route.Repeat != catalog.Stream:
			t.Fatal("a second body after the beginning of the first")
		case (step == RelayFailure || step == ReportUnknown || step == Refuse) && p.HeaderSent:
			t.Fatal("a second response header after the first")
		}
	})
}

// Guards against a partial event that is relayed when an endpoint crashes while sending it:
// another endpoint resumes after the last complete event.
func TestEventReaderYieldsNoPartialEvent(t *testing.T) {
	is := is.New(t)
	r := newEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	_, id, _, err := r.next()
	is.NoErr(err)
	is.Equal(id, "1")
	event, id, _, err := r.next()
	is.NoErr(err)
	is.Equal(id, "2")
	is.Equal(string(event), "id: 2\ndata: b\n\n")
	_, _, rest, err := r.next()
	is.True(errors.Is(err, io.EOF))
	is.Equal(string(rest), "id: 3\nda")
}

func TestEventReaderRefusesTooLongEvent(t *testing.T) {
	is := is.New(t)
	r := newEventReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+4096)))
	_, _, _, err := r.next()
	is.True(errors.Is(err, errEventTooLong))
}

// Guards against failures of an old group that eject the head from the next one. When a
// group loses a member, all its streams are cut, and its head may serve in another group a
// second later.
func TestEjectionIsPerGroup(t *testing.T) {
	is := is.New(t)
	old := &roster.Endpoint{ID: "e1", Member: roster.Membership{Group: "g1"}}
	now := &roster.Endpoint{ID: "e1", Member: roster.Membership{Group: "g2"}}
	ejector := retry.NewEjector(retry.OutlierOptions{Consecutive: 3, MaxShare: 1}, nil, slog.New(slog.DiscardHandler), nil)
	ejector.SetCandidates([]retry.ID{EjectionID(old), EjectionID(now)})
	for range 3 {
		ejector.Report(EjectionID(old), true)
	}
	is.True(ejector.Ejected(EjectionID(old)))
	is.True(!ejector.Ejected(EjectionID(now)))
	is.Equal(EjectionID(&roster.Endpoint{ID: "plain"}), retry.ID("plain"))
}
