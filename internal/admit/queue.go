package admit

import "chervilloom/internal/clock"

// enqueue puts the request behind those of its flow with the same or a higher
// priority.
func (m *Models) enqueue(now clock.Instant, h Handle, e *entry) {
	f, p := e.flow, e.flow.pool
	after := f.last
	for after != none && m.entries[after].priority < e.priority {
		after = m.entries[after].prev
	}
	m.link(h, e, after)
	e.state = entryQueued
	f.queued++
	f.cost += e.cost
	f.org.queued++
	p.cost += e.cost
	m.queued++
	if f.at < 0 {
		f.start = p.startOf(f)
		if len(p.ready) == 0 {
			p.pace.begin(now)
		}
		p.push(f)
		f.pace.begin(now)
	}
}

func (m *Models) link(h Handle, e *entry, after Handle) {
	f := e.flow
	e.prev = after
	if after == none {
		e.next = f.first
		f.first = h
	} else {
		e.next = m.entries[after].next
		m.entries[after].next = h
	}
	if e.next == none {
		f.last = h
	} else {
		m.entries[e.next].prev = h
	}
}

func (m *Models) unlink(e *entry) {
	f := e.flow
	if e.prev == none {
		f.first = e.next
	} else {
		m.entries[e.prev].next = e.next
	}
	if e.next == none {
		f.last = e.prev
	} else {
		m.entries[e.next].prev = e.prev
	}
	e.next, e.prev = none, none
}

// dequeue takes the request out of its queue, whatever becomes of it.
func (m *Models) dequeue(h Handle, e *entry) {
	f, p := e.flow, e.flow.pool
	m.unlink(e)
	f.queued--
	f.cost -= e.cost
	f.org.queued--
	p.cost -= e.cost
	m.queued--
	if f.queued == 0 {
		f.cost = 0
		p.remove(f)
		f.pace.end()
	}
	if len(p.ready) == 0 {
		p.cost, p.weight = 0, 0 // no rounding errors are carried on
		p.pace.end()
	}
}

// makeRoom returns the request that has to go so that e can be queued: none
// when there is room, h when e itself has to.
func (m *Models) makeRoom(h Handle, e *entry) (Handle, Reason) {
	o := e.flow.org
	most := max(1, int(float64(m.plan.QueueLimit)*organisationQueueShare))
	if o.queued >= most {
		return m.newest(o, h, e), ReasonOrganisation
	}
	if m.queued < m.plan.QueueLimit {
		return none, ""
	}
	return m.newest(m.furthest(o), h, e), ReasonQueueFull
}

// furthest returns the organisation whose queued requests are most over its
// share if one more of asking's were queued. asking itself is returned when
// none is further over: a request never drives out one of a smaller backlog.
func (m *Models) furthest(asking *org) *org {
	worst, most := asking, float64(asking.queued+1)/asking.weight
	for _, o := range m.inOrder {
		if over := float64(o.queued) / o.weight; over > most && o != asking {
			worst, most = o, over
		}
	}
	return worst
}

// newest returns the newest of the lowest-priority requests of o, with e
// counted in when it is o's.
func (m *Models) newest(o *org, h Handle, e *entry) Handle {
	found := none
	if e.flow.org == o {
		found = h
	}
	for _, f := range o.flows {
		if f.last == none {
			continue
		}
		if found == none || m.older(found, f.last) {
			found = f.last
		}
	}
	return found
}

// older reports whether a is kept rather than b.
func (m *Models) older(a, b Handle) bool {
	x, y := &m.entries[a], &m.entries[b]
	if x.priority != y.priority {
		return x.priority > y.priority
	}
	return x.came.Before(y.came)
}
