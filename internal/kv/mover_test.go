package kv

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	standin "chervilloom/internal/standin/engine"
	objects "chervilloom/internal/standin/platform"
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

// A group drains and a new one takes its place. With the move the first caller of
// the new group finds the prompt cached; without it the engine computes it again.
func TestMoveWarmsTheNewGroup(t *testing.T) {
	for _, c := range []struct {
		name  string
		holds bool
	}{{"with the move", true}, {"without", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, objects.New(objects.Options{}))
			w.held = c.holds
			old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
			w.see(old)
			w.warm(&old)
			w.see(with(old, fleet.PhaseDraining))
			fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
			w.see(fresh)
			cached := w.ask(&fresh)
			is.Equal(cached > 0, c.holds)
			if c.holds {
				is.Equal(w.decisions("g"), "export")
				is.Equal(w.decisions("n"), "import")
			}
		})
	}
}

// The holder of the duty dies after an export; the next one knows nothing of it.
// It must not import what it cannot vouch for, and the next drain of the same key
// overwrites the object and is imported as if nothing had happened.
func TestCrashBetweenExportAndImport(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.see(old)
	w.warm(&old)
	w.see(with(old, fleet.PhaseDraining))
	is.Equal(w.decisions("g"), "export")
	w.start()
	second := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
	w.see()
	w.see(second)
	is.Equal(w.decisions("n"), "")
	is.Equal(w.ask(&second), 0)
	w.warm(&second)
	w.see(with(second, fleet.PhaseDraining))
	is.Equal(w.decisions("n"), "export")
	third := w.join(w.engine("e3"), "o", fleet.PhaseServing, "1")
	w.see(third)
	is.True(w.ask(&third) > 0)
}

// The duty goes to another node and comes back. Meanwhile the other node may have
// exported under the same name, and failed: what was known does not count.
func TestDutyLostBetweenExportAndImport(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.see(old)
	w.warm(&old)
	w.see(with(old, fleet.PhaseDraining))
	w.held = false
	w.see()
	w.held = true
	w.see()
	fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
	w.see(fresh)
	is.Equal(w.decisions("n"), "")
	is.Equal(w.ask(&fresh), 0)
}

// The leader is ordered into a group of another version between the snapshot and
// the move, as after a drain that was short. Its cache must not leave under the
// old version's name, nor may it take in what belongs to the old version.
func TestLeaderMovedOn(t *testing.T) {
	t.Run("export", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, objects.New(objects.Options{}))
		e := w.engine("e1")
		old := w.join(e, "g", fleet.PhaseServing, "1")
		w.warm(&old)
		w.join(e, "x", fleet.PhaseServing, "2")
		w.see(with(old, fleet.PhaseDraining))
		is.True(strings.HasPrefix(w.decisions("g"), "export failed"))
		_, err := w.store.GetObject(t.Context(), KeyOf(&old.Group).Object())
		is.True(errors.Is(err, platform.ErrNotFound))
	})
	t.Run("import", func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, objects.New(objects.Options{}))
		old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
		w.see(old)
		w.warm(&old)
		w.see(with(old, fleet.PhaseDraining))
		e := w.engine("e2")
		fresh := w.join(e, "n", fleet.PhaseServing, "1")
		moved := w.join(e, "x", fleet.PhaseServing, "2")
		w.see(fresh)
		is.True(strings.HasPrefix(w.decisions("n"), "import failed"))
		is.Equal(w.ask(&moved), 0)
	})
}

// movingEngines order the leader elsewhere just before the move itself, when all
// checks before it have passed.
type movingEngines struct {
	*engine.Client
	move func()
}

func (m *movingEngines) ExportKV(ctx context.Context, addr string, k engine.KVMove) error {
	m.move()
	k.Generation = "" // an engine that does not check it
	return m.Client.ExportKV(ctx, addr, k)
}

func (m *movingEngines) ImportKV(ctx context.Context, addr string, k engine.KVMove) error {
	m.move()
	return m.Client.ImportKV(ctx, addr, k)
}

