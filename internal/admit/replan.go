package admit

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// replan takes new limits. Requests that are queued or in progress stay with
// their pool; a pool or organisation that is gone from the plan is kept until
// the last of them has ended.
func (m *Models) replan(now clock.Instant, plan *Plan) {
	m.plan = plan
	m.replanOrganisations(now, plan)
	m.replanPools(now, plan)
}

func (m *Models) replanOrganisations(now clock.Instant, plan *Plan) {
	for _, o := range m.inOrder {
		o.planned = false
	}
	m.weight = 0
	for i := range plan.Organisations {
		c := &plan.Organisations[i]
		m.weight += c.Weight
		o := m.org(c.Name)
		o.planned = true
		m.setWeight(o, c.Weight)
		o.bucket.setRate(now, c.Rate)
	}
	kept := m.inOrder[:0]
	for _, o := range m.inOrder {
		if o.planned || o.busy() {
			kept = append(kept, o)
			continue
		}
		delete(m.orgs, o.name)
	}
	clear(m.inOrder[len(kept):])
	m.inOrder = kept
}

// setWeight keeps the sums of weights of the pools in which o waits.
func (m *Models) setWeight(o *org, w float64) {
	for _, f := range o.flows {
		if f.at >= 0 {
			f.pool.weight += w - o.weight
		}
	}
	o.weight = w
}

// busy reports whether a request of the organisation is queued or in progress.
func (o *org) busy() bool {
	for _, f := range o.flows {
		if f.queued > 0 || f.inflight > 0 {
			return true
		}
	}
	return false
}

// org returns the organisation; one that the plan does not name, because it was
// taken out of the configuration a moment ago, counts with the least weight.
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
			pools[t.Pool] = m.succeed(old[t.Target], plan.Pools[t.Pool].Name)
		}
		m.targets[t.Target] = pools[t.Pool]
	}
	for i, p := range pools {
		if p != nil {
			p.resize(now, &plan.Pools[i])
		}
	}
	m.dropPools(now)
}

// succeed returns the pool that takes up a target: the one that served it until
// now when no other target needs that one, so that its queue and its estimates
// live on under the new name.
func (m *Models) succeed(before *pool, name string) *pool {
	if before != nil && !before.planned {
		before.name, before.planned = name, true
		return before
	}
	p := &pool{name: name, planned: true}
	m.active = append(m.active, p)
	return p
}

// dropPools closes the pools that the plan does not name and forgets those
// among them that are empty.
func (m *Models) dropPools(now clock.Instant) {
	kept := m.active[:0]
	for _, p := range m.active {
		if !p.planned {
			p.resize(now, &Pool{Name: p.name})
		}
		if p.planned || p.inflight+p.relayed > 0 || len(p.ready) > 0 {
			kept = append(kept, p)
			continue
		}
		m.forget(p)
	}
	clear(m.active[len(kept):])
	m.active = kept
}

func (m *Models) forget(p *pool) {
	for _, o := range m.inOrder {
		for i, f := range o.flows {
			if f.pool == p {
				o.flows = append(o.flows[:i], o.flows[i+1:]...)
				break
			}
		}
	}
}

// resize takes the pool's part of a new plan.
func (p *pool) resize(now clock.Instant, c *Pool) {
	p.total = c.Total
	p.limiter.resize(now, c)
	if c.Total > 0 {
		p.lost = 0
	} else if p.lost == 0 {
		p.lost = max(now, 1)
	}
}
