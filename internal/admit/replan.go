package admit

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// replan applies new limits. Requests that are queued or in progress stay in their
// pool. A pool or organisation that is no longer in the plan is kept until its last
// request has ended.
func (m *Models) replan(now clock.Instant, plan *Plan) {
	m.plan = plan
	m.replanOrganisations(now, plan)
	m.replanPools(now, plan)
}

func (m *Models) replanOrganisations(now clock.Instant, plan *Plan) {
	for _, o := range m.inOrder {
		o.planned = false
	}
	m.totalWeight = 0
	for i := range plan.Organisations {
		c := &plan.Organisations[i]
		m.totalWeight += c.Weight
		o := m.org(c.Name)
		o.planned = true
		m.setWeight(o, c.Weight)
		o.bucket.setRate(now, c.Rate)
	}
	kept := m.inOrder[:0]
	for _, o := range m.inOrder {
		if o.planned || o.hasRequests() {
			kept = append(kept, o)
			continue
		}
		delete(m.orgs, o.name)
	}
	clear(m.inOrder[len(kept):])
	m.inOrder = kept
}

// setWeight changes the weight of o and the weight sums of the pools in which it
// waits.
func (m *Models) setWeight(o *org, w float64) {
	for _, f := range o.flows {
		if f.heapIndex >= 0 {
			f.pool.weight += w - o.weight
		}
	}
	o.weight = w
}

// hasRequests reports whether a request of the organisation is queued or in
// progress.
func (o *org) hasRequests() bool {
	for _, f := range o.flows {
		if f.queued > 0 || f.inflight > 0 {
			return true
		}
	}
	return false
}

// org returns the organisation. One that is not in the plan, because it was just
// removed from the configuration, gets the lowest weight.
func (m *Models) org(name fleet.Organisation) *org {
	o := m.orgs[name]
	if o == nil {
		o = &org{name: name, weight: 1}
		m.orgs[name] = o
		m.inOrder = append(m.inOrder, o)
	}
	return o
}

func (m *Models) replanPools(now clock.Instant, plan *Plan) {
	old := m.targets
	byName := make(map[string]*pool, len(m.active))
	for _, p := range m.active {
		byName[p.name] = p
		p.planned = false
	}
	pools := make([]*pool, len(plan.Pools))
	for i := range plan.Pools {
		if p := byName[plan.Pools[i].Name]; p != nil {
			pools[i] = p
			p.planned = true
		}
	}
	m.targets = make(map[fleet.Target]*pool, len(plan.Targets))
	for _, t := range plan.Targets {
		if pools[t.Pool] == nil {
			pools[t.Pool] = m.poolFor(old[t.Target], plan.Pools[t.Pool].Name)
		}
		m.targets[t.Target] = pools[t.Pool]
	}
	for i, p := range pools {
		if p != nil {
			p.resize(now, &plan.Pools[i])
		}
	}
	m.removeUnplannedPools(now)
}

// poolFor returns the pool for a target under a new name. It reuses the previous
// pool of the target if no other target needs that, so that its queue and
// estimates are kept.
func (m *Models) poolFor(before *pool, name string) *pool {
	if before != nil && !before.planned {
		before.name, before.planned = name, true
		return before
	}
	p := &pool{name: name, planned: true}
	m.active = append(m.active, p)
	return p
}

// removeUnplannedPools closes the pools that are not in the plan and removes the
// empty ones.
func (m *Models) removeUnplannedPools(now clock.Instant) {
	kept := m.active[:0]
	for _, p := range m.active {
		if !p.planned {
			p.resize(now, &Pool{Name: p.name})
		}
		if p.planned || p.inflight+p.relayed > 0 || len(p.ready) > 0 {
			kept = append(kept, p)
			continue
		}
		m.removeFlows(p)
	}
	clear(m.active[len(kept):])
	m.active = kept
}

func (m *Models) removeFlows(p *pool) {
	for _, o := range m.inOrder {
		for i, f := range o.flows {
			if f.pool == p {
				o.flows = append(o.flows[:i], o.flows[i+1:]...)
				break
			}
		}
	}
}

// resize applies the pool's part of a new plan.
func (p *pool) resize(now clock.Instant, c *Pool) {
	p.total = c.TotalSlots
	p.limiter.resize(now, c)
	if c.TotalSlots > 0 {
		p.emptySince = 0
	} else if p.emptySince == 0 {
		p.emptySince = max(now, 1)
	}
}
