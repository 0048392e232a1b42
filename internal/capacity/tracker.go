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
	decideInterval    = 5 * time.Second
	observeInterval   = time.Minute
	saveInterval      = 15 * time.Minute
	loadRetryInterval = 5 * time.Second
	ioTimeout         = 5 * time.Second
	// maxCallGap is the time between two calls of Targets after which another
	// node may have held the duty and saved a newer history.
	maxCallGap = 2 * time.Minute
)

// Options holds the dependencies and settings of a Tracker.
type Options struct {
	Zone       fleet.AvailabilityZone
	Clock      clock.Clock
	WallTime   func() time.Time // nil: time.Now in UTC
	Objects    platform.Objects // nil: the history is lost with the process
	LeadTime   time.Duration    // time from a decision until the group serves; 0: DefaultLeadTime
	Log        *slog.Logger
	Explain    explain.Recorder
	Registerer prometheus.Registerer
}

// Tracker records the demand of the fleet and computes the targets of one zone.
// Only the node that holds the zone's duty calls Targets, and only its history is
// saved. Targets may be called from one goroutine while Run loads and saves the
// history in another.
type Tracker struct {
	opt          Options
	metrics      *metrics
	loadRequests chan struct{} // a pending request to load the history; capacity 1

	mu         sync.Mutex
	history    *History
	loaded     bool
	calledAt   clock.Instant // time of the last call of Targets; 0: none
	decidedAt  clock.Instant
	observedAt clock.Instant
	samples    map[string]*sample // since observedAt, by spec
	targets    map[string]int
	unsaved    bool
}

// sample sums the demand between two observations.
type sample struct {
	sum float64
	n   int
}

// NewTracker returns a tracker with an empty history; Run loads the saved one.
func NewTracker(o Options) *Tracker {
	if o.WallTime == nil {
		o.WallTime = func() time.Time { return time.Now().UTC() }
	}
	return &Tracker{
		opt: o, metrics: newMetrics(o.Registerer), loadRequests: make(chan struct{}, 1),
		history: NewHistory(), loaded: o.Objects == nil, samples: make(map[string]*sample),
	}
}

// Targets returns the wanted number of replicas of each spec in the tracker's zone,
// by spec name. Without a configuration the map is empty and existing replicas
// stay.
func (t *Tracker) Targets(snap *view.Snapshot) map[string]int {
	now := t.opt.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestLoad(now)
	if snap.Config == nil {
		return map[string]int{}
	}
	if t.targets != nil && now.Sub(t.decidedAt) < decideInterval && t.coversConfig(snap) {
		return t.targets
	}
	in := InputFromSnapshot(snap, now)
	in.WallTime, in.LeadTime = t.opt.WallTime(), t.opt.LeadTime
	t.observe(&in, now)
	in.History = t.history
	t.decidedAt = now
	t.setTargets(&in, Decide(in))
	return t.targets
}

