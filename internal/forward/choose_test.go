package forward

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/balance"
	"chervilloom/internal/board"
	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// choiceDocument returns a configuration with one service of engines and one stream.
func choiceDocument() catalog.Document {
	return catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "chat", Engine: &catalog.Engine{
			Slots: 34, KVCapacity: 1_400_000, Stride: 5, Chunk: 2048, Step: 6070 * time.Microsecond, PerSequence: 241 * time.Microsecond,
			ContextPerK: 4880 * time.Nanosecond, ReadPerSecond: 46_000, PairsPerM: 700 * time.Microsecond, ReportLag: 200 * time.Millisecond,
			LoadsPerSecond: 2, LoadsAtOnce: 4, FormTime: 300 * time.Millisecond, FarFactor: 3, Keeps: 1, UsualPrompt: 1000, UsualAnswer: 115,
			Models: []catalog.Model{{Name: "m", Size: 4, Pace: 1, Share: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond}},
		}}},
		Routes: []catalog.Route{{
			Name: "stream", Host: "h.example", Prefix: "/stream/", Repeat: catalog.Stream, Resumable: true, Public: true,
			Timeout: 8 * time.Second, Objective: 500 * time.Millisecond, GapAim: 300 * time.Millisecond, MaxAttempts: 2,
			Backends: []catalog.Backend{{Service: "chat", Weight: 1}},
		}},
	}
}

func choiceHead(i int) roster.ID { return roster.ID(fmt.Sprintf("h%d", i)) }

// newChooser returns the forwarder of a node in zone z, which has local heads; zone y has remote ones.
// seed determines its random numbers.
func newChooser(t *testing.T, c clock.Clock, local, remote int, seed uint64) *Forwarder {
	t.Helper()
	cat, err := catalog.New(choiceDocument())
	if err != nil {
		t.Fatal(err)
	}
	var list []roster.Endpoint
	for i := range local + remote {
		e := roster.Endpoint{
			ID: choiceHead(i), Service: "chat", Addr: "10.0.0.1:1", Zone: "z", Slots: 34, Domain: "d", Model: "m",
			Member: roster.Membership{Group: fmt.Sprint("g", i), Epoch: 1, State: roster.Open},
		}
		if i >= local {
			e.Zone = "y"
		}
		list = append(list, e)
	}
	known := roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, c.Now(), 0)
	rng := rand.New(rand.NewPCG(seed, 1))
	log := slog.New(slog.DiscardHandler)
	return &Forwarder{
		Clock: c, Log: log, Zone: "z", Regions: map[string]string{"z": "east", "y": "east"},
		Tracker:       &balance.Tracker{Clock: c, Silence: func(roster.ID) time.Duration { return time.Minute }},
		EngineProfile: Profile{Bounds: balance.Bounds{RemotePenalty: 0.15, QueueShare: -0.04, UnreadWeight: 0.25}, Turnover: 4 * time.Second},
		View:          func() View { return View{Catalog: cat, Fresh: true, Current: true, Roster: known} },
		Ejector:       retry.NewEjector(retry.OutlierOptions{Consecutive: 100, MinRequests: 100, Margin: 1}, c, log, nil),
		Backpressure:  backpressure.New(backpressure.Options{Clock: c}),
		SampleSize:    func() int { return 2 }, NodeCount: func() int { return 8 },
		ZoneLoad: func(string, string) board.MeanLoad { return board.MeanLoad{Load: 0.5, Unread: 400} },
		drawSeed: func() int { return int(rng.Uint32()) },
	}
}

// newChoice returns a new request with a prompt.
func newChoice(f *Forwarder, prompt int) *exchange {
	cat := f.View().Catalog
	now := f.Clock.Now()
	return &exchange{
		f: f, req: &Request{Model: "m", PromptTokens: prompt}, route: &cat.Routes[0], catalog: cat, service: "chat",
		start: now, deadline: now.Add(8 * time.Second),
	}
}

// recordedChoices are the heads chosen for the series of recordSeries by the code before choices by
// predicted times were added (f7d2306).
const recordedChoices = "0666568114366785909520140334499798821695929922534907045311925144952965906694190956225352449992102132" +
	"2192444927659993089992722922979903615002554034521505554990263495341600309949169239199490294448561999" +
	"1011925919369094939293597019200245529095194592922303591331626931340290563509556015085545956607244129"

// recordSeries plays a fixed series of boards, events and requests and returns the choices. annotate
// may add to the boards.
func recordSeries(t *testing.T, f *Forwarder, c *clock.Manual, annotate func(*board.HeadLoad)) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(7, 11))
	var tickets []*balance.Ticket
	var out strings.Builder
	for range 300 {
		load := board.HeadLoad{ID: choiceHead(rng.IntN(8)), Requests: rng.IntN(36), Unread: rng.IntN(8000)}
		annotate(&load)
		f.Tracker.ApplyBoard(load)
		for range rng.IntN(4) {
			if len(tickets) > 0 {
				tickets[rng.IntN(len(tickets))].RecordEvent()
			}
		}
		if len(tickets) > 20 {
			i := rng.IntN(len(tickets))
			tickets[i].End()
			tickets = append(tickets[:i], tickets[i+1:]...)
		}
		x := newChoice(f, 100+rng.IntN(2000))
		if rng.IntN(10) == 0 {
			x.tried = []roster.ID{choiceHead(rng.IntN(8))}
		}
		ep, _ := x.choose(x.candidates())
		c.Advance(time.Duration(rng.IntN(60)) * time.Millisecond)
		if ep == nil {
			out.WriteByte('-')
			continue
		}
		out.WriteString(strings.TrimPrefix(string(ep.ID), "h"))
		k := f.Tracker.Start(ep.ID, nil)
		k.SetPromptTokens(x.req.PromptTokens)
		tickets = append(tickets, k)
	}
	return out.String()
}

// Guards against choices that change for services that are not contended, also if boards have gaps
// and paces because another service is.
func TestChoicesAreAsRecordedWithoutContention(t *testing.T) {
	is := is.New(t)
	for _, contended := range []func(string) bool{nil, func(string) bool { return false }} {
		c := clock.NewManual(clock.Instant(time.Hour))
		f := newChooser(t, c, 8, 2, 3)
		f.Contended = contended
		is.Equal(recordSeries(t, f, c, func(l *board.HeadLoad) { l.Gap, l.Pace = 70*l.Requests, float64(l.Requests) }), recordedChoices)
	}
	c := clock.NewManual(clock.Instant(time.Hour))
	f := newChooser(t, c, 8, 2, 3)
	f.Contended = func(string) bool { return true }
	is.True(recordSeries(t, f, c, func(*board.HeadLoad) {}) != recordedChoices) // the series does distinguish
}
