package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

const (
	// waitSafetyFactor multiplies a new request's estimated wait before it is
	// compared with the deadline. Without it the queue settles where every
	// admitted request ends close to its deadline and half of them miss it.
	waitSafetyFactor = 2
	// capacityGrace is how long requests stay queued after the last group of their
	// target is lost, because a late probe looks the same for a short time.
	capacityGrace = 2 * time.Second
	// noCapacityRetryAfter is the retry delay when nothing serves a target:
	// about the time in which a group is repaired with a spare.
	noCapacityRetryAfter = 5 * time.Second
	// tickEvery is the maximum interval between two sweeps of the queue.
	tickEvery = 50 * time.Millisecond
	// burstAllowanceSeconds is how far, in seconds of its share, an organisation
	// that was idle may run ahead.
	burstAllowanceSeconds = 8.0
	// weightSampleWeight is the weight of a new sample in the average weight of the
	// waiting organisations.
	weightSampleWeight = 0.05
	// organisationQueueShare is the part of the queue that one organisation may
	// use.
	organisationQueueShare = 0.5
)

// Models decides about the requests of the model lane. It has no clock, lock or
// goroutine: its driver passes it one event at a time.
type Models struct {
	plan        *Plan
	orgs        map[fleet.Organisation]*org
	inOrder     []*org // the same organisations in the order of the plan
	targets     map[fleet.Target]*pool
	entries     []entry
	queued      int
	totalWeight float64 // sum over the plan's organisations
	active      []*pool // pools of the newest plan, and older ones that still have requests
}

// pool is a set of endpoints with one concurrency limit and one fair queue.
type pool struct {
	name        string
	limiter     limiter
	estimate    estimator
	inflight    int // admitted by this node
	relayed     int // admitted by other nodes
	virtualTime float64
	allowance   float64       // virtual time by which a flow may run ahead
	ready       []*flow       // heap of flows with queued requests, by nextStart
	weight      float64       // sum over the flows in ready
	usualWeight float64       // moving average of weight
	rateMeter   rateMeter     // service rate of the queue
	queuedCost  float64       // sum over the queued requests
	total       float64       // slots available to this node
	emptySince  clock.Instant // when total became 0; 0: it is not
	lastRetryAt clock.Instant // latest assigned retry time
	planned     bool
}

// NewModels returns a Models that refuses everything until its first plan.
func NewModels() *Models {
	return &Models{
		orgs:    make(map[fleet.Organisation]*org),
		targets: make(map[fleet.Target]*pool),
	}
}

// Step processes one event and appends the resulting decisions to out, about the
// event's own request and about others.
func (m *Models) Step(now clock.Instant, ev *Event, out []Decision) []Decision {
	switch ev.Kind {
	case Arrive:
		return m.arrive(now, ev.Handle, &ev.Arrival, out)
	case Finish:
		return m.finish(now, ev.Handle, &ev.Completion, out)
	case Withdraw:
		return m.withdraw(now, ev.Handle, out)
	case Tick:
		return m.sweep(now, out)
	case Replan:
		m.replan(now, ev.Plan)
		return m.sweep(now, out)
	}
	return out
}

// Waiting returns the number of queued requests.
func (m *Models) Waiting() int { return m.queued }

func (m *Models) entry(h Handle) *entry {
	for int(h) >= len(m.entries) {
		m.entries = append(m.entries, entry{})
	}
	return &m.entries[h]
}

func (m *Models) arrive(now clock.Instant, h Handle, a *Arrival, out []Decision) []Decision {
	if m.plan == nil {
		return append(out, Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNotConfigured, RetryAfter: noCapacityRetryAfter})
	}
	p := m.targets[a.Target]
	if p == nil || p.isGone(now) {
		return append(out, Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter})
	}
	if a.Deadline != 0 && !now.Before(a.Deadline) {
		return append(out, p.decision(h, Refuse, outcome.DeadlineExceeded, ReasonExpired))
	}
	e := m.entry(h)
	*e = entry{
		flow:          m.org(a.Organisation).flow(p),
		cost:          p.estimate.cost(a.PromptTokens, a.MaxTokens),
		arrived:       now,
		deadline:      a.Deadline,
		priority:      a.Priority,
		lengthLimited: a.MaxTokens > 0,
		next:          noHandle,
		prev:          noHandle,
	}
	if a.AdmittedElsewhere {
		return m.arriveRelayed(now, h, e, out)
	}
	return m.arriveOwn(now, h, e, out)
}

