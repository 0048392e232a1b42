package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

const (
	// waitMargin is by how much a new request's estimated wait is stretched
	// before it is held against its deadline. Without it the queue settles
	// where every admitted request ends right at its deadline, and half of
	// them miss it.
	waitMargin = 2
	// capacityGrace is how long requests are held when the last group of their
	// target is gone: a late probe looks the same for a moment.
	capacityGrace = 2 * time.Second
	// noCapacityRetry is the advice given when nothing serves a target: about
	// the time in which a group is repaired with a spare.
	noCapacityRetry = 5 * time.Second
	// tickEvery is the longest time between two looks at the whole queue.
	tickEvery = 50 * time.Millisecond
	// allowanceSeconds is how much of its share, in time, an organisation may
	// use ahead when it was idle.
	allowanceSeconds = 8.0
	// usualWeight is the weight of the newest admission in the mean weight of the
	// organisations that wait.
	usualWeight = 0.05
	// organisationQueueShare is the part of the queue that one organisation may
	// fill.
	organisationQueueShare = 0.5
)

// Models decides about the requests of the model lane. It holds no clock, lock
// or goroutine: its driver gives it one event at a time.
type Models struct {
	plan    *Plan
	orgs    map[fleet.Organisation]*org
	inOrder []*org // the same, in the order of the plan
	targets map[fleet.Target]*pool
	entries []entry
	queued  int
	weight  float64 // of all organisations of the plan
	active  []*pool // pools of the newest plan and those that still have requests
}

// pool is a set of endpoints with one concurrency limit and one fair queue.
type pool struct {
	name      string
	limiter   limiter
	estimate  estimator
	inflight  int // admitted here
	relayed   int // admitted by other nodes
	virtual   float64
	allowance float64       // virtual time that a flow may run ahead
	ready     []*flow       // heap by start: flows with queued requests
	weight    float64       // of the flows in ready
	usual     float64       // decayed mean of weight
	pace      pace          // at which the queue is served
	cost      float64       // of all queued requests
	total     float64       // slots in reach
	lost      clock.Instant // since when total is 0; 0: it is not
	booked    clock.Instant // the latest time given to a refused caller
	planned   bool
}

// NewModels returns a lane that refuses everything until its first plan.
func NewModels() *Models {
	return &Models{
		orgs:    make(map[fleet.Organisation]*org),
		targets: make(map[fleet.Target]*pool),
	}
}

// Step takes one event and appends to out the decisions that follow from it,
// about the event's own request and about others.
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
		return append(out, Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNotConfigured, RetryAfter: noCapacityRetry})
	}
	p := m.targets[a.Target]
	if p == nil || p.gone(now) {
		return append(out, Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetry})
	}
	if a.Deadline != 0 && !now.Before(a.Deadline) {
		return append(out, p.decision(h, Refuse, outcome.DeadlineExceeded, ReasonExpired))
	}
	e := m.entry(h)
	*e = entry{
		flow:     m.org(a.Organisation).flow(p),
		cost:     p.estimate.cost(a.PromptTokens, a.MaxTokens),
		came:     now,
		deadline: a.Deadline,
		priority: a.Priority,
		bounded:  a.MaxTokens > 0,
		next:     none,
		prev:     none,
	}
	if a.Admitted {
		return m.arriveRelayed(now, h, e, out)
	}
	return m.arriveOwn(now, h, e, out)
}

// arriveRelayed admits a request that another node admitted, unless this node's
// part of the system is full beyond all of its slots: the sender then has the
// truth at once and may try elsewhere.
func (m *Models) arriveRelayed(now clock.Instant, h Handle, e *entry, out []Decision) []Decision {
	p := e.flow.pool
	if float64(p.inflight+p.relayed) >= p.total {
		e.state = entryFree
		d := p.decision(h, Refuse, outcome.Overloaded, ReasonSaturated)
		d.RetryAfter = p.slotTime(now)
		return append(out, d)
	}
	e.state = entryRelayed
	p.relayed++
	return append(out, p.decision(h, Admit, "", ReasonAdmitted))
}

func (m *Models) arriveOwn(now clock.Instant, h Handle, e *entry, out []Decision) []Decision {
	p, o := e.flow.pool, e.flow.org
	if !o.bucket.has(now) {
		d := p.decision(h, Refuse, outcome.OverLimit, ReasonRate)
		d.RetryAfter = o.bucket.book(now)
		return append(out, d)
	}
	if len(p.ready) == 0 && p.room() {
		o.bucket.take()
		e.charged = true
		return append(out, m.admit(now, h, ReasonRoom))
	}
	if d, late := m.late(now, h, e); late {
		return append(out, d)
	}
	victim, reason := m.makeRoom(h, e)
	if victim == h {
		return append(out, m.refuseFull(now, h, e, reason))
	}
	if victim != none {
		out = m.refuseQueued(now, victim, outcome.Overloaded, reason, out)
	}
	o.bucket.take()
	e.charged = true
	m.enqueue(now, h, e)
	d := p.decision(h, Queue, "", ReasonBusy)
	d.Wait = p.wait(now, e.flow, e.flow.cost-e.cost)
	d.Waiting = m.queued
	d.Service = p.estimate.service(e.cost)
	return append(out, d)
}

