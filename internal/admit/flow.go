package admit

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// org is the model lane's state of an organisation.
type org struct {
	name    fleet.Organisation
	weight  float64
	bucket  bucket
	queued  int
	flows   []*flow // one per requested pool
	planned bool    // in the newest plan
}

// flow holds the requests of one organisation for one pool. Flows are served by
// start-time fair queueing: each request uses cost/weight of virtual time, and the
// flow whose next request has the earliest start is served first. An idle
// organisation starts at the pool's current virtual time, so it neither saves up
// credit nor waits behind the backlog of a larger one.
type flow struct {
	org        *org
	pool       *pool
	inflight   int
	lastFinish float64 // virtual time at which the last admitted request ends
	nextStart  float64 // virtual time at which the head starts; set while queued
	first      Handle  // queued requests by priority, then arrival
	last       Handle
	queued     int
	queuedCost float64   // cost of the queued requests
	rateMeter  rateMeter // service rate while requests are queued
	heapIndex  int       // index in the pool's heap; -1 if nothing is queued
}

// noHandle is the nil handle.
const noHandle Handle = -1

func (o *org) flow(p *pool) *flow {
	for _, f := range o.flows {
		if f.pool == p {
			return f
		}
	}
	f := &flow{org: o, pool: p, first: noHandle, last: noHandle, heapIndex: -1}
	o.flows = append(o.flows, f)
	return f
}

// entry is a request that is queued or in progress.
type entry struct {
	state         entryState
	flow          *flow
	cost          float64
	arrived       clock.Instant
	deadline      clock.Instant
	priority      int
	tokenTaken    bool // a token was taken from the organisation's bucket
	lengthLimited bool // the caller limited the length of the answer
	next          Handle
	prev          Handle
}

type entryState uint8

const (
	entryFree entryState = iota
	entryQueued
	entryRunning
	entryRelayed // running, admitted by another node
)

// Heap of flows by nextStart.

func (p *pool) pushFlow(f *flow) {
	f.heapIndex = len(p.ready)
	p.ready = append(p.ready, f)
	p.weight += f.org.weight
	p.siftUp(f.heapIndex)
}

func (p *pool) removeFlow(f *flow) {
	i, end := f.heapIndex, len(p.ready)-1
	p.swap(i, end)
	p.ready[end] = nil
	p.ready = p.ready[:end]
	f.heapIndex = -1
	p.weight -= f.org.weight
	if i < end {
		p.siftDown(i)
		p.siftUp(i)
	}
}

// startTime returns the virtual start time of the next request of f. A flow may run
// ahead of its share by the pool's allowance, so an organisation that stays below
// its share but sends bursts does not wait behind one that is always above it. The
// latter has used up its allowance.
func (p *pool) startTime(f *flow) float64 { return max(p.virtualTime, f.lastFinish-p.allowance) }

// requeueFlow updates the heap position of a waiting flow for its next request.
// A flow that kept its position after an admission would always be served first
// and starve the others.
func (p *pool) requeueFlow(f *flow) {
	if f.heapIndex < 0 {
		return
	}
	f.nextStart = p.startTime(f)
	p.siftDown(f.heapIndex)
}

func (p *pool) swap(i, j int) {
	p.ready[i], p.ready[j] = p.ready[j], p.ready[i]
	p.ready[i].heapIndex, p.ready[j].heapIndex = i, j
}

func (p *pool) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if p.ready[parent].nextStart <= p.ready[i].nextStart {
			return
		}
		p.swap(i, parent)
		i = parent
	}
}

func (p *pool) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(p.ready) {
			return
		}
		if c+1 < len(p.ready) && p.ready[c+1].nextStart < p.ready[c].nextStart {
			c++
		}
		if p.ready[i].nextStart <= p.ready[c].nextStart {
			return
		}
		p.swap(i, c)
		i = c
	}
}
