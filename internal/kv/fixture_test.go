package kv

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	standin "chervilloom/internal/standin/engine"
	"chervilloom/internal/view"
)

const testTimeout = 20 * time.Second

// source is a view whose snapshot the test replaces.
type source struct{ snap *view.Snapshot }

func (s *source) Snapshot() *view.Snapshot { return s.snap }

// moverFixture is a mover with stand-in engines and a stand-in object store.
type moverFixture struct {
	t                testing.TB
	store            platform.Objects
	client           *engine.Client
	now              *clock.Manual
	uses             *Uses
	src              *source
	explain          *explain.Store
	held             bool
	mover            *Mover
	prefillPerSecond float64 // prompt tokens per second of the engines
}

func newMoverFixture(t testing.TB, store platform.Objects) *moverFixture {
	w := &moverFixture{
		t: t, store: store, client: engine.NewClient(engine.WithTimeout(testTimeout)), now: clock.NewManual(start),
		src: &source{snapshotOf()}, explain: explain.NewStore("n", 100, 100), held: true, prefillPerSecond: 1e6,
	}
	t.Cleanup(w.client.Close)
	w.uses = NewUses(w.now)
	w.start()
	return w
}

// start creates the mover; called again it simulates a restart of the process.
func (w *moverFixture) start() {
	costs := DefaultCosts()
	costs.Timeout = testTimeout
	w.mover = New(Options{
		View: w.src, HoldsDuty: func() bool { return w.held }, Engines: w.client, Objects: w.store, Uses: w.uses,
		Costs: costs, Clock: w.now, Explain: w.explain,
	})
}

// engineNode is a stand-in engine VM.
type engineNode struct {
	*standin.Engine
	addr string
}

func (w *moverFixture) engine(name string) *engineNode {
	e := standin.New(standin.Options{
		VM: fleet.VM(name), TokensPerSecond: 5000, PrefillTokensPerSecond: w.prefillPerSecond, LoadTime: standin.NoDelay,
		LoadLag: standin.NoDelay, CacheEventLag: standin.NoDelay, Objects: w.store,
	})
	srv := httptest.NewServer(e)
	w.t.Cleanup(func() {
		e.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return &engineNode{e, srv.Listener.Addr().String()}
}

// join orders the engine to form a group and returns the group as in a snapshot.
func (w *moverFixture) join(n *engineNode, id fleet.GroupID, phase fleet.Phase, version string) view.Group {
	g := replica(id, phase, version, "a")
	g.Members[0] = fleet.Member{VM: n.State().VM, Boot: n.State().Boot, Addr: n.addr, Fence: n.State().Fence + 1}
	_, ok := n.Order(engine.Order{
		Verb: engine.VerbJoin, Fence: g.Members[0].Fence, Boot: g.Members[0].Boot, Group: id, Generation: 1,
		Model: "m", Version: version, Adapters: []string{"a"}, Peers: []string{n.addr},
	})
	if !ok {
		w.t.Fatal("the join order was rejected")
	}
	return g
}

var promptMessages = []engine.Message{{Role: "user", Content: strings.Repeat("the rules of the race, ", 400)}}

// sendPrompt sends the prompt to a group's leader and returns the number of cached tokens.
func (w *moverFixture) sendPrompt(g *view.Group) int {
	w.t.Helper()
	body, err := json.Marshal(engine.ChatRequest{Model: "m", Messages: promptMessages, MaxTokens: 1})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Members[0].Addr+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Header.Set(engine.HeaderGeneration, engine.GenerationTag(g.ID, g.Generation))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer res.Body.Close()
	var a engine.ChatAnswer
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil || res.StatusCode != http.StatusOK {
		w.t.Fatal(res.StatusCode, err)
	}
	w.uses.Record(g.ID, engine.Prefixes("m", "", engine.PromptFields(promptMessages)))
	return a.Usage.CachedTokens
}

// step runs one step of the mover with a snapshot of the groups.
func (w *moverFixture) step(groups ...view.Group) {
	w.src.snap = snapshotOf(groups...)
	for i := range w.src.snap.VMs {
		w.src.snap.VMs[i].Probe.State.Boot = groups[i].Members[0].Boot
	}
	w.mover.Step(context.Background())
}

func withPhase(g view.Group, phase fleet.Phase) view.Group {
	g.Phase = phase
	return g
}

// warmCache sends the prompt often enough to make the group's cache worth moving.
func (w *moverFixture) warmCache(g *view.Group) {
	for range 4 {
		w.sendPrompt(g)
	}
}

// decisions returns the recorded decisions of a group, joined by "; ".
func (w *moverFixture) decisions(id fleet.GroupID) string {
	var out []string
	for _, st := range w.explain.Steps(string(id)) {
		out = append(out, st.Decision)
	}
	return strings.Join(out, "; ")
}
