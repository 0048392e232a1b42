package capacity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

const (
	decideEvery  = 5 * time.Second
	observeEvery = time.Minute
	saveEvery    = 15 * time.Minute
	loadRetry    = 5 * time.Second
	ioTimeout    = 5 * time.Second
	// takenUp is the pause after which a tracker that is asked again may have
	// missed what another node has learned and saved meanwhile.
	takenUp = 2 * time.Minute
)

// Options sets up a Tracker.
type Options struct {
	Zone       fleet.AvailabilityZone
	Clock      clock.Clock
	Wall       func() time.Time // nil: time.Now in UTC
	Objects    platform.Objects // nil: the history lives as long as the process
	Lead       time.Duration    // from a decision to a serving group; 0: DefaultLead
	Log        *slog.Logger
	Explain    explain.Recorder
	Registerer prometheus.Registerer
}

// Tracker follows the demand of the fleet and gives the targets of one zone. It
// belongs to the node that holds the zone's duty: only that one asks it, and
// only that one's history is saved. Targets may be called from one goroutine,
// while Run loads and saves in another.
type Tracker struct {
	opt   Options
	meter *meter
	wake  chan struct{} // holds one request to load

	mu       sync.Mutex
	history  *History
	loaded   bool
	asked    clock.Instant // last call of Targets; 0: never
	decided  clock.Instant
	observed clock.Instant
	sums     map[string]*sample // since observed
	targets  map[string]int
	unsaved  bool
}

// sample averages the demand between two observations.
type sample struct {
	sum float64
	n   int
}

// NewTracker returns a tracker that has learned nothing; Run loads what was
// saved.
func NewTracker(o Options) *Tracker {
	if o.Wall == nil {
		o.Wall = func() time.Time { return time.Now().UTC() }
	}
	return &Tracker{
		opt: o, meter: newMeter(o.Registerer), wake: make(chan struct{}, 1),
		history: NewHistory(), loaded: o.Objects == nil, sums: make(map[string]*sample),
	}
}

// Targets returns how many replicas of each spec the tracker's zone should hold,
// by spec name. Without a configuration it names none, which lets all stay.
func (t *Tracker) Targets(snap *view.Snapshot) map[string]int {
	now := t.opt.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeUp(now)
	if snap.Config == nil {
		return map[string]int{}
	}
	if t.targets != nil && now.Sub(t.decided) < decideEvery && t.names(snap) {
		return t.targets
	}
	in := Read(snap, now)
	in.Wall, in.Lead = t.opt.Wall(), t.opt.Lead
	t.observe(&in, now)
	in.History = t.history
	t.decided = now
	t.adopt(&in, Decide(in))
	return t.targets
}

// names reports whether the targets are those of the configured specs.
func (t *Tracker) names(snap *view.Snapshot) bool {
	if len(t.targets) != len(snap.Config.Groups) {
		return false
	}
	for i := range snap.Config.Groups {
		if _, ok := t.targets[snap.Config.Groups[i].Name]; !ok {
			return false
		}
	}
	return true
}

// takeUp asks for the saved history when the duty is new to this node.
func (t *Tracker) takeUp(now clock.Instant) {
	if t.opt.Objects != nil && (t.asked == 0 || now.Sub(t.asked) > takenUp) {
		t.loaded = false
		select {
		case t.wake <- struct{}{}:
		default: // a request waits already
		}
	}
	t.asked = now
}

// observe averages the demand over a minute and hands it to the history.
func (t *Tracker) observe(in *Input, now clock.Instant) {
	for i := range in.Config.Groups {
		name := in.Config.Groups[i].Name
		s, ok := t.sums[name]
		if !ok {
			s = &sample{}
			t.sums[name] = s
		}
		s.sum += total(in.Demand, name)
		s.n++
	}
	if t.observed != 0 && now.Sub(t.observed) < observeEvery {
		return
	}
	t.observed = now
	slot := WeekSlot(in.Wall)
	for name, s := range t.sums {
		t.history.Observe(name, slot, s.sum/float64(s.n))
	}
	clear(t.sums)
	t.unsaved = true
}