// coversConfig reports whether the last targets are for exactly the configured
// specs.
func (t *Tracker) coversConfig(snap *view.Snapshot) bool {
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

// requestLoad requests a load of the saved history if this node may have acquired
// the duty since the last call.
func (t *Tracker) requestLoad(now clock.Instant) {
	if t.opt.Objects != nil && (t.calledAt == 0 || now.Sub(t.calledAt) > maxCallGap) {
		t.loaded = false
		select {
		case t.loadRequests <- struct{}{}:
		default: // a request is already pending
		}
	}
	t.calledAt = now
}

// observe records the demand, averaged over a minute, in the history.
func (t *Tracker) observe(in *Input, now clock.Instant) {
	for i := range in.Config.Groups {
		name := in.Config.Groups[i].Name
		s, ok := t.samples[name]
		if !ok {
			s = &sample{}
			t.samples[name] = s
		}
		s.sum += totalDemand(in.Demand, name)
		s.n++
	}
	if t.observedAt != 0 && now.Sub(t.observedAt) < observeInterval {
		return
	}
	t.observedAt = now
	slot := WeekSlot(in.WallTime)
	for name, s := range t.samples {
		t.history.Observe(name, slot, s.sum/float64(s.n))
	}
	clear(t.samples)
	t.unsaved = true
}

func totalDemand(demand []Demand, spec string) float64 {
	sum := 0.0
	for i := range demand {
		if demand[i].Spec == spec {
			sum += demand[i].requests()
		}
	}
	return sum
}

// setTargets stores the targets of the tracker's zone and reports changes.
func (t *Tracker) setTargets(in *Input, all []Target) {
	next := make(map[string]int, len(in.Config.Groups))
	for i := range in.Config.Groups {
		next[in.Config.Groups[i].Name] = 0
	}
	for _, tg := range all {
		if tg.Zone != t.opt.Zone {
			continue
		}
		if !t.loaded {
			// Without the history, low demand at this hour is not evidence
			// that existing replicas are not required.
			tg.Replicas = max(tg.Replicas, existingInZone(in, &tg))
		}
		next[tg.Spec] = tg.Replicas
		t.metrics.set(tg.Spec, tg.Replicas, totalDemand(in.Demand, tg.Spec))
		if before, ok := t.targets[tg.Spec]; !ok || before != tg.Replicas {
			t.reportChange(&tg, before)
		}
	}
	t.metrics.deleteExcept(next)
	t.targets = next
}

func existingInZone(in *Input, tg *Target) int {
	n := 0
	for _, h := range in.ExistingReplicas {
		if h.Spec == tg.Spec && h.Zone == tg.Zone {
			n += h.Active
		}
	}
	return n
}

func (t *Tracker) reportChange(tg *Target, before int) {
	t.opt.Explain.Record(explain.Step{
		Subject: tg.Spec, Stage: "capacity",
		Decision: fmt.Sprintf("%d replicas in %s", tg.Replicas, tg.Zone), Reason: tg.Reason,
	})
	t.opt.Log.Info("capacity target changed", "spec", tg.Spec, "zone", tg.Zone,
		"replicas", tg.Replicas, "before", before, "reason", tg.Reason)
}

// Run loads the history when this node acquires the duty and saves it while the
// node holds the duty, until ctx is done.
func (t *Tracker) Run(ctx context.Context) error {
	if t.opt.Objects == nil {
		<-ctx.Done()
		return nil
	}
	save := time.NewTicker(saveInterval)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.loadRequests:
			t.load(ctx)
		case <-save.C:
			t.save(ctx)
		}
	}
}

// objectName returns the name of the object with the zone's history.
func (t *Tracker) objectName() string { return "capacity/" + string(t.opt.Zone) }

// load retries until the history is read or known not to exist. Nothing is saved
// before that, so that an empty history does not overwrite weeks of observations.
func (t *Tracker) load(ctx context.Context) {
	for {
		h, err := t.readHistory(ctx)
		if err == nil {
			t.mu.Lock()
			t.history, t.loaded = h, true
			t.mu.Unlock()
			return
		}
		t.opt.Log.Warn("cannot read the capacity history; no replicas are removed until it is read", "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadRetryInterval):
		}
	}
}

// readHistory reads the saved history; it returns an empty one if there is none or
// it cannot be decoded.
func (t *Tracker) readHistory(ctx context.Context) (*History, error) {
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	data, err := t.opt.Objects.GetObject(ctx, t.objectName())
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return NewHistory(), nil
	case err != nil:
		return nil, err
	}
	h, err := Unmarshal(data)
	if err != nil {
		t.opt.Log.Warn("starting with an empty capacity history", "object", t.objectName(), "err", err)
		return NewHistory(), nil
	}
	return h, nil
}

// save writes the history if this node holds the duty. If the node loses the duty
// while the write is in flight, it may overwrite a newer history: up to one save
// interval (15 minutes) of the next holder's observations is lost until that holder
// saves again.
func (t *Tracker) save(ctx context.Context) {
	t.mu.Lock()
	shouldSave := t.loaded && t.unsaved && t.opt.Clock.Now().Sub(t.calledAt) <= maxCallGap
	var data []byte
	var err error
	if shouldSave {
		data, err = t.history.Marshal()
		t.unsaved = false
	}
	t.mu.Unlock()
	if !shouldSave || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	if err := t.opt.Objects.PutObject(ctx, t.objectName(), data); err != nil {
		t.opt.Log.Warn("cannot save the capacity history; retrying at the next save interval", "err", err)
		t.mu.Lock()
		t.unsaved = true
		t.mu.Unlock()
	}
}