// arriveRelayed admits a request that another node has admitted, unless all
// slots of the pool are in use. The sender then learns it at once and can try
// elsewhere.
func (m *Models) arriveRelayed(now clock.Instant, h Handle, e *entry, out []Decision) []Decision {
	p := e.flow.pool
	if float64(p.inflight+p.relayed) >= p.total {
		e.state = entryFree
		d := p.decision(h, Refuse, outcome.Overloaded, ReasonSaturated)
		d.RetryAfter = p.timeToSlot(now)
		return append(out, d)
	}
	e.state = entryRelayed
	p.relayed++
	return append(out, p.decision(h, Admit, "", ReasonAdmitted))
}

func (m *Models) arriveOwn(now clock.Instant, h Handle, e *entry, out []Decision) []Decision {
	p, o := e.flow.pool, e.flow.org
	if !o.bucket.hasToken(now) {
		d := p.decision(h, Refuse, outcome.OverLimit, ReasonRate)
		d.RetryAfter = o.bucket.nextRetryAfter(now)
		return append(out, d)
	}
	if len(p.ready) == 0 && p.hasSlot() {
		o.bucket.take()
		e.tokenTaken = true
		return append(out, m.admit(now, h, ReasonSlotFree))
	}
	if d, late := m.refuseIfLate(now, h, e); late {
		return append(out, d)
	}
	victim, reason := m.selectEviction(h, e)
	if victim == h {
		return append(out, m.refuseFull(now, h, e, reason))
	}
	if victim != noHandle {
		out = m.refuseQueued(now, victim, outcome.Overloaded, reason, out)
	}
	o.bucket.take()
	e.tokenTaken = true
	m.enqueue(now, h, e)
	d := p.decision(h, Queue, "", ReasonNoSlot)
	d.WaitTime = p.wait(now, e.flow, e.flow.queuedCost-e.cost)
	d.Waiting = m.queued
	d.ServiceTime = p.estimate.serviceTime(e.cost)
	return append(out, d)
}

// refuseIfLate refuses a request that would miss its deadline if it were queued
// now. It returns false if the request is not late.
func (m *Models) refuseIfLate(now clock.Instant, h Handle, e *entry) (Decision, bool) {
	if e.deadline == 0 {
		return Decision{}, false
	}
	p := e.flow.pool
	wait, service := p.tailWait(now, e.flow), p.estimate.serviceTime(e.cost)
	left := e.deadline.Sub(now)
	need := time.Duration(float64(wait)*waitSafetyFactor) + service
	if need <= left {
		return Decision{}, false
	}
	d := p.decision(h, Refuse, outcome.Overloaded, ReasonDeadline)
	d.WaitTime, d.ServiceTime, d.Waiting = wait, service, m.queued
	d.RetryAfter = p.nextRetryAfter(now, need-left, e.cost)
	return d, true
}

func (m *Models) refuseFull(now clock.Instant, h Handle, e *entry, reason Reason) Decision {
	p := e.flow.pool
	d := p.decision(h, Refuse, outcome.Overloaded, reason)
	d.WaitTime = p.tailWait(now, e.flow)
	d.Waiting = m.queued
	d.RetryAfter = p.nextRetryAfter(now, p.timeToSlot(now), e.cost)
	return d
}

// admit gives a slot to request h, which must not be queued.
func (m *Models) admit(now clock.Instant, h Handle, reason Reason) Decision {
	e := &m.entries[h]
	f, p := e.flow, e.flow.pool
	p.virtualTime = p.startTime(f)
	f.lastFinish = max(p.virtualTime, f.lastFinish) + e.cost/f.org.weight
	p.requeueFlow(f)
	f.rateMeter.add(now, e.cost)
	p.rateMeter.add(now, e.cost)
	p.usualWeight += (p.weight - p.usualWeight) * weightSampleWeight
	e.state = entryRunning
	p.inflight++
	f.inflight++
	d := p.decision(h, Admit, "", reason)
	d.WaitTime = now.Sub(e.arrived)
	d.ServiceTime = p.estimate.serviceTime(e.cost)
	d.Waiting = m.queued
	return d
}

