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

// Prober watches the endpoints that rendezvous order gives to this node.
type Prober struct {
	set       Settings
	endpoints Endpoints
	source    view.Source
	sink      Sink
	clock     clock.Clock
	rng       *rand.Rand // used by Run's goroutine alone
	metrics   *metrics

	jobs  chan *target // scheduler to workers; full: the probe waits its turn
	done  chan *target // workers to scheduler; full: the worker waits
	plan  schedule     // this and what follows: touched by Run's goroutine alone
	all   map[fleet.VM]*target
	share view.Assignment

	checks singleflight.Group // by group and generation
}

// target is one watched endpoint. It belongs to the scheduler while it waits
// and to one worker while it is probed.
type target struct {
	rec      fleet.Record
	due      clock.Instant
	loadDue  clock.Instant
	failing  clock.Instant
	failures int
	cache    *prefix.Index // of this target alone
	gone     bool
}

// New returns a prober; Run starts it. The seed spreads the schedule.
func New(set Settings, e Endpoints, src view.Source, sink Sink, c clock.Clock, seed uint64, reg prometheus.Registerer) *Prober {
	set = set.withDefaults()
	return &Prober{
		set: set, endpoints: e, source: src, sink: sink, clock: c,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		metrics: newMetrics(reg),
		jobs:    make(chan *target, set.Workers),
		done:    make(chan *target, set.Workers),
		all:     map[fleet.VM]*target{},
		share:   view.Assignment{First: membership.TopK, Watchers: set.Watchers},
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range p.set.Workers {
		workers.Go(func() { p.work(ctx) })
	}
	defer workers.Wait()
	refresh := time.NewTicker(p.set.Period)
	defer refresh.Stop()
	p.refresh()
	for {
		timer := time.NewTimer(p.untilNext())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-refresh.C:
			p.refresh()
		case t := <-p.done:
			p.again(t)
		case <-timer.C:
		}
		timer.Stop()
		p.send()
	}
}

// refresh brings the targets in line with the newest snapshot.
func (p *Prober) refresh() {
	now := p.clock.Now()
	want := Watched(p.source.Snapshot(), &p.share)
	keep := make(map[fleet.VM]bool, len(want))
	for _, r := range want {
		keep[r.VM] = true
		t := p.all[r.VM]
		if t != nil && t.rec.Addr == r.Addr {
			continue
		}
		if t != nil {
			t.gone = true
		}
		t = &target{rec: r, cache: newCache(), due: now.Add(time.Duration(p.rng.Int64N(int64(p.set.Period))))}
		p.all[r.VM] = t
		heap.Push(&p.plan, t)
	}
	for vm, t := range p.all {
		if !keep[vm] {
			t.gone = true
			delete(p.all, vm)
		}
	}
	p.metrics.watched.Set(float64(len(p.all)))
}

func (p *Prober) untilNext() time.Duration {
	if len(p.plan) == 0 || len(p.jobs) == cap(p.jobs) {
		return p.set.Period // or until a worker is done
	}
	return max(p.plan[0].due.Sub(p.clock.Now()), time.Millisecond)
}

// send hands the targets that are due to the workers. When all workers are busy
// the rest stay in the schedule: probes get slower, not more.
func (p *Prober) send() {
	now := p.clock.Now()
	for len(p.plan) > 0 && !p.plan[0].due.After(now) {
		t := p.plan[0]
		if t.gone {
			heap.Pop(&p.plan)
			continue
		}
		select {
		case p.jobs <- t:
			heap.Pop(&p.plan)
		default:
			return
		}
	}
}

func (p *Prober) again(t *target) {
	if t.gone {
		return
	}
	t.due = p.clock.Now().Add(jitter(p.rng, p.set.Period))
	heap.Push(&p.plan, t)
}

func (p *Prober) work(ctx context.Context) {
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
	st, err := p.state(ctx, t.rec)
	now := p.clock.Now()
	if ctx.Err() != nil {
		return // shutting down: says nothing of the endpoint
	}
	p.report(t, view.Probed{VM: t.rec.VM, Sent: sent, RTT: now.Sub(sent), Answered: err == nil, State: st})
	if err == nil && wantLoad {
		t.loadDue = sent.Add(p.set.LoadEvery)
		p.load(ctx, t)
		if st.Group != "" && st.Rank == 0 { // requests go to the leader, so its cache matters
			p.cacheEvents(ctx, t, st.Boot)
		}
	}
}

// state probes one engine and checks that the VM that answers is the VM asked.
func (p *Prober) state(ctx context.Context, r fleet.Record) (fleet.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, p.set.Timeout)
	defer cancel()
	st, err := p.endpoints.State(ctx, r.Addr)
	if err == nil && st.VM != r.VM {
		err = fmt.Errorf("probe: %s answers at %s, expected %s; correct the platform's list", st.VM, r.Addr, r.VM)
	}
	return st, err
}

// report counts failures in a row and passes the result on.
func (p *Prober) report(t *target, e view.Probed) {
	p.metrics.probe(e.Answered, e.RTT)
	if e.Answered {
		t.failing, t.failures = 0, 0
	} else {
		if t.failures == 0 {
			t.failing = e.Sent
		}
		t.failures++
		e.Failing, e.Failures = t.failing, t.failures
	}
	p.sink.Put(e)
}

func (p *Prober) load(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, p.set.Timeout)
	defer cancel()
	load, err := p.endpoints.LoadReport(ctx, t.rec.Addr)
	if err != nil {
		return // the next report replaces it; the probe tells whether the VM lives
	}
	load.VM = t.rec.VM
	p.sink.Put(view.Loaded{At: p.clock.Now(), Load: load})
}
