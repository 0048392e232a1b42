package admit

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// org is what a lane keeps of an organisation.
type org struct {
	name    fleet.Organisation
	weight  float64
	bucket  bucket
	queued  int
	flows   []*flow // one for each pool asked for
	planned bool    // named by the newest plan
}

// flow is the requests of one organisation for one pool. It is served by
// start-time fair queueing: each request takes cost/weight of virtual time, and
// the flow whose next request starts earliest goes first. An organisation that
// was idle starts at the pool's present virtual time, so it neither saves up
// credit nor waits behind the backlog of a larger one.
type flow struct {
	org      *org
	pool     *pool
	inflight int
	finish   float64 // virtual time at which the last admitted request ends
	start    float64 // virtual time at which the head starts; set while queued
	first    Handle  // queued requests in order of priority, then arrival
	last     Handle
	queued   int
	cost     float64 // of the queued requests
	pace     pace    // at which it is served while it waits
	at       int     // place in the pool's heap; -1: nothing queued
}

// none ends the lists of handles.
const none Handle = -1

func (o *org) flow(p *pool) *flow {
	for _, f := range o.flows {
		if f.pool == p {
			return f
		}
	}
	f := &flow{org: o, pool: p, first: none, last: none, at: -1}
	o.flows = append(o.flows, f)
	return f
}

// entry is one request that is queued or in progress.
type entry struct {
	state    entryState
	flow     *flow
	cost     float64
	came     clock.Instant
	deadline clock.Instant
	priority int
	charged  bool // a token of the organisation's bucket was taken
	bounded  bool // the caller bounded the length of the answer
	next     Handle
	prev     Handle
}

type entryState uint8

const (
	entryFree entryState = iota
	entryQueued
	entryRunning
	entryRelayed // running, admitted by another node
)

// heap of flows by start.

func (p *pool) push(f *flow) {
	f.at = len(p.ready)
	p.ready = append(p.ready, f)
	p.weight += f.org.weight
	p.up(f.at)
}

func (p *pool) remove(f *flow) {
	i, end := f.at, len(p.ready)-1
	p.swap(i, end)
	p.ready[end] = nil
	p.ready = p.ready[:end]
	f.at = -1
	p.weight -= f.org.weight
	if i < end {
		p.down(i)
		p.up(i)
	}
}

// startOf returns the virtual time at which the next request of f starts. A flow
// may run ahead of its share by the pool's allowance: an organisation that asks
// for less than its share, but in bursts, does not wait behind one that asks
// for more all the time. The latter has used up its allowance once and for all.
func (p *pool) startOf(f *flow) float64 { return max(p.virtual, f.finish-p.allowance) }

// restart moves a waiting flow to the place of its next request. A flow that
// kept its old place after a request was admitted would go first for ever, and
// every other organisation would starve.
func (p *pool) restart(f *flow) {
	if f.at < 0 {
		return
	}
	f.start = p.startOf(f)
	p.down(f.at)
}

func (p *pool) swap(i, j int) {
	p.ready[i], p.ready[j] = p.ready[j], p.ready[i]
	p.ready[i].at, p.ready[j].at = i, j
}

func (p *pool) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if p.ready[parent].start <= p.ready[i].start {
			return
		}
		p.swap(i, parent)
		i = parent
	}
}

func (p *pool) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(p.ready) {
			return
		}
		if c+1 < len(p.ready) && p.ready[c+1].start < p.ready[c].start {
			c++
		}
		if p.ready[i].start <= p.ready[c].start {
			return
		}
		p.swap(i, c)
		i = c
	}
}
