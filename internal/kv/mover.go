package kv

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// tick is the interval between decisions.
const tick = 250 * time.Millisecond

// Engines is the part of the engines' client that moves need.
type Engines interface {
	State(ctx context.Context, addr string) (fleet.EngineState, error)
	ExportKV(ctx context.Context, addr string, m engine.KVMove) error
	ImportKV(ctx context.Context, addr string, m engine.KVMove) error
}

// Objects overwrites what is not needed any more.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
}

// Options sets up a Mover. Objects, Explain, Log and Registerer may be nil.
type Options struct {
	View       view.Source
	Held       func() bool // whether this node holds the zone's duty now
	Engines    Engines     // its own timeout must not be under Costs.Within
	Objects    Objects     // nil: objects stay until they are overwritten
	Uses       *Uses
	Costs      Costs // zero: DefaultCosts
	Clock      clock.Clock
	Explain    explain.Recorder
	Log        *slog.Logger
	Registerer prometheus.Registerer
}

// Mover carries decisions out, one at a time.
type Mover struct {
	opt   Options
	meter *meter
	mem   *Memory
}

// New returns a mover; Run starts it.
func New(o Options) *Mover {
	if o.Costs == (Costs{}) {
		o.Costs = DefaultCosts()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Mover{opt: o, meter: newMeter(o.Registerer), mem: NewMemory()}
}

// Run decides and moves until ctx ends.
func (m *Mover) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			m.Step(ctx)
		}
	}
}

// Step decides once and carries the actions out. A node that does not hold the
// duty forgets: what it knew is out of date when the duty comes back.
func (m *Mover) Step(ctx context.Context) {
	if !m.opt.Held() {
		m.mem = NewMemory()
		return
	}
	now := m.opt.Clock.Now()
	in := &Input{
		Now: now, Snap: m.opt.View.Snapshot(), Costs: m.opt.Costs,
		Uses: func(id fleet.GroupID) []Use { return m.opt.Uses.Of(id, now) },
	}
	for _, a := range Decide(in, m.mem) {
		if !m.opt.Held() {
			return
		}
		m.act(ctx, &a)
	}
}

func (m *Mover) act(ctx context.Context, a *Action) {
	ctx, cancel := context.WithTimeout(ctx, m.opt.Costs.Within)
	defer cancel()
	if a.Kind == Export {
		m.mem.Exporting(a)
	}
	began := m.opt.Clock.Now()
	err := m.carryOut(ctx, a)
	took := m.opt.Clock.Now().Sub(began)
	if a.Kind == Export && err == nil {
		m.mem.Exported(a, m.opt.Clock.Now())
	}
	if a.Kind == Empty {
		m.mem.Emptied(a.Key) // also when it failed: the next export overwrites it
	}
	m.meter.moved(a, err)
	m.tell(a, err, took)
}

func (m *Mover) carryOut(ctx context.Context, a *Action) error {
	switch a.Kind {
	case Export:
		return m.transfer(ctx, a, m.opt.Engines.ExportKV)
	case Import:
		return m.transfer(ctx, a, m.opt.Engines.ImportKV)
	case Empty:
		if m.opt.Objects != nil {
			return m.opt.Objects.PutObject(ctx, a.Key.Object(), nil)
		}
	}
	return nil
}

// transfer makes one move. The leader may have been given to another model since
// the snapshot was made; its cache under this key's name would be answers from
// the wrong weights. It is asked before, the order names the generation for
// engines that check it, and an export counts only if the same life is in the
// same generation afterwards: generations never come back, so it was there in
// between.
func (m *Mover) transfer(ctx context.Context, a *Action, move func(context.Context, string, engine.KVMove) error) error {
	if err := m.check(ctx, a); err != nil {
		return err
	}
	err := move(ctx, a.Leader.Addr, engine.KVMove{
		Object: a.Key.Object(), Prefixes: a.Prefixes, Generation: engine.GenerationTag(a.Group, a.Generation),
	})
	if err != nil {
		return err
	}
	return m.check(ctx, a)
}

var errElsewhere = errors.New("kv: the leader is in another generation; nothing to do, the engine computes the prompts")

func (m *Mover) check(ctx context.Context, a *Action) error {
	st, err := m.opt.Engines.State(ctx, a.Leader.Addr)
	if err != nil {
		return err
	}
	same := st.VM == a.Leader.VM && st.Boot == a.Leader.Boot && st.Loaded &&
		st.Group == a.Group && st.Generation == a.Generation &&
		keyOf(a.Key.Zone, st.Model, st.Version, st.Adapters) == a.Key
	if !same {
		return fmt.Errorf("%w (%s/%d, boot %s)", errElsewhere, st.Group, st.Generation, st.Boot)
	}
	return nil
}

func (m *Mover) tell(a *Action, err error, took time.Duration) {
	decision := string(a.Kind)
	if err != nil {
		decision += " failed: " + err.Error()
	}
	facts := []explain.Fact{
		{Name: "object", Value: a.Key.Object()},
		{Name: "prefixes", Value: strconv.Itoa(len(a.Prefixes))},
		{Name: "took", Value: took.String()},
	}
	if a.Kind == Export {
		facts = append(facts, explain.Fact{Name: "expected to save", Value: a.Saves.String()})
	}
	if m.opt.Explain != nil {
		m.opt.Explain.Note(explain.Step{
			Subject: string(a.Group), Stage: "kv", Decision: decision, Reason: a.Reason, Facts: slices.Clip(facts),
		})
	}
	m.opt.Log.Info("KV cache", "group", a.Group, "action", a.Kind, "prefixes", len(a.Prefixes),
		"took", took, "reason", a.Reason, "err", err)
}
