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
	free := Progress{Sent: 1, Endpoint: true, Budget: true}
	ran := Progress{Sent: 1, Runs: 1, Endpoint: true, Budget: true}
	for name, c := range map[string]struct {
		route *catalog.Route
		res   Result
		p     Progress
		want  Step
	}{
		"answered":                               {onceRoute, Answered, ran, Finish},
		"client left":                            {idemRoute, ClientGone, ran, Finish},
		"refused there, another may take it":     {onceRoute, NotRun, free, Again},
		"refused there, no other":                {onceRoute, NotRun, Progress{Sent: 1, Budget: true}, Refuse},
		"refused there, no budget":               {onceRoute, NotRun, Progress{Sent: 1, Endpoint: true}, Refuse},
		"refused by many":                        {onceRoute, NotRun, Progress{Sent: 3, Endpoint: true, Budget: true}, Refuse},
		"may have run, runs once":                {onceRoute, MayHaveRun, ran, Admit},
		"may have run, may run again":            {idemRoute, MayHaveRun, ran, Again},
		"may have run on as many as may":         {idemRoute, MayHaveRun, Progress{Sent: 2, Runs: 2, Endpoint: true, Budget: true}, Admit},
		"ran once before, refused now":           {idemRoute, NotRun, Progress{Sent: 2, Runs: 1}, Admit},
		"failed there, may run again":            {idemRoute, Failed, ran, Again},
		"failed there, runs once":                {onceRoute, Failed, ran, Pass},
		"stream cut, goes on elsewhere":          {streamRoute, MayHaveRun, Progress{Sent: 1, Runs: 1, Begun: true, Endpoint: true, Budget: true}, Again},
		"stream cut, nowhere to go":              {streamRoute, MayHaveRun, Progress{Sent: 1, Runs: 1, Begun: true, Budget: true}, Cut},
		"out of time before it ran":              {onceRoute, OutOfTime, Progress{}, Refuse},
		"out of time, may have run":              {onceRoute, OutOfTime, Progress{Sent: 1, Runs: 1}, Admit},
		"out of time in the middle of an answer": {streamRoute, OutOfTime, Progress{Runs: 1, Begun: true}, Cut},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(Next(c.route, c.res, c.p), c.want) })
	}
}

// Whatever came before: a request that may run once is never sent again after it
// may have run, and nobody is told "not run" of one that may have.
func TestNextKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Progress{
			Sent: rapid.IntRange(0, 4).Draw(t, "sent"), Runs: rapid.IntRange(0, 3).Draw(t, "runs"),
			Begun: rapid.Bool().Draw(t, "begun"), Endpoint: rapid.Bool().Draw(t, "endpoint"), Budget: rapid.Bool().Draw(t, "budget"),
		}
		res := Result(rapid.IntRange(int(Answered), int(OutOfTime)).Draw(t, "result"))
		if res == MayHaveRun || res == Failed {
			p.Runs = max(1, p.Runs)
		}
		route := rapid.SampledFrom([]*catalog.Route{onceRoute, idemRoute, streamRoute}).Draw(t, "route")
		switch step := Next(route, res, p); {
		case step == Again && p.Runs > 0 && !route.Repeatable():
			t.Fatal("a request that may have run is sent again")
		case step == Again && (!p.Budget || !p.Endpoint):
			t.Fatal("sent again without budget or endpoint")
		case step == Refuse && (p.Runs > 0 || p.Begun):
			t.Fatal("told as not run though it may have")
		case (step == Pass || step == Admit || step == Refuse) && p.Begun:
			t.Fatal("a second head after the first")
		}
	})
}

// An endpoint crashes in the middle of an event. The client must not get the
// part: another endpoint goes on after the last whole event.
func TestEventsAreWhole(t *testing.T) {
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

func TestEventWithoutEndIsRefused(t *testing.T) {
	is := is.New(t)
	r := newEventReader(strings.NewReader("data: " + strings.Repeat("x", maxEvent+4096)))
	_, _, _, err := r.next()
	is.True(errors.Is(err, errEventTooLong))
}

// A group loses a member and all its streams break off; its head leads the next
// group a second later. What the ejector holds against the head in its old group
// must not keep requests from the new one.
func TestFailuresBelongToOneGroup(t *testing.T) {
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