// late refuses a request that would not be answered by its deadline if it were
// queued now.
func (m *Models) late(now clock.Instant, h Handle, e *entry) (Decision, bool) {
	if e.deadline == 0 {
		return Decision{}, false
	}
	p := e.flow.pool
	wait, service := p.tailWait(now, e.flow), p.estimate.service(e.cost)
	left := e.deadline.Sub(now)
	need := time.Duration(float64(wait)*waitMargin) + service
	if need <= left {
		return Decision{}, false
	}
	d := p.decision(h, Refuse, outcome.Overloaded, ReasonDeadline)
	d.Wait, d.Service, d.Waiting = wait, service, m.queued
	d.RetryAfter = p.book(now, need-left, e.cost)
	return d, true
}

func (m *Models) refuseFull(now clock.Instant, h Handle, e *entry, reason Reason) Decision {
	p := e.flow.pool
	d := p.decision(h, Refuse, outcome.Overloaded, reason)
	d.Wait = p.tailWait(now, e.flow)
	d.Waiting = m.queued
	d.RetryAfter = p.book(now, p.slotTime(now), e.cost)
	return d
}

// admit gives a slot to the request h, which is not queued.
func (m *Models) admit(now clock.Instant, h Handle, reason Reason) Decision {
	e := &m.entries[h]
	f, p := e.flow, e.flow.pool
	p.virtual = p.startOf(f)
	f.finish = max(p.virtual, f.finish) + e.cost/f.org.weight
	p.restart(f)
	f.pace.serve(now, e.cost)
	p.pace.serve(now, e.cost)
	p.usual += (p.weight - p.usual) * usualWeight
	e.state = entryRunning
	p.inflight++
	f.inflight++
	d := p.decision(h, Admit, "", reason)
	d.Wait = now.Sub(e.came)
	d.Service = p.estimate.service(e.cost)
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
		p.limiter.sample(now, c.FirstToken.Seconds(), len(p.ready) > 0)
	} else if c.Answered && len(p.ready) > 0 {
		p.limiter.raise()
	}
	if c.Shed {
		p.limiter.shed(now)
	}
	if c.Answered {
		p.estimate.sample(e.cost, c.Total)
		p.allowance = p.estimate.drain(p.limiter.limit) * allowanceSeconds / m.weight
		if !e.bounded && c.Tokens > 0 {
			p.estimate.length(c.Tokens)
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
	m.release(e)
	d := e.flow.pool.decision(h, Withdrawn, "", ReasonCallerGone)
	d.Wait = now.Sub(e.came)
	return append(out, d)
}

// release forgets a request that was queued and did not run.
func (m *Models) release(e *entry) {
	if e.charged {
		e.flow.org.bucket.giveBack()
	}
	e.state = entryFree
}

func (m *Models) refuseQueued(now clock.Instant, h Handle, k outcome.Kind, reason Reason, out []Decision) []Decision {
	e := &m.entries[h]
	p := e.flow.pool
	m.dequeue(h, e)
	m.release(e)
	d := p.decision(h, Refuse, k, reason)
	d.Wait = now.Sub(e.came)
	d.Service = p.estimate.service(e.cost)
	d.Waiting = m.queued
	d.RetryAfter = noCapacityRetry
	if k != outcome.NoCapacity {
		d.RetryAfter = p.book(now, p.tailWait(now, e.flow), e.cost)
	}
	return append(out, d)
}

// dispatch gives free slots to the queue.
func (m *Models) dispatch(now clock.Instant, p *pool, out []Decision) []Decision {
	for len(p.ready) > 0 && p.room() {
		f := p.ready[0]
		h := f.first
		e := &m.entries[h]
		if p.hopeless(now, e, 0) {
			out = m.refuseQueued(now, h, outcome.Overloaded, ReasonDeadline, out)
			continue
		}
		m.dequeue(h, e)
		out = append(out, m.admit(now, h, ReasonTurn))
	}
	return out
}

// sweep refuses the queued requests that cannot be answered in time any more
// and gives free slots to the others.
func (m *Models) sweep(now clock.Instant, out []Decision) []Decision {
	for _, p := range m.active {
		if p.gone(now) {
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
	for h := f.first; h != none; {
		e := &m.entries[h]
		next := e.next
		if f.pool.hopeless(now, e, f.pool.wait(now, f, ahead)) {
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
