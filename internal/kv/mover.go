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

// decisionInterval is the interval between two calls of Step.
const decisionInterval = 250 * time.Millisecond

// Engines is the part of the engine client that a Mover uses.
type Engines interface {
	State(ctx context.Context, addr string) (fleet.EngineState, error)
	ExportKV(ctx context.Context, addr string, m engine.KVMove) error
	ImportKV(ctx context.Context, addr string, m engine.KVMove) error
}

// Objects overwrites objects that aren't needed any more.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
}

// Options configures a Mover. Objects, Explain, Log and Registerer may be nil.
type Options struct {
	View       view.Source
	HoldsDuty  func() bool // reports whether this node currently holds the zone's duty
	Engines    Engines     // the client's timeout must not be shorter than that of a move in Costs
	Objects    Objects     // if nil, objects stay until they are overwritten
	Uses       *Uses
	Costs      Costs // if zero, DefaultCosts
	Clock      clock.Clock
	Explain    explain.Recorder
	Log        *slog.Logger
	Registerer prometheus.Registerer
}

// Mover executes the actions of Decide, one at a time.
type Mover struct {
	opt    Options
	meter  *meter
	memory *Memory
}

// New returns a mover; Run starts it.
func New(o Options) *Mover {
	if o.Costs == (Costs{}) {
		o.Costs = DefaultCosts()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Mover{opt: o, meter: newMeter(o.Registerer), memory: NewMemory()}
}

// Run calls Step periodically until ctx is done.
func (m *Mover) Run(ctx context.Context) error {
	t := time.NewTicker(decisionInterval)
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

// Step calls Decide once and executes the actions. A node that doesn't hold the duty
// resets its memory, which would be out of date when it acquires the duty again.
func (m *Mover) Step(ctx context.Context) {
	if !m.opt.HoldsDuty() {
		m.memory = NewMemory()
		return
	}
	now := m.opt.Clock.Now()
	in := &Input{
		Now: now, Snapshot: m.opt.View.Snapshot(), Costs: m.opt.Costs,
		Uses: func(id fleet.GroupID) []Use { return m.opt.Uses.ForGroup(id, now) },
	}
	for _, a := range Decide(in, m.memory) {
		if !m.opt.HoldsDuty() {
			return
		}
		m.execute(ctx, &a)
	}
}

func (m *Mover) execute(ctx context.Context, a *Action) {
	ctx, cancel := context.WithTimeout(ctx, m.opt.Costs.Timeout)
	defer cancel()
	if a.Kind == Export {
		m.memory.RecordExportStart(a)
	}
	start := m.opt.Clock.Now()
	err := m.perform(ctx, a)
	duration := m.opt.Clock.Now().Sub(start)
	if a.Kind == Export && err == nil {
		m.memory.RecordExport(a, m.opt.Clock.Now())
	}
	if a.Kind == Empty {
		m.memory.RecordEmptied(a.Key) // even if it failed: the next export overwrites the object
	}
	m.meter.recordAction(a, err)
	m.recordResult(a, err, duration)
}

func (m *Mover) perform(ctx context.Context, a *Action) error {
	switch a.Kind {
	case Export:
		return m.transfer(ctx, a, m.opt.Engines.ExportKV)
	case Import:
		return m.transfer(ctx, a, m.opt.Engines.ImportKV)
	case Empty:
		if m.opt.Objects != nil {
			return m.opt.Objects.PutObject(ctx, a.Key.ObjectName(), nil)
		}
	}
	return nil
}

// transfer executes an export or import. The leader may have been assigned to another
// model since the snapshot; a cache moved under the wrong key would produce output from
// the wrong weights. So the leader's state is checked before the move, the request has
// the generation for engines that check it, and the move counts only if the same process
// is in the same generation afterwards. Generations are never reused, so it was in that
// generation throughout.
func (m *Mover) transfer(ctx context.Context, a *Action, move func(context.Context, string, engine.KVMove) error) error {
	if err := m.checkLeader(ctx, a); err != nil {
		return err
	}
	err := move(ctx, a.Leader.Addr, engine.KVMove{
		Object: a.Key.ObjectName(), Prefixes: a.Prefixes, Generation: engine.GenerationTag(a.Group, a.Generation),
	})
	if err != nil {
		return err
	}
	return m.checkLeader(ctx, a)
}

var errLeaderMoved = errors.New("kv: the leader is in another generation; nothing to do, the engine computes the prompts")

func (m *Mover) checkLeader(ctx context.Context, a *Action) error {
	st, err := m.opt.Engines.State(ctx, a.Leader.Addr)
	if err != nil {
		return err
	}
	same := st.VM == a.Leader.VM && st.Boot == a.Leader.Boot && st.Loaded &&
		st.Group == a.Group && st.Generation == a.Generation &&
		keyOf(a.Key.Zone, st.Model, st.Version, st.Adapters) == a.Key
	if !same {
		return fmt.Errorf("%w (%s/%d, boot %s)", errLeaderMoved, st.Group, st.Generation, st.Boot)
	}
	return nil
}

func (m *Mover) recordResult(a *Action, err error, duration time.Duration) {
	decision := string(a.Kind)
	if err != nil {
		decision += " failed: " + err.Error()
	}
	facts := []explain.Fact{
		{Name: "object", Value: a.Key.ObjectName()},
		{Name: "prefixes", Value: strconv.Itoa(len(a.Prefixes))},
		{Name: "took", Value: duration.String()},
	}
	if a.Kind == Export {
		facts = append(facts, explain.Fact{Name: "expected to save", Value: a.Savings.String()})
	}
	if m.opt.Explain != nil {
		m.opt.Explain.Record(explain.Step{
			Subject: string(a.Group), Stage: "kv", Decision: decision, Reason: a.Reason, Facts: slices.Clip(facts),
		})
	}
	m.opt.Log.Info("KV cache action", "group", a.Group, "action", a.Kind, "prefixes", len(a.Prefixes),
		"took", duration, "reason", a.Reason, "err", err)
}
