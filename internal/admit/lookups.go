package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

const (
	// reserveFactor bounds an organisation's lookups in progress to this many
	// times the slots that are free. One organisation alone then fills two
	// thirds of the slots and leaves a third to others at once; k greedy ones
	// leave 1/(1+2k). Without it one organisation's burst takes every slot, and
	// the counters of another are refused.
	reserveFactor = 2.0
	// lookupRetry is the advice given when the lookups in progress are too many:
	// slots are free again within milliseconds, and Retry-After has no smaller
	// value than a second.
	lookupRetry = time.Second
)

// Lookups decides about plain service calls. They have no queue: a call that
// has no slot is refused, and so never waits behind anything.
type Lookups struct {
	plan     *Plan
	orgs     map[fleet.Organisation]*lookupOrg
	services map[string]*service
	entries  []lookupEntry
}

type lookupOrg struct {
	weight   float64
	bucket   bucket
	inflight map[*service]int
	planned  bool
}

// service is the slots of one plain service.
type service struct {
	limiter  limiter
	inflight int
	total    float64
}

type lookupEntry struct {
	org     *lookupOrg // nil: admitted by another node
	service *service   // nil: the handle is free
}

// NewLookups returns a lane that refuses everything until its first plan.
func NewLookups() *Lookups {
	return &Lookups{orgs: make(map[fleet.Organisation]*lookupOrg), services: make(map[string]*service)}
}

// Step takes one event and appends to out the decisions that follow from it.
func (l *Lookups) Step(now clock.Instant, ev *Event, out []Decision) []Decision {
	switch ev.Kind {
	case Arrive:
		return append(out, l.arrive(now, ev.Handle, &ev.Arrival))
	case Finish:
		l.finish(ev.Handle)
	case Replan:
		l.replan(now, ev.Plan)
	}
	return out
}

func (l *Lookups) arrive(now clock.Instant, h Handle, a *Arrival) Decision {
	if l.plan == nil {
		return Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNotConfigured, RetryAfter: noCapacityRetry}
	}
	s := l.services[a.Service]
	if s == nil || s.total == 0 {
		return Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetry}
	}
	d := Decision{Handle: h, Verdict: Admit, Reason: ReasonRoom, Limit: int(s.limiter.limit)}
	switch {
	case a.Deadline != 0 && !now.Before(a.Deadline):
		return d.refuse(outcome.DeadlineExceeded, ReasonExpired, 0)
	case float64(s.inflight)+1 > s.limiter.limit:
		return d.refuse(outcome.Overloaded, ReasonSaturated, lookupRetry)
	case a.Admitted:
		d.Reason = ReasonAdmitted
		l.take(h, nil, s)
		return d
	}
	o := l.org(a.Organisation)
	if !o.bucket.has(now) {
		return d.refuse(outcome.OverLimit, ReasonRate, o.bucket.book(now))
	}
	if free := s.limiter.limit - float64(s.inflight); float64(o.inflight[s]) >= reserveFactor*free {
		return d.refuse(outcome.Overloaded, ReasonConcurrency, lookupRetry)
	}
	o.bucket.take()
	l.take(h, o, s)
	return d
}

// refuse turns d into a refusal.
func (d Decision) refuse(k outcome.Kind, r Reason, after time.Duration) Decision {
	d.Verdict, d.Kind, d.Reason, d.RetryAfter = Refuse, k, r, after
	return d
}

func (l *Lookups) take(h Handle, o *lookupOrg, s *service) {
	for int(h) >= len(l.entries) {
		l.entries = append(l.entries, lookupEntry{})
	}
	l.entries[h] = lookupEntry{org: o, service: s}
	s.inflight++
	if o != nil {
		o.inflight[s]++
	}
}

func (l *Lookups) finish(h Handle) {
	e := &l.entries[h]
	if e.service == nil {
		return
	}
	e.service.inflight--
	if e.org != nil {
		e.org.inflight[e.service]--
	}
	*e = lookupEntry{}
}

func (l *Lookups) org(name fleet.Organisation) *lookupOrg {
	o := l.orgs[name]
	if o == nil {
		o = &lookupOrg{weight: 1, inflight: make(map[*service]int)}
		l.orgs[name] = o
	}
	return o
}

func (l *Lookups) replan(now clock.Instant, plan *Plan) {
	l.plan = plan
	for _, o := range l.orgs {
		o.planned = false
	}
	for i := range plan.Organisations {
		c := &plan.Organisations[i]
		o := l.org(c.Name)
		o.planned, o.weight = true, c.Weight
		o.bucket.setRate(now, c.Lookups)
	}
	for name, o := range l.orgs {
		if !o.planned && !o.busy() {
			delete(l.orgs, name)
		}
	}
	for _, s := range l.services {
		s.total = 0
	}
	for i := range plan.Services {
		l.resize(&plan.Services[i])
	}
}

func (l *Lookups) resize(c *Pool) {
	s := l.services[c.Name]
	if s == nil {
		s = &service{}
		l.services[c.Name] = s
	}
	s.total = c.Total
	s.limiter.resize(c)
}

func (o *lookupOrg) busy() bool {
	for _, n := range o.inflight {
		if n > 0 {
			return true
		}
	}
	return false
}