func total(demand []Demand, spec string) float64 {
	sum := 0.0
	for i := range demand {
		if demand[i].Spec == spec {
			sum += demand[i].asks()
		}
	}
	return sum
}

// adopt keeps the targets of the own zone and tells what changed.
func (t *Tracker) adopt(in *Input, all []Target) {
	next := make(map[string]int, len(in.Config.Groups))
	for i := range in.Config.Groups {
		next[in.Config.Groups[i].Name] = 0
	}
	for _, tg := range all {
		if tg.Zone != t.opt.Zone {
			continue
		}
		if !t.loaded {
			// Without the history a quiet hour looks like the end of demand.
			tg.Replicas = max(tg.Replicas, heldHere(in, &tg))
		}
		next[tg.Spec] = tg.Replicas
		t.meter.set(tg.Spec, tg.Replicas, total(in.Demand, tg.Spec))
		if before, ok := t.targets[tg.Spec]; !ok || before != tg.Replicas {
			t.tell(&tg, before)
		}
	}
	t.meter.keep(next)
	t.targets = next
}

func heldHere(in *Input, tg *Target) int {
	n := 0
	for _, h := range in.Held {
		if h.Spec == tg.Spec && h.Zone == tg.Zone {
			n += h.Replicas
		}
	}
	return n
}

func (t *Tracker) tell(tg *Target, before int) {
	t.opt.Explain.Note(explain.Step{
		Subject: tg.Spec, Stage: "capacity",
		Decision: fmt.Sprintf("%d replicas in %s", tg.Replicas, tg.Zone), Reason: tg.Reason,
	})
	t.opt.Log.Info("capacity target changed", "spec", tg.Spec, "zone", tg.Zone,
		"replicas", tg.Replicas, "before", before, "reason", tg.Reason)
}

// Run loads the history when the duty comes to this node and saves it while the
// duty is here, until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	if t.opt.Objects == nil {
		<-ctx.Done()
		return nil
	}
	save := time.NewTicker(saveEvery)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.wake:
			t.load(ctx)
		case <-save.C:
			t.save(ctx)
		}
	}
}

// object is the name under which the zone's history is kept.
func (t *Tracker) object() string { return "capacity/" + string(t.opt.Zone) }

// load tries until the history is read or known not to exist. Nothing is saved
// before that: an empty history must not take the place of weeks of learning.
func (t *Tracker) load(ctx context.Context) {
	for {
		h, err := t.read(ctx)
		if err == nil {
			t.mu.Lock()
			t.history, t.loaded = h, true
			t.mu.Unlock()
			return
		}
		t.opt.Log.Warn("the capacity history cannot be read; replicas only go up until it is", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadRetry):
		}
	}
}

// read returns an empty history when there is none or it cannot be understood.
func (t *Tracker) read(ctx context.Context) (*History, error) {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	data, err := t.opt.Objects.GetObject(ctx, t.object())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return NewHistory(), nil
	case err != nil:
		return nil, err
	}
	h, err := Unmarshal(data)
	if err != nil {
		t.opt.Log.Warn("the capacity history starts anew", "object", t.object(), "err", err)
		return NewHistory(), nil
	}
	return h, nil
}

// save writes the history if this node has the duty. A node that lost the duty
// while its write was under way may put back an older history: what the next
// one learned in a quarter of an hour is lost, and it saves again.
func (t *Tracker) save(ctx context.Context) {
	t.mu.Lock()
	mine := t.loaded && t.unsaved && t.opt.Clock.Now().Sub(t.asked) <= takenUp
	var data []byte
	var err error
	if mine {
		data, err = t.history.Marshal()
		t.unsaved = false
	}
	t.mu.Unlock()
	if !mine || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	if err := t.opt.Objects.PutObject(ctx, t.object(), data); err != nil {
		t.opt.Log.Warn("the capacity history is not saved; the next try is in a quarter of an hour", "err", err)
		t.mu.Lock()
		t.unsaved = true
		t.mu.Unlock()
	}
}
