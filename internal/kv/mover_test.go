package kv

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	objects "chervilloom/internal/standin/platform"
	"chervilloom/internal/view"
)

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
