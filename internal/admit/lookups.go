package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

const (
	// reserveFactor bounds an organisation's lookups in progress, above its
	// weighted part of the slots, to this many times the slots that are free.
	// One organisation alone then fills half of the slots and leaves half to
	// others at once; k greedy ones leave 1/(1+k). Without it one
	// organisation's burst takes every slot, and the counters of another are
	// refused.
	reserveFactor = 1.0
	// lookupRetry is the advice given when the lookups in progress are too many:
	// slots are free again within milliseconds, and Retry-After has no smaller
	// value than a second.
	lookupRetry = time.Second
)

// Lookups decides about plain service calls. A call that has no slot waits a moment
// for one, and is refused where that can't be expected.
type Lookups struct {
	plan     *Plan
	orgs     map[fleet.Organisation]*lookupOrg
	services map[string]*service
	weight   float64 // of all organisations of the plan
	entries  []lookupEntry
	waiting  int
}

type lookupOrg struct {
	weight   float64
	bucket   bucket
	inflight map[*service]int
	waiting  map[*service]int
	planned  bool
}

// service is the slots of one plain service.
type service struct {
	limiter  limiter
	inflight int
	queue    []waitingLookup // in the order in which they came
	total    float64
	planned  bool
}

// waitingLookup is a call that waits for a slot.
type waitingLookup struct {
	handle   Handle
	org      *lookupOrg // nil: admitted by another node
	came     clock.Instant
	deadline clock.Instant // of the caller; 0: none
}

// late reports whether the caller can't be served in time.
func (w *waitingLookup) late(now clock.Instant) bool {
	return w.deadline != 0 && !now.Before(w.deadline)
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
		if s := l.finish(now, ev.Handle, &ev.Completion); s != nil {
			out = l.serveQueue(now, s, out)
		}
	case Withdraw:
		return l.withdraw(now, ev.Handle, out)
	case Replan:
		l.replan(now, ev.Plan)
		fallthrough
	case Tick:
		if l.waiting > 0 {
			for _, s := range l.services {
				out = l.serveQueue(now, s, out)
			}
		}
	}
	return out
}

// Waiting returns how many calls wait for a slot.
func (l *Lookups) Waiting() int { return l.waiting }

func (l *Lookups) arrive(now clock.Instant, h Handle, a *Arrival) Decision {
	if l.plan == nil {
		return Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNotConfigured, RetryAfter: noCapacityRetry}
	}
	s := l.services[a.Service]
	if s == nil || !s.planned || s.total == 0 {
		return Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetry}
	}
	d := s.decision(h, Admit, ReasonRoom)
	if a.Deadline != 0 && !now.Before(a.Deadline) {
		return d.refuse(outcome.DeadlineExceeded, ReasonExpired, 0)
	}
	full := len(s.queue) > 0 || !s.room()
	if a.Admitted {
		if full {
			return l.wait(now, s, waitingLookup{handle: h, deadline: a.Deadline})
		}
		d.Reason = ReasonAdmitted
		l.take(h, nil, s)
		return d
	}
	o := l.org(a.Organisation)
	if !o.bucket.has(now) {
		return d.refuse(outcome.OverLimit, ReasonRate, o.bucket.book(now))
	}
	if full {
		return l.wait(now, s, waitingLookup{handle: h, org: o, deadline: a.Deadline})
	}
	if float64(o.inflight[s]) >= l.most(o, s) {
		return d.refuse(outcome.Overloaded, ReasonConcurrency, lookupRetry)
	}
	o.bucket.take()
	l.take(h, o, s)
	return d
}

func (s *service) decision(h Handle, v Verdict, r Reason) Decision {
	return Decision{
		Handle: h, Verdict: v, Reason: r,
		Limit: int(s.limiter.limit), InProgress: s.inflight, Share: int(s.limiter.share), Waiting: len(s.queue),
	}
}

// room reports whether a slot is free.
func (s *service) room() bool { return float64(s.inflight)+1 <= s.limiter.limit }

// most returns how many calls of o may be in progress at s.
func (l *Lookups) most(o *lookupOrg, s *service) float64 {
	free := s.limiter.limit - float64(s.inflight)
	return max(s.limiter.limit*o.weight/max(l.weight, o.weight), reserveFactor*free)
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

// finish returns the service that has a slot more.
func (l *Lookups) finish(now clock.Instant, h Handle, c *Completion) *service {
	e := &l.entries[h]
	if e.service == nil {
		return nil
	}
	s := e.service
	busy := len(s.queue) > 0 || float64(s.inflight)*2 >= s.limiter.limit
	s.inflight--
	if c.Answered {
		s.limiter.sample(now, c.Total.Seconds(), busy)
	}
	if c.Shed {
		s.limiter.shed(now)
	}
	if e.org != nil {
		e.org.inflight[e.service]--
	}
	*e = lookupEntry{}
	return s
}

func (l *Lookups) org(name fleet.Organisation) *lookupOrg {
	o := l.orgs[name]
	if o == nil {
		o = &lookupOrg{weight: 1, inflight: make(map[*service]int), waiting: make(map[*service]int)}
		l.orgs[name] = o
	}
	return o
}

func (l *Lookups) replan(now clock.Instant, plan *Plan) {
	l.plan = plan
	for _, o := range l.orgs {
		o.planned = false
	}
	l.weight = 0
	for i := range plan.Organisations {
		c := &plan.Organisations[i]
		l.weight += c.Weight
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
		s.planned = false
	}
	for i := range plan.Services {
		s := l.service(plan.Services[i].Name)
		s.planned = true
		s.resize(now, &plan.Services[i])
	}
	l.dropServices()
}

// dropServices forgets the services that are gone and answer nothing any more.
func (l *Lookups) dropServices() {
	for name, s := range l.services {
		if s.planned || s.inflight > 0 || len(s.queue) > 0 {
			continue
		}
		delete(l.services, name)
		for _, o := range l.orgs {
			delete(o.inflight, s)
			delete(o.waiting, s)
		}
	}
}

// resize takes the service's part of a new plan.
func (s *service) resize(now clock.Instant, c *Pool) {
	s.total = c.Total
	s.limiter.resize(now, c)
}

func (l *Lookups) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}

func (o *lookupOrg) busy() bool {
	for s, n := range o.inflight {
		if n > 0 || o.waiting[s] > 0 {
			return true
		}
	}
	return false
}
