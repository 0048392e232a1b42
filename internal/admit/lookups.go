package admit

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

const (
	// freeSlotsFactor limits an organisation's lookups in progress, above its
	// weighted share of the slots, to this multiple of the free slots. A single
	// organisation can then fill half of the slots; with k organisations that use
	// all they can, 1/(1+k) of the slots stays free. Without this limit a burst of
	// one organisation would take every slot and the others would be refused.
	freeSlotsFactor = 1.0
	// lookupRetryAfter is the retry delay when too many lookups are in progress.
	// Slots become free within milliseconds, but one second is the smallest
	// value of Retry-After.
	lookupRetryAfter = time.Second
)

// Lookups decides about plain-service calls. A call without a free slot waits a
// short time for one, or is refused if none is expected in time.
type Lookups struct {
	plan        *Plan
	orgs        map[fleet.Organisation]*lookupOrg
	services    map[string]*service
	totalWeight float64 // sum over the plan's organisations
	entries     []lookupEntry
	waiting     int
}

type lookupOrg struct {
	weight   float64
	bucket   bucket
	inflight map[*service]int
	waiting  map[*service]int
	planned  bool
}

// service holds the slots of one plain service.
type service struct {
	limiter  limiter
	inflight int
	queue    []waitingLookup // in order of arrival
	total    float64
	planned  bool
}

// waitingLookup is a call that is queued for a slot.
type waitingLookup struct {
	handle   Handle
	org      *lookupOrg // nil: admitted by another node
	queuedAt clock.Instant
	deadline clock.Instant // the caller's; 0: none
}

// isExpired reports whether the call's deadline has passed.
func (w *waitingLookup) isExpired(now clock.Instant) bool {
	return w.deadline != 0 && !now.Before(w.deadline)
}

type lookupEntry struct {
	org     *lookupOrg // nil: admitted by another node
	service *service   // nil: the handle is unused
}

// NewLookups returns a Lookups that refuses everything until its first plan.
func NewLookups() *Lookups {
	return &Lookups{orgs: make(map[fleet.Organisation]*lookupOrg), services: make(map[string]*service)}
}

// Step processes one event and appends the resulting decisions to out.
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

// Waiting returns the number of queued calls.
func (l *Lookups) Waiting() int { return l.waiting }

func (l *Lookups) arrive(now clock.Instant, h Handle, a *Arrival) Decision {
	if l.plan == nil {
		return Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNotConfigured, RetryAfter: noCapacityRetryAfter}
	}
	s := l.services[a.Service]
	if s == nil || !s.planned || s.total == 0 {
		return Decision{Handle: h, Verdict: Refuse, Kind: outcome.NoCapacity, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryAfter}
	}
	d := s.decision(h, Admit, ReasonSlotFree)
	if a.Deadline != 0 && !now.Before(a.Deadline) {
		return d.refuse(outcome.DeadlineExceeded, ReasonExpired, 0)
	}
	full := len(s.queue) > 0 || !s.hasSlot()
	if a.AdmittedElsewhere {
		if full {
			return l.waitOrRefuse(now, s, waitingLookup{handle: h, deadline: a.Deadline})
		}
		d.Reason = ReasonAdmitted
		l.addInProgress(h, nil, s)
		return d
	}
	o := l.org(a.Organisation)
	if !o.bucket.hasToken(now) {
		return d.refuse(outcome.OverLimit, ReasonRate, o.bucket.nextRetryAfter(now))
	}
	if full {
		return l.waitOrRefuse(now, s, waitingLookup{handle: h, org: o, deadline: a.Deadline})
	}
	if float64(o.inflight[s]) >= l.maxInProgress(o, s) {
		return d.refuse(outcome.Overloaded, ReasonConcurrency, lookupRetryAfter)
	}
	o.bucket.take()
	l.addInProgress(h, o, s)
	return d
}

func (s *service) decision(h Handle, v Verdict, r Reason) Decision {
	return Decision{
		Handle: h, Verdict: v, Reason: r,
		Limit: int(s.limiter.limit), InProgress: s.inflight, ShareSlots: int(s.limiter.share), Waiting: len(s.queue),
	}
}

// hasSlot reports whether a slot is free.
func (s *service) hasSlot() bool { return float64(s.inflight)+1 <= s.limiter.limit }

// maxInProgress returns the number of calls that o may have in progress at s.
func (l *Lookups) maxInProgress(o *lookupOrg, s *service) float64 {
	free := s.limiter.limit - float64(s.inflight)
	return max(s.limiter.limit*o.weight/max(l.totalWeight, o.weight), freeSlotsFactor*free)
}

// refuse returns d as a refusal.
func (d Decision) refuse(k outcome.Kind, r Reason, after time.Duration) Decision {
	d.Verdict, d.Kind, d.Reason, d.RetryAfter = Refuse, k, r, after
	return d
}

func (l *Lookups) addInProgress(h Handle, o *lookupOrg, s *service) {
	for int(h) >= len(l.entries) {
		l.entries = append(l.entries, lookupEntry{})
	}
	l.entries[h] = lookupEntry{org: o, service: s}
	s.inflight++
	if o != nil {
		o.inflight[s]++
	}
}

// finish releases a call's slot and returns its service, or nil if the handle is
// unused.
func (l *Lookups) finish(now clock.Instant, h Handle, c *Completion) *service {
	e := &l.entries[h]
	if e.service == nil {
		return nil
	}
	s := e.service
	busy := len(s.queue) > 0 || float64(s.inflight)*2 >= s.limiter.limit
	s.inflight--
	if c.Answered {
		s.limiter.addSample(now, c.Total.Seconds(), busy)
	}
	if c.EndpointRefused {
		s.limiter.cutOnRefusal(now)
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
	l.totalWeight = 0
	for i := range plan.Organisations {
		c := &plan.Organisations[i]
		l.totalWeight += c.Weight
		o := l.org(c.Name)
		o.planned, o.weight = true, c.Weight
		o.bucket.setRate(now, c.Lookups)
	}
	for name, o := range l.orgs {
		if !o.planned && !o.hasRequests() {
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
	l.removeUnplannedServices()
}

// removeUnplannedServices removes services that are not in the plan and have no
// calls.
func (l *Lookups) removeUnplannedServices() {
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

// resize applies the service's part of a new plan.
func (s *service) resize(now clock.Instant, c *Pool) {
	s.total = c.TotalSlots
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

func (o *lookupOrg) hasRequests() bool {
	for s, n := range o.inflight {
		if n > 0 || o.waiting[s] > 0 {
			return true
		}
	}
	return false
}