// The leader moves on after the mover has asked it and before the order arrives.
// An engine that checks the order's generation refuses it. One that does not
// writes the wrong cache, and the check afterwards keeps it from being imported.
func TestLeaderMovesOnDuringTheMove(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, objects.New(objects.Options{}))
	e := w.engine("e1")
	old := w.join(e, "g", fleet.PhaseServing, "1")
	w.see(old)
	w.warm(&old)
	w.mover.opt.Engines = &movingEngines{w.client, func() { w.join(e, "x", fleet.PhaseServing, "2") }}
	w.see(with(old, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("g"), "export failed"))
	is.Equal(len(w.mover.mem.objects), 0)

	second := w.join(w.engine("e2"), "h", fleet.PhaseServing, "1")
	w.mover.opt.Engines = w.client
	w.see(second)
	w.warm(&second)
	w.see(with(second, fleet.PhaseDraining))
	is.Equal(w.decisions("h"), "export")
	e3 := w.engine("e3")
	fresh := w.join(e3, "n", fleet.PhaseServing, "1")
	var moved view.Group
	w.mover.opt.Engines = &movingEngines{w.client, func() { moved = w.join(e3, "y", fleet.PhaseServing, "2") }}
	w.see(fresh)
	is.True(strings.HasPrefix(w.decisions("n"), "import failed"))
	is.Equal(w.ask(&moved), 0)
}

// uncheckedEngines take every move, whatever generation it is meant for.
type uncheckedEngines struct{ *engine.Client }

func (u uncheckedEngines) ExportKV(ctx context.Context, addr string, k engine.KVMove) error {
	k.Generation = ""
	return u.Client.ExportKV(ctx, addr, k)
}

func (u uncheckedEngines) ImportKV(ctx context.Context, addr string, k engine.KVMove) error {
	k.Generation = ""
	return u.Client.ImportKV(ctx, addr, k)
}

// A good export is waiting for a new group when another group of the key drains
// whose leader has moved on. Its engine checks nothing: without asking it first,
// its cache would take the place of the good one under the same name.
func TestMovedLeaderDoesNotOverwrite(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, objects.New(objects.Options{}))
	w.mover.opt.Engines = uncheckedEngines{w.client}
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.see(old)
	w.warm(&old)
	w.see(with(old, fleet.PhaseDraining))
	name := KeyOf(&old.Group).Object()
	good, err := w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	e := w.engine("e2")
	second := w.join(e, "h", fleet.PhaseServing, "1")
	for range 4 {
		w.uses.Note("h", engine.Prefixes("m", "", engine.PromptFields(question)))
	}
	w.join(e, "x", fleet.PhaseServing, "2")
	w.see(with(second, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("h"), "export failed"))
	now, err := w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	is.Equal(string(now), string(good))
}

// A good export is waiting for a new group when the export of another group of
// the key fails half way. What the object holds now is not known: the new group
// computes its prompts rather than import it.
func TestFailedExportTakesTheObjectBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.see(old)
	w.warm(&old)
	w.see(with(old, fleet.PhaseDraining))
	e := w.engine("e2")
	second := w.join(e, "h", fleet.PhaseServing, "1")
	w.warm(&second)
	w.mover.opt.Engines = &movingEngines{w.client, func() { w.join(e, "x", fleet.PhaseServing, "2") }}
	w.see(with(second, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("h"), "export failed"))
	w.mover.opt.Engines = w.client
	fresh := w.join(w.engine("e3"), "n", fleet.PhaseServing, "1")
	w.see(fresh)
	is.Equal(w.decisions("n"), "")
	is.Equal(w.ask(&fresh), 0)
}

// The object store is down. The export fails, the drain goes on, and the new
// group serves cold.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	store := objects.New(objects.Options{})
	w := newWorld(t, store)
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.see(old)
	w.warm(&old)
	store.SetFaults(objects.Faults{Down: objects.DownRefused})
	w.see(with(old, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("g"), "export failed"))
	store.SetFaults(objects.Faults{})
	fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
	w.see(fresh)
	is.Equal(w.ask(&fresh), 0)
}

func TestOldObjectIsEmptied(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.warm(&old)
	w.see(with(old, fleet.PhaseDraining))
	name := KeyOf(&old.Group).Object()
	data, err := w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	is.True(len(data) > 0)
	w.now.Advance(DefaultCosts().Useful + time.Second)
	w.see()
	data, err = w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	is.Equal(len(data), 0)
}

func TestRunEndsWithItsContext(t *testing.T) {
	w := newWorld(t, objects.New(objects.Options{}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.New(t).NoErr(w.mover.Run(ctx))
}
