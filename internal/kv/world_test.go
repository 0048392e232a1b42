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

const testTime = 20 * time.Second

// source is the view of a test; the test replaces the snapshot.
type source struct{ snap *view.Snapshot }

func (s *source) Snapshot() *view.Snapshot { return s.snap }

// world is a mover with stand-in engines and a stand-in object store.
type world struct {
	t       testing.TB
	store   platform.Objects
	client  *engine.Client
	now     *clock.Manual
	uses    *Uses
	src     *source
	explain *explain.Store
	held    bool
	mover   *Mover
	prefill float64 // prompt tokens a second of the engines
}

func newWorld(t testing.TB, store platform.Objects) *world {
	w := &world{
		t: t, store: store, client: engine.NewClient(engine.WithTimeout(testTime)), now: clock.NewManual(start),
		src: &source{snapOf()}, explain: explain.NewStore("n", 100, 100), held: true, prefill: 1e6,
	}
	t.Cleanup(w.client.Close)
	w.uses = NewUses(w.now)
	w.start()
	return w
}

// start starts the mover's process, anew when it ran before.
func (w *world) start() {
	costs := DefaultCosts()
	costs.Within = testTime
	w.mover = New(Options{
		View: w.src, Held: func() bool { return w.held }, Engines: w.client, Objects: w.store, Uses: w.uses,
		Costs: costs, Clock: w.now, Explain: w.explain,
	})
}

// node is a stand-in engine VM.
type node struct {
	*standin.Engine
	addr string
}

func (w *world) engine(name string) *node {
	e := standin.New(standin.Options{
		VM: fleet.VM(name), TokensPerSecond: 5000, PrefillTokensPerSecond: w.prefill, LoadTime: standin.Immediately,
		LoadLag: standin.Immediately, CacheEventLag: standin.Immediately, Objects: w.store,
	})
	srv := httptest.NewServer(e)
	w.t.Cleanup(func() {
		e.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return &node{e, srv.Listener.Addr().String()}
}

// join makes the engine a group and returns what the view holds of it.
func (w *world) join(n *node, id fleet.GroupID, phase fleet.Phase, version string) view.Group {
	g := replica(id, phase, version, "a")
	g.Members[0] = fleet.Member{VM: n.State().VM, Boot: n.State().Boot, Addr: n.addr, Fence: n.State().Fence + 1}
	_, ok := n.Order(engine.Order{
		Verb: engine.VerbJoin, Fence: g.Members[0].Fence, Boot: g.Members[0].Boot, Group: id, Generation: 1,
		Model: "m", Version: version, Adapters: []string{"a"}, Peers: []string{n.addr},
	})
	if !ok {
		w.t.Fatal("the order was refused")
	}
	return g
}

var question = []engine.Message{{Role: "user", Content: strings.Repeat("the rules of the race, ", 400)}}

// ask sends the prompt to a group's leader and returns its cached tokens.
func (w *world) ask(g *view.Group) int {
	w.t.Helper()
	body, err := json.Marshal(engine.ChatRequest{Model: "m", Messages: question, MaxTokens: 1})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
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
	w.uses.Note(g.ID, engine.Prefixes("m", "", engine.PromptFields(question)))
	return a.Usage.CachedTokens
}

// see steps the mover with a new snapshot.
func (w *world) see(groups ...view.Group) {
	w.src.snap = snapOf(groups...)
	for i := range w.src.snap.VMs {
		w.src.snap.VMs[i].Probe.State.Boot = groups[i].Members[0].Boot
	}
	w.mover.Step(context.Background())
}

func with(g view.Group, phase fleet.Phase) view.Group {
	g.Phase = phase
	return g
}

// warm has a group asked often enough that its cache is worth moving.
func (w *world) warm(g *view.Group) {
	for range 4 {
		w.ask(g)
	}
}

// decisions returns what was explained of a group's moves.
func (w *world) decisions(id fleet.GroupID) string {
	var out []string
	for _, st := range w.explain.Steps(string(id)) {
		out = append(out, st.Decision)
	}
	return strings.Join(out, "; ")
}
