package group

import (
	"context"
	"flag"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/probe"
	"chervilloom/internal/view"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// result; -rapid.seed=N selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

func testDocument(vms, replicas int) *config.Document {
	return &config.Document{
		Version: 1,
		Models:  []config.Model{{Name: "m", Current: "v1", Versions: []string{"v1"}}},
		Groups: []config.GroupSpec{{
			Name: "chat", Model: "m", ModelVer: "v1", VMs: vms, Min: replicas, Max: replicas, OneDomain: true,
		}},
	}
}

// liveNode is a node's running control path with a fake table and fake engines.
type liveNode struct {
	table   *fakeTable
	engines *fakeEngines
	merger  *view.Merger
	prober  *probe.Prober
	stop    func()
}

func startLiveNode(t *testing.T, d *config.Document, sizes ...int) *liveNode {
	t.Helper()
	engines, list := newFleet("z", sizes...)
	table := newFakeTable()
	self := fleet.Node{VM: "node1", Incarnation: 1}
	clk := clock.Boot{}
	log := slog.New(slog.DiscardHandler)
	m := view.NewMerger(self, "z", clk)
	set := probe.Settings{Period: 10 * time.Millisecond, LoadEvery: 20 * time.Millisecond}
	pr := probe.New(set, engines, m, m, clk, 1, prometheus.NewRegistry())
	lm := &lease.Manager{
		Duty: Duty("z"), Self: self, Params: lease.DefaultParams(time.Second), Table: table, Clock: clk,
		Rank: func() int { return 0 }, Log: log,
	}
	tune := DefaultParams()
	tune.DeadAfter, tune.DrainPropagation = 50*time.Millisecond, 50*time.Millisecond
	rec := New(Deps{
		Zone: "z", Table: table, Orders: engines, Lease: lm, View: m, Sink: m, Clock: clk,
		Explain: explain.NewStore("node1", 100, 10), Log: log, Registry: prometheus.NewRegistry(), Params: tune,
		Timing: Timing{PlanInterval: 10 * time.Millisecond, ReadInterval: 50 * time.Millisecond, LeaseMargin: 50 * time.Millisecond},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 4)
	for _, run := range []func(context.Context) error{m.Run, pr.Run, lm.Run, rec.Run} {
		go func() { done <- run(ctx) }()
	}
	m.Put(view.List{At: clk.Now(), Records: list})
	m.Put(view.Configured{Revision: 1, Document: d})
	l := &liveNode{table: table, engines: engines, merger: m, prober: pr}
	l.stop = func() {
		cancel()
		for range 4 {
			<-done
		}
	}
	t.Cleanup(l.stop)
	return l
}

// waitFor polls the snapshot until the condition is true. The timeout is much
// longer than any condition needs; it only ends a test that would hang.
func (l *liveNode) waitFor(t *testing.T, what string, condition func(*view.Snapshot) bool) *view.Snapshot {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if s := l.merger.Snapshot(); condition(s) {
			return s
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("timeout waiting for %s; groups: %+v", what, l.merger.Snapshot().Groups)
	return nil
}

func servingGroups(s *view.Snapshot) []view.Group {
	var out []view.Group
	for _, g := range s.Groups {
		if g.Whole && g.Phase == fleet.PhaseServing && s.At.Before(g.FreshUntil) {
			out = append(out, g)
		}
	}
	return out
}

// A group of four engine VMs is formed through the table: probes find the engines,
// the lease is acquired, one transaction claims four VMs of one domain, orders
// make them join, and the group serves once all four report the generation.
func TestFormsAGroupThatServes(t *testing.T) {
	is := is.New(t)
	l := startLiveNode(t, testDocument(4, 1), 5)
	s := l.waitFor(t, "one serving group", func(s *view.Snapshot) bool { return len(servingGroups(s)) == 1 })
	g := servingGroups(s)[0]
	is.Equal(len(g.Members), 4)
	is.Equal(g.Model, "m")
	is.NoErr(l.prober.Check(context.Background(), &g.Group))
}

// A member dies and no longer answers probes. The next generation must consist of
// the remaining members and a spare of the same fabric domain.
func TestReplacesADeadMember(t *testing.T) {
	is := is.New(t)
	l := startLiveNode(t, testDocument(4, 1), 5)
	s := l.waitFor(t, "one serving group", func(s *view.Snapshot) bool { return len(servingGroups(s)) == 1 })
	old := servingGroups(s)[0]
	l.engines.mu.Lock()
	l.engines.byAddr[old.Members[1].Addr].dead = true
	l.engines.mu.Unlock()
	s = l.waitFor(t, "the next generation serves", func(s *view.Snapshot) bool {
		now := servingGroups(s)
		return len(now) == 1 && now[0].Generation > old.Generation
	})
	g := servingGroups(s)[0]
	is.Equal(g.ID, old.ID)
	for _, m := range g.Members {
		is.True(m.VM != old.Members[1].VM)
	}
}
