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

// A group drains and a new one replaces it. With the move the first request to the new
// group finds its prompt cached; without it the engine computes the prompt again.
func TestMoveWarmsTheNewGroup(t *testing.T) {
	for _, c := range []struct {
		name  string
		holds bool
	}{{"with the move", true}, {"without", false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newMoverFixture(t, objects.New(objects.Options{}))
			w.held = c.holds
			old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
			w.step(old)
			w.warmCache(&old)
			w.step(withPhase(old, fleet.PhaseDraining))
			fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
			w.step(fresh)
			cached := w.sendPrompt(&fresh)
			is.Equal(cached > 0, c.holds)
			if c.holds {
				is.Equal(w.decisions("g"), "export")
				is.Equal(w.decisions("n"), "import")
			}
		})
	}
}

// The holder of the duty crashes after an export, and the next holder has no record of
// it. Guards against importing an object of unknown content. The next drain of the same
// key must overwrite the object and be imported as usual.
func TestCrashBetweenExportAndImport(t *testing.T) {
	is := is.New(t)
	w := newMoverFixture(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.step(old)
	w.warmCache(&old)
	w.step(withPhase(old, fleet.PhaseDraining))
	is.Equal(w.decisions("g"), "export")
	w.start()
	second := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
	w.step()
	w.step(second)
	is.Equal(w.decisions("n"), "")
	is.Equal(w.sendPrompt(&second), 0)
	w.warmCache(&second)
	w.step(withPhase(second, fleet.PhaseDraining))
	is.Equal(w.decisions("n"), "export")
	third := w.join(w.engine("e3"), "o", fleet.PhaseServing, "1")
	w.step(third)
	is.True(w.sendPrompt(&third) > 0)
}

// The duty moves to another node and back. The other node may have exported to the same
// object and failed, so the earlier record of the export must not be used.
func TestDutyLostBetweenExportAndImport(t *testing.T) {
	is := is.New(t)
	w := newMoverFixture(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.step(old)
	w.warmCache(&old)
	w.step(withPhase(old, fleet.PhaseDraining))
	w.held = false
	w.step()
	w.held = true
	w.step()
	fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
	w.step(fresh)
	is.Equal(w.decisions("n"), "")
	is.Equal(w.sendPrompt(&fresh), 0)
}

// The leader joins a group of another version between the snapshot and the move, as after
// a short drain. Guards against exporting its cache under the old version's key, and
// against importing the old version's cache into it.
func TestMoveFailsAfterLeaderChangedGroup(t *testing.T) {
	t.Run("export", func(t *testing.T) {
		is := is.New(t)
		w := newMoverFixture(t, objects.New(objects.Options{}))
		e := w.engine("e1")
		old := w.join(e, "g", fleet.PhaseServing, "1")
		w.warmCache(&old)
		w.join(e, "x", fleet.PhaseServing, "2")
		w.step(withPhase(old, fleet.PhaseDraining))
		is.True(strings.HasPrefix(w.decisions("g"), "export failed"))
		_, err := w.store.GetObject(t.Context(), KeyOf(&old.Group).ObjectName())
		is.True(errors.Is(err, platform.ErrNotFound))
	})
	t.Run("import", func(t *testing.T) {
		is := is.New(t)
		w := newMoverFixture(t, objects.New(objects.Options{}))
		old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
		w.step(old)
		w.warmCache(&old)
		w.step(withPhase(old, fleet.PhaseDraining))
		e := w.engine("e2")
		fresh := w.join(e, "n", fleet.PhaseServing, "1")
		moved := w.join(e, "x", fleet.PhaseServing, "2")
		w.step(fresh)
		is.True(strings.HasPrefix(w.decisions("n"), "import failed"))
		is.Equal(w.sendPrompt(&moved), 0)
	})
}

// reassigningEngines calls reassign, which assigns the leader to another group, right before
// the export or import request, after all earlier checks have passed.
type reassigningEngines struct {
	*engine.Client
	reassign func()
}

func (m *reassigningEngines) ExportKV(ctx context.Context, addr string, k engine.KVMove) error {
	m.reassign()
	k.Generation = "" // simulates an engine that doesn't check it
	return m.Client.ExportKV(ctx, addr, k)
}

func (m *reassigningEngines) ImportKV(ctx context.Context, addr string, k engine.KVMove) error {
	m.reassign()
	return m.Client.ImportKV(ctx, addr, k)
}

// The leader joins another group after the mover's check and before the request arrives.
// An engine that checks the request's generation rejects it. One that doesn't writes the
// wrong cache, and the check afterwards must prevent its import.
func TestMoveFailsIfLeaderChangesGroupDuringMove(t *testing.T) {
	is := is.New(t)
	w := newMoverFixture(t, objects.New(objects.Options{}))
	e := w.engine("e1")
	old := w.join(e, "g", fleet.PhaseServing, "1")
	w.step(old)
	w.warmCache(&old)
	w.mover.opt.Engines = &reassigningEngines{w.client, func() { w.join(e, "x", fleet.PhaseServing, "2") }}
	w.step(withPhase(old, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("g"), "export failed"))
	is.Equal(len(w.mover.memory.objects), 0)

	second := w.join(w.engine("e2"), "h", fleet.PhaseServing, "1")
	w.mover.opt.Engines = w.client
	w.step(second)
	w.warmCache(&second)
	w.step(withPhase(second, fleet.PhaseDraining))
	is.Equal(w.decisions("h"), "export")
	e3 := w.engine("e3")
	fresh := w.join(e3, "n", fleet.PhaseServing, "1")
	var moved view.Group
	w.mover.opt.Engines = &reassigningEngines{w.client, func() { moved = w.join(e3, "y", fleet.PhaseServing, "2") }}
	w.step(fresh)
	is.True(strings.HasPrefix(w.decisions("n"), "import failed"))
	is.Equal(w.sendPrompt(&moved), 0)
}

// uncheckedEngines simulates engines that accept a move for any generation.
type uncheckedEngines struct{ *engine.Client }

func (u uncheckedEngines) ExportKV(ctx context.Context, addr string, k engine.KVMove) error {
	k.Generation = ""
	return u.Client.ExportKV(ctx, addr, k)
}

func (u uncheckedEngines) ImportKV(ctx context.Context, addr string, k engine.KVMove) error {
	k.Generation = ""
	return u.Client.ImportKV(ctx, addr, k)
}

// A valid export awaits its import when another group of the key drains whose leader has
// joined another group. The leader's engine doesn't check the generation: without the
// mover's check before the move its cache would overwrite the valid object.
func TestChangedLeaderDoesNotOverwriteExport(t *testing.T) {
	is := is.New(t)
	w := newMoverFixture(t, objects.New(objects.Options{}))
	w.mover.opt.Engines = uncheckedEngines{w.client}
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.step(old)
	w.warmCache(&old)
	w.step(withPhase(old, fleet.PhaseDraining))
	name := KeyOf(&old.Group).ObjectName()
	good, err := w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	e := w.engine("e2")
	second := w.join(e, "h", fleet.PhaseServing, "1")
	for range 4 {
		w.uses.Record("h", engine.Prefixes("m", "", engine.PromptFields(promptMessages)))
	}
	w.join(e, "x", fleet.PhaseServing, "2")
	w.step(withPhase(second, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("h"), "export failed"))
	now, err := w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	is.Equal(string(now), string(good))
}

// A valid export awaits its import when the export of another group of the key fails
// midway. The object's content is unknown: the new group must compute its prompts instead
// of importing it.
func TestFailedExportInvalidatesObject(t *testing.T) {
	is := is.New(t)
	w := newMoverFixture(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.step(old)
	w.warmCache(&old)
	w.step(withPhase(old, fleet.PhaseDraining))
	e := w.engine("e2")
	second := w.join(e, "h", fleet.PhaseServing, "1")
	w.warmCache(&second)
	w.mover.opt.Engines = &reassigningEngines{w.client, func() { w.join(e, "x", fleet.PhaseServing, "2") }}
	w.step(withPhase(second, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("h"), "export failed"))
	w.mover.opt.Engines = w.client
	fresh := w.join(w.engine("e3"), "n", fleet.PhaseServing, "1")
	w.step(fresh)
	is.Equal(w.decisions("n"), "")
	is.Equal(w.sendPrompt(&fresh), 0)
}

// The object store is unavailable. The export fails, the drain continues, and the new
// group starts with a cold cache.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	store := objects.New(objects.Options{})
	w := newMoverFixture(t, store)
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.step(old)
	w.warmCache(&old)
	store.SetFaults(objects.Faults{Down: objects.DownUnavailable})
	w.step(withPhase(old, fleet.PhaseDraining))
	is.True(strings.HasPrefix(w.decisions("g"), "export failed"))
	store.SetFaults(objects.Faults{})
	fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
	w.step(fresh)
	is.Equal(w.sendPrompt(&fresh), 0)
}

func TestOldObjectIsEmptied(t *testing.T) {
	is := is.New(t)
	w := newMoverFixture(t, objects.New(objects.Options{}))
	old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
	w.warmCache(&old)
	w.step(withPhase(old, fleet.PhaseDraining))
	name := KeyOf(&old.Group).ObjectName()
	data, err := w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	is.True(len(data) > 0)
	w.now.Advance(DefaultCosts().CacheLifetime + time.Second)
	w.step()
	data, err = w.store.GetObject(t.Context(), name)
	is.NoErr(err)
	is.Equal(len(data), 0)
}

func TestRunStopsWithContext(t *testing.T) {
	w := newMoverFixture(t, objects.New(objects.Options{}))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.New(t).NoErr(w.mover.Run(ctx))
}
