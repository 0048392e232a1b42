package admit

import "chervilloom/internal/clock"

// enqueue inserts the request after those of its flow with the same or a higher
// priority.
func (m *Models) enqueue(now clock.Instant, h Handle, e *entry) {
	f, p := e.flow, e.flow.pool
	after := f.last
	for after != noHandle && m.entries[after].priority < e.priority {
		after = m.entries[after].prev
	}
	m.link(h, e, after)
	e.state = entryQueued
	f.queued++
	f.queuedCost += e.cost
	f.org.queued++
	p.queuedCost += e.cost
	m.queued++
	if f.heapIndex < 0 {
		f.nextStart = p.startTime(f)
		if len(p.ready) == 0 {
			p.rateMeter.begin(now)
		}
		p.pushFlow(f)
		f.rateMeter.begin(now)
	}
}

func (m *Models) link(h Handle, e *entry, after Handle) {
	f := e.flow
	e.prev = after
	if after == noHandle {
		e.next = f.first
		f.first = h
	} else {
		e.next = m.entries[after].next
		m.entries[after].next = h
	}
	if e.next == noHandle {
		f.last = h
	} else {
		m.entries[e.next].prev = h
	}
}

func (m *Models) unlink(e *entry) {
	f := e.flow
	if e.prev == noHandle {
		f.first = e.next
	} else {
		m.entries[e.prev].next = e.next
	}
	if e.next == noHandle {
		f.last = e.prev
	} else {
		m.entries[e.next].prev = e.prev
	}
	e.next, e.prev = noHandle, noHandle
}

// dequeue removes the request from its queue.
func (m *Models) dequeue(h Handle, e *entry) {
	f, p := e.flow, e.flow.pool
	m.unlink(e)
	f.queued--
	f.queuedCost -= e.cost
	f.org.queued--
	p.queuedCost -= e.cost
	m.queued--
	if f.queued == 0 {
		f.queuedCost = 0
		p.removeFlow(f)
		f.rateMeter.end()
	}
	if len(p.ready) == 0 {
		p.queuedCost, p.weight = 0, 0 // drops rounding errors
		p.rateMeter.end()
	}
}

// selectEviction returns the request that must be removed so that e can be
// queued: noHandle if there is space, or h if e itself must be refused.
func (m *Models) selectEviction(h Handle, e *entry) (Handle, Reason) {
	o := e.flow.org
	most := max(1, int(float64(m.plan.QueueLimit)*organisationQueueShare))
	if o.queued >= most {
		return m.lowestPriorityNewest(o, h, e), ReasonOrganisation
	}
	if m.queued < m.plan.QueueLimit {
		return noHandle, ""
	}
	return m.lowestPriorityNewest(m.mostOverShare(o), h, e), ReasonQueueFull
}

// mostOverShare returns the organisation whose queued requests exceed its share
// the most if one more of asking's were queued. It returns asking if no other
// one exceeds it further: a request never displaces one of a smaller backlog.
func (m *Models) mostOverShare(asking *org) *org {
	worst, most := asking, float64(asking.queued+1)/asking.weight
	for _, o := range m.inOrder {
		if over := float64(o.queued) / o.weight; over > most && o != asking {
			worst, most = o, over
		}
	}
	return worst
}

// lowestPriorityNewest returns the newest of the lowest-priority queued requests
// of o, including e if it belongs to o.
func (m *Models) lowestPriorityNewest(o *org, h Handle, e *entry) Handle {
	found := noHandle
	if e.flow.org == o {
		found = h
	}
	for _, f := range o.flows {
		if f.last == noHandle {
			continue
		}
		if found == noHandle || m.isPreferred(found, f.last) {
			found = f.last
		}
	}
	return found
}

// isPreferred reports whether a is kept in preference to b.
func (m *Models) isPreferred(a, b Handle) bool {
	x, y := &m.entries[a], &m.entries[b]
	if x.priority != y.priority {
		return x.priority > y.priority
	}
	return x.arrived.Before(y.arrived)
}
