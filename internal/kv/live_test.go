package kv

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/group"
	"chervilloom/internal/lease"
	"chervilloom/internal/probe"
	objects "chervilloom/internal/standin/platform"
	"chervilloom/internal/view"
)

// controlFixture runs a node's control components with stand-ins for the engines and the
// platform.
type controlFixture struct {
	*moverFixture
	merger    *view.Merger
	lease     *lease.Manager
	heldSteps atomic.Int64 // number of duty checks by the mover that found the duty held
}

func startControl(t *testing.T) *controlFixture {
	store := objects.New(objects.Options{NoLimits: true})
	c := &controlFixture{moverFixture: newMoverFixture(t, store)}
	clk, log, self := clock.Boot{}, slog.New(slog.DiscardHandler), fleet.Node{VM: "node", Incarnation: 1}
	c.uses = NewUses(clk)
	c.merger = view.NewMerger(self, "z", clk)
	c.lease = &lease.Manager{
		Duty: group.Duty("z"), Self: self, Params: lease.DefaultParams(5 * time.Second), Table: store, Clock: clk,
		Rank: func() int { return 0 }, Log: log,
	}
	set := probe.Settings{Period: 20 * time.Millisecond, LoadEvery: 40 * time.Millisecond, Timeout: testTimeout}
	prober := probe.New(set, c.client, c.merger, c.merger, clk, 1, prometheus.NewRegistry())
	tune := group.DefaultParams()
	tune.DrainPropagation = 50 * time.Millisecond
	groups := group.New(group.Deps{
		Zone: "z", Table: store, Orders: c.client, Lease: c.lease, View: c.merger, Sink: c.merger, Clock: clk,
		Explain: c.explain, Log: log, Registry: prometheus.NewRegistry(), Params: tune,
		Timing: group.Timing{PlanInterval: 20 * time.Millisecond, ReadInterval: 100 * time.Millisecond, LeaseMargin: 50 * time.Millisecond},
	})
	costs := DefaultCosts()
	costs.Timeout = testTimeout
	mover := New(Options{
		View: c.merger, HoldsDuty: c.holdsDuty, Engines: c.client,
		Objects: store, Uses: c.uses, Costs: costs, Clock: clk, Explain: c.explain, Registerer: prometheus.NewRegistry(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	runs := []func(context.Context) error{c.merger.Run, c.lease.Run, prober.Run, groups.Run, mover.Run}
	done := make(chan error, len(runs))
	for _, run := range runs {
		go func() { done <- run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range runs {
			<-done
		}
	})
	return c
}

func (c *controlFixture) holdsDuty() bool {
	_, held := c.lease.Held(clock.Boot{}.Now())
	if held {
		c.heldSteps.Add(1)
	}
	return held
}

// waitFor polls until ok returns true and fails the test after testTimeout.
func (c *controlFixture) waitFor(what string, ok func() bool) {
	c.t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for _, g := range c.merger.Snapshot().Groups {
				c.t.Logf("%s %s: %+v", g.ID, g.Phase, c.explain.Steps(string(g.ID)))
			}
			c.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// waitForServing waits for a whole serving group other than the given one.
func (c *controlFixture) waitForServing(not fleet.GroupID) view.Group {
	var out view.Group
	c.waitFor("a serving group", func() bool {
		for _, g := range c.merger.Snapshot().Groups {
			if g.Whole && g.Phase == fleet.PhaseServing && g.ID != not {
				out = g
				return true
			}
		}
		return false
	})
	return out
}

// startRequest starts a request at the group that runs until the returned function is
// called, so that the group's drain doesn't end before.
func (c *controlFixture) startRequest(g *view.Group) func() {
	ctx, cancel := context.WithCancel(context.Background())
	body := `{"model":"m","stream":true,"max_tokens":1000000,"messages":[{"role":"user","content":"x"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Members[0].Addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set(engine.HeaderGeneration, engine.GenerationTag(g.ID, g.Generation))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil || res.StatusCode != http.StatusOK {
		c.t.Fatal(res, err)
	}
	return func() {
		cancel()
		_ = res.Body.Close()
	}
}

// The platform reports that a group's VM is leaving. The planner drains the group and
// forms another one on a spare VM. The cache is moved while a request still runs in the
// first group, and the first request to the second group finds its prompt cached.
func TestLeavingVMMovesItsCache(t *testing.T) {
	is := is.New(t)
	c := startControl(t)
	var list []fleet.Record
	for _, name := range []string{"e1", "e2"} {
		e := c.engine(name)
		list = append(list, fleet.Record{
			VM: fleet.VM(name), Kind: fleet.KindEngine, Addr: e.addr, Zone: "z", Domain: "d", Accelerators: 1, State: fleet.StateLive,
		})
	}
	c.merger.Put(view.Configured{Revision: 1, Document: &config.Document{FenceChecked: []string{"*"},
		Version: 1,
		Models:  []config.Model{{Name: "m", Current: "1", Versions: []string{"1"}, Adapters: []string{"a"}}},
		Groups:  []config.GroupSpec{{Name: "one", Model: "m", ModelVer: "1", Adapters: []string{"a"}, VMs: 1, Min: 1, Max: 1}},
	}})
	c.merger.Put(view.List{At: clock.Boot{}.Now(), Records: list})
	old := c.waitForServing("")
	c.warmCache(&old)
	// The mover must have run once before: it makes no import into groups that already
	// serve when it acquires the duty.
	seen := c.heldSteps.Load()
	c.waitFor("two steps of the mover", func() bool { return c.heldSteps.Load() >= seen+2 })
	release := c.startRequest(&old)
	defer release()
	c.merger.Put(view.MarkLeaving{VM: old.Members[0].VM, Boot: old.Members[0].Boot, Reason: "platform list"})
	c.waitFor("the export", func() bool { return c.moveSucceeded(old.ID, string(Export)) })
	release()
	fresh := c.waitForServing(old.ID)
	is.True(fresh.Members[0].VM != old.Members[0].VM)
	c.waitFor("the import", func() bool { return c.moveSucceeded(fresh.ID, string(Import)) })
	is.True(c.sendPrompt(&fresh) > 0)
}

// moveSucceeded reports whether a successful action of the group was recorded.
func (c *controlFixture) moveSucceeded(id fleet.GroupID, decision string) bool {
	for _, st := range c.explain.Steps(string(id)) {
		if st.Stage == "kv" && st.Decision == decision {
			return true
		}
	}
	return false
}