func (m *Models) finish(now clock.Instant, h Handle, c *Completion, out []Decision) []Decision {
	e := &m.entries[h]
	p := e.flow.pool
	switch e.state {
	case entryRunning:
		p.inflight--
		e.flow.inflight--
	case entryRelayed:
		p.relayed--
	default:
		return out
	}
	if c.FirstToken > 0 {
		p.limiter.addSample(now, c.FirstToken.Seconds(), len(p.ready) > 0)
	} else if c.Answered && len(p.ready) > 0 {
		p.limiter.raise()
	}
	if c.EndpointRefused {
		p.limiter.cutOnRefusal(now)
	}
	if c.Answered {
		p.estimate.addSample(e.cost, c.Total)
		p.allowance = p.estimate.drainRate(p.limiter.limit) * burstAllowanceSeconds / m.totalWeight
		if !e.lengthLimited && c.Tokens > 0 {
			p.estimate.addLength(c.Tokens)
		}
	}
	e.state = entryFree
	return m.dispatch(now, p, out)
}

func (m *Models) withdraw(now clock.Instant, h Handle, out []Decision) []Decision {
	if int(h) >= len(m.entries) || m.entries[h].state != entryQueued {
		return out
	}
	e := &m.entries[h]
	m.dequeue(h, e)
	m.freeEntry(e)
	d := e.flow.pool.decision(h, Withdrawn, "", ReasonCallerGone)
	d.WaitTime = now.Sub(e.arrived)
	return append(out, d)
}

// freeEntry frees the entry of a queued request that did not run.
func (m *Models) freeEntry(e *entry) {
	if e.tokenTaken {
		e.flow.org.bucket.refund()
	}
	e.state = entryFree
}

func (m *Models) refuseQueued(now clock.Instant, h Handle, k outcome.Kind, reason Reason, out []Decision) []Decision {
	e := &m.entries[h]
	p := e.flow.pool
	m.dequeue(h, e)
	m.freeEntry(e)
	d := p.decision(h, Refuse, k, reason)
	d.WaitTime = now.Sub(e.arrived)
	d.ServiceTime = p.estimate.serviceTime(e.cost)
	d.Waiting = m.queued
	d.RetryAfter = noCapacityRetryAfter
	if k != outcome.NoCapacity {
		d.RetryAfter = p.nextRetryAfter(now, p.tailWait(now, e.flow), e.cost)
	}
	return append(out, d)
}

// dispatch gives free slots to queued requests.
func (m *Models) dispatch(now clock.Instant, p *pool, out []Decision) []Decision {
	for len(p.ready) > 0 && p.hasSlot() {
		f := p.ready[0]
		h := f.first
		e := &m.entries[h]
		if p.wouldMissDeadline(now, e, 0) {
			out = m.refuseQueued(now, h, outcome.Overloaded, ReasonDeadline, out)
			continue
		}
		m.dequeue(h, e)
		out = append(out, m.admit(now, h, ReasonDequeued))
	}
	return out
}

// sweep refuses queued requests that can no longer be answered in time and gives
// free slots to the others.
func (m *Models) sweep(now clock.Instant, out []Decision) []Decision {
	for _, p := range m.active {
		if p.isGone(now) {
			out = m.refuseAll(now, p, out)
			continue
		}
		for i := len(p.ready) - 1; i >= 0; i-- {
			out = m.sweepFlow(now, p.ready[i], out)
		}
		out = m.dispatch(now, p, out)
	}
	return out
}

func (m *Models) sweepFlow(now clock.Instant, f *flow, out []Decision) []Decision {
	ahead := 0.0
	for h := f.first; h != noHandle; {
		e := &m.entries[h]
		next := e.next
		if f.pool.wouldMissDeadline(now, e, f.pool.wait(now, f, ahead)) {
			out = m.refuseQueued(now, h, outcome.Overloaded, ReasonDeadline, out)
		} else {
			ahead += e.cost
		}
		h = next
	}
	return out
}

func (m *Models) refuseAll(now clock.Instant, p *pool, out []Decision) []Decision {
	for len(p.ready) > 0 {
		out = m.refuseQueued(now, p.ready[0].first, outcome.NoCapacity, ReasonNoCapacity, out)
	}
	return out
}
