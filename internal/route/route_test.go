package route

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

func TestPickByTarget(t *testing.T) {
	v2 := group("g2", "z1", 0)
	v2.Version = "v2"
	bare := group("g3", "z1", 0)
	bare.Adapters = nil
	cases := []struct {
		name   string
		target fleet.Target
		groups []view.Group
		want   fleet.GroupID
	}{
		{"no version means the current one", fleet.Target{Model: "m"}, []view.Group{group("g1", "z1", 7), v2}, "g1"},
		{"explicit version", fleet.Target{Model: "m", Version: "v2"}, []view.Group{group("g1", "z1", 0), v2}, "g2"},
		{"group must carry the adapter", fleet.Target{Model: "m", Adapter: "a"}, []view.Group{bare, group("g1", "z1", 7)}, "g1"},
		{"own zone is preferred", fleet.Target{Model: "m"}, []view.Group{group("far", "z2", 0), group("g1", "z1", 5)}, "g1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := snapshot("")
			s.Groups = c.groups
			s.Nodes = []view.Node{node("n2", "z2")}
			ch, err := router(clock.NewManual(start)).Pick(modelRequest(c.target), s, start, nil)
			is.True(err == nil)
			is.Equal(ch.Kind, ToGroup)
			is.Equal(ch.Group.ID, c.want)
			is.True(ch.Reason != "")
		})
	}
}

func TestRefusals(t *testing.T) {
	broken := group("g1", "z1", 0)
	broken.Whole = false
	stale := group("g1", "z1", 0)
	stale.FreshUntil = start
	cases := []struct {
		name   string
		groups []view.Group
		req    *request.Request
		tried  []TriedDestination
		want   Refusal
	}{
		{"nothing carries it", nil, modelRequest(fleet.Target{Model: "m"}), nil, NoneCarries},
		{"not whole", []view.Group{broken}, modelRequest(fleet.Target{Model: "m"}), nil, NoneWhole},
		{"stale exactly at the limit", []view.Group{stale}, modelRequest(fleet.Target{Model: "m"}), nil, AllStale},
		{"tried", []view.Group{group("g1", "z1", 0)}, modelRequest(fleet.Target{Model: "m"}), []TriedDestination{{Group: "g1"}}, AllTried},
		{"already forwarded once", []view.Group{group("g1", "z2", 0)}, &request.Request{Class: request.ClassModel, Target: fleet.Target{Model: "m"}, Hops: 1}, nil, NoneInZone},
	}
	for _, c := range cases {
		for _, p := range policyNames {
			t.Run(c.name+"/"+p, func(t *testing.T) {
				is := is.New(t)
				s := snapshot(p)
				s.Groups = c.groups
				s.Nodes = []view.Node{node("n2", "z2")}
				_, err := router(clock.NewManual(start)).Pick(c.req, s, start, c.tried)
				is.True(err != nil)
				is.Equal(err.Kind, outcome.NoCapacity)
				is.Equal(err.Outcome, outcome.NotRun)
				is.Equal(err.RetryAfter, refusalTexts[c.want].after)
				is.True(err.RetryAfter > 0)
			})
		}
	}
}

func TestFullZoneSpillsToNode(t *testing.T) {
	is := is.New(t)
	s := snapshot("")
	s.Groups = []view.Group{group("g1", "z1", 20), group("g2", "z2", 0)}
	dead, draining := node("dead", "z2"), node("draining", "z2")
	dead.State, draining.Draining = view.NodeDead, true
	s.Nodes = []view.Node{dead, draining, node("n2", "z2")}
	ch, err := router(clock.NewManual(start)).Pick(modelRequest(fleet.Target{Model: "m"}), s, start, nil)
	is.True(err == nil)
	is.Equal(ch.Kind, ToNode)
	is.Equal(ch.Node, fleet.VM("n2"))
}

func TestServiceEndpoint(t *testing.T) {
	is := is.New(t)
	s := snapshot("")
	leaving, silent := service("s1", "z1", 0), service("s2", "z1", 0)
	leaving.Leaving, silent.Probe.FailingSince = true, start
	s.VMs = []view.VM{leaving, silent, service("s3", "z1", 5)}
	ch, err := router(clock.NewManual(start)).Pick(lookupRequest(), s, start, nil)
	is.True(err == nil)
	is.Equal(ch.Kind, ToEndpoint)
	is.Equal(ch.VM.Record.VM, fleet.VM("s3"))
}

// A report shows one of three groups as idle. A node that ignores the requests it
// has sent since would send all of them there until the next report, so its own
// requests must count immediately.
func TestOwnRequestsCountBeforeTheNextReport(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r := router(now)
	s := snapshot("")
	s.Groups = []view.Group{group("g1", "z1", 0), group("g2", "z1", 1), group("g3", "z1", 1)}
	for range 12 {
		ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, now.Now(), nil)
		is.True(err == nil)
		r.Begin(ch)
		now.Advance(time.Millisecond)
	}
	for _, g := range s.Groups {
		is.True(r.InFlight(g.ID) <= 6)
	}
}

func TestOwnRequestsAreSubtractedFromReport(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(start)
	r := router(now)
	s := snapshot("")
	s.Groups = []view.Group{group("g1", "z1", 0)}
	for range 3 {
		ch, _ := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, now.Now(), nil)
		r.Begin(ch)
	}
	now.Advance(time.Second)
	later := snapshot("")
	later.At = now.Now()
	later.Groups = []view.Group{group("g1", "z1", 5)}
	later.Groups[0].LoadAt = now.Now()
	_, _ = r.Pick(modelRequest(fleet.Target{Model: "m"}), later, now.Now(), nil)
	is.Equal(r.counters.entryStats[0].othersLoad, 2.0) // five reported, three of them from this node
}

// Requests arrive while snapshots are replaced. A caller must not get a group that
// its own, newest snapshot shows as not whole.
func TestConcurrentPicksUseTheirSnapshot(t *testing.T) {
	is := is.New(t)
	r := router(clock.NewManual(start))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 200 {
				s := snapshot("")
				s.At = start + clock.Instant(i)
				s.Groups = []view.Group{group("g1", "z1", 0), group("g2", "z1", 0)}
				s.Groups[1].Whole = false
				ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, start, nil)
				if err != nil || ch.Group.ID != "g1" {
					t.Error("refused, or a group that is not whole was chosen")
					return
				}
				r.Begin(ch)
				r.End(ch, Result{OK: true, FirstByte: 1, Total: 2, Tokens: 2})
			}
		})
	}
	wg.Wait()
	is.Equal(r.InFlight("g1"), 0)
}
