package probe

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/singleflight"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/prefix"
	"chervilloom/internal/view"
)

// Prober watches the endpoints that are assigned to this node by rendezvous order.
type Prober struct {
	settings  Settings
	endpoints Endpoints
	source    view.Source
	sink      Sink
	clock     clock.Clock
	rng       *rand.Rand // used only by Run's goroutine
	metrics   *metrics

	jobs       chan *target // scheduler to workers; if full, the probe waits in the schedule
	done       chan *target // workers to scheduler; if full, the worker waits
	schedule   schedule     // this and the following fields are used only by Run's goroutine
	targets    map[fleet.VM]*target
	assignment view.Assignment

	checks singleflight.Group // keyed by group and generation
}

// target is one watched endpoint. It is owned by the scheduler while it waits and by one
// worker while it is probed.
type target struct {
	record              fleet.Record
	probeDue            clock.Instant
	loadDue             clock.Instant
	failingSince        clock.Instant
	consecutiveFailures int
	cache               *prefix.Index // prefixes of this target only
	removed             bool
}

// New returns a Prober; Run starts it. The seed randomizes the schedule.
func New(settings Settings, e Endpoints, src view.Source, sink Sink, c clock.Clock, seed uint64, reg prometheus.Registerer) *Prober {
	settings = settings.withDefaults()
	return &Prober{
		settings: settings, endpoints: e, source: src, sink: sink, clock: c,
		rng:        rand.New(rand.NewPCG(seed, 1)),
		metrics:    newMetrics(reg),
		jobs:       make(chan *target, settings.Workers),
		done:       make(chan *target, settings.Workers),
		targets:    map[fleet.VM]*target{},
		assignment: view.Assignment{First: membership.TopK, Watchers: settings.Watchers},
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range p.settings.Workers {
		workers.Go(func() { p.runWorker(ctx) })
	}
	defer workers.Wait()
	refresh := time.NewTicker(p.settings.Period)
	defer refresh.Stop()
	p.refresh()
	for {
		timer := time.NewTimer(p.untilNextProbe())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-refresh.C:
			p.refresh()
		case t := <-p.done:
			p.reschedule(t)
		case <-timer.C:
		}
		timer.Stop()
		p.dispatchDue()
	}
}

// refresh updates the targets from the latest snapshot.
func (p *Prober) refresh() {
	now := p.clock.Now()
	wanted := WatchedEndpoints(p.source.Snapshot(), &p.assignment)
	keep := make(map[fleet.VM]bool, len(wanted))
	for _, r := range wanted {
		keep[r.VM] = true
		t := p.targets[r.VM]
		if t != nil && t.record.Addr == r.Addr {
			continue
		}
		if t != nil {
			t.removed = true
		}
		t = &target{record: r, cache: newCache(), probeDue: now.Add(time.Duration(p.rng.Int64N(int64(p.settings.Period))))}
		p.targets[r.VM] = t
		heap.Push(&p.schedule, t)
	}
	for vm, t := range p.targets {
		if !keep[vm] {
			t.removed = true
			delete(p.targets, vm)
		}
	}
	p.metrics.watched.Set(float64(len(p.targets)))
}

func (p *Prober) untilNextProbe() time.Duration {
	if len(p.schedule) == 0 || len(p.jobs) == cap(p.jobs) {
		return p.settings.Period // or until a worker has finished
	}
	return max(p.schedule[0].probeDue.Sub(p.clock.Now()), time.Millisecond)
}

// dispatchDue sends the targets that are due to the workers. If all workers are busy, the
// rest stay in the schedule: overload delays probes and does not add any.
func (p *Prober) dispatchDue() {
	now := p.clock.Now()
	for len(p.schedule) > 0 && !p.schedule[0].probeDue.After(now) {
		t := p.schedule[0]
		if t.removed {
			heap.Pop(&p.schedule)
			continue
		}
		select {
		case p.jobs <- t:
			heap.Pop(&p.schedule)
		default:
			return
		}
	}
}

func (p *Prober) reschedule(t *target) {
	if t.removed {
		return
	}
	t.probeDue = p.clock.Now().Add(jitter(p.rng, p.settings.Period))
	heap.Push(&p.schedule, t)
}

func (p *Prober) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-p.jobs:
			p.probe(ctx, t)
			select {
			case p.done <- t:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (p *Prober) probe(ctx context.Context, t *target) {
	sent := p.clock.Now()
	wantLoad := !sent.Before(t.loadDue)
	st, err := p.fetchState(ctx, t.record)
	now := p.clock.Now()
	if ctx.Err() != nil {
		return // shutting down: the result is not evidence about the endpoint
	}
	p.report(t, view.Probed{VM: t.record.VM, Sent: sent, RTT: now.Sub(sent), Answered: err == nil, State: st})
	if err == nil && wantLoad {
		t.loadDue = sent.Add(p.settings.LoadEvery)
		p.fetchLoad(ctx, t)
		if st.Group != "" && st.Rank == 0 { // requests are sent to the leader, so only its cache matters
			p.updateCache(ctx, t, st.Boot)
		}
	}
}

// fetchState probes one engine and returns an error if another VM responds.
func (p *Prober) fetchState(ctx context.Context, r fleet.Record) (fleet.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
	defer cancel()
	st, err := p.endpoints.State(ctx, r.Addr)
	if err == nil && st.VM != r.VM {
		err = fmt.Errorf("probe: %s answers at %s, expected %s; correct the platform's list", st.VM, r.Addr, r.VM)
	}
	return st, err
}

// report counts consecutive failures and puts the result into the view.
func (p *Prober) report(t *target, e view.Probed) {
	p.metrics.observeProbe(e.Answered, e.RTT)
	if e.Answered {
		t.failingSince, t.consecutiveFailures = 0, 0
	} else {
		if t.consecutiveFailures == 0 {
			t.failingSince = e.Sent
		}
		t.consecutiveFailures++
		e.FailingSince, e.Failures = t.failingSince, t.consecutiveFailures
	}
	p.sink.Put(e)
}

func (p *Prober) fetchLoad(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
	defer cancel()
	load, err := p.endpoints.LoadReport(ctx, t.record.Addr)
	if err != nil {
		return // the next report replaces it; probes detect whether the VM is alive
	}
	load.VM = t.record.VM
	p.sink.Put(view.LoadReported{At: p.clock.Now(), Load: load})
}
