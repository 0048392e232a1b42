package formation

import (
	"context"
	"errors"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// probe is the schedule of one engine's reports.
type probe struct {
	next    clock.Instant
	brief   clock.Instant // until then a report must come within the brief limit
	suspect clock.Instant // until then a node's word counts that its requests there stand still
	running bool
}

// Suspect asks for the state of an endpoint and of its group's members at once.
func (c *Controller) Suspect(id roster.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := []roster.ID{id}
	for i := range c.ledger.Groups {
		if slices.Contains(c.ledger.Groups[i].Members, id) {
			ids = c.ledger.Groups[i].Members
		}
	}
	now := c.Clock.Now()
	if p := c.probes[id]; p != nil {
		p.suspect = now.Add(briefFor)
	}
	for _, m := range ids {
		if p := c.probes[m]; p != nil {
			p.next = min(p.next, c.facts[m].Answered.Add(sureFor))
			p.brief = now.Add(briefFor)
		}
	}
	c.nudge()
}

// follow takes up the newest list of endpoints.
func (c *Controller) follow() {
	r, cat := c.Roster(), c.Catalog()
	if cat == nil || !r.Known() {
		return
	}
	listed := map[roster.ID]bool{}
	for i := range cat.Services {
		s := &cat.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, e := range r.Service(s.Name) {
			if e.Zone == c.Zone {
				c.note(e)
				listed[e.ID] = true
			}
		}
	}
	latest := map[string]roster.ID{}
	for id := range listed {
		latest[id.Name()] = id
	}
	for id, f := range c.facts {
		f.Listed = listed[id]
		if id.Before(latest[id.Name()]) {
			f.endLife()
		}
		if !f.Listed && !c.claims(id) && f.Failures > 0 {
			delete(c.facts, id)
			delete(c.probes, id)
		}
	}
}

func (c *Controller) note(e *roster.Endpoint) {
	f := c.facts[e.ID]
	if f == nil {
		f = &Fact{ID: e.ID, Addr: e.Addr, Domain: e.Domain}
		c.facts[e.ID] = f
		c.probes[e.ID] = &probe{}
	}
	f.Draining = e.Draining
}

func (c *Controller) claims(id roster.ID) bool {
	return slices.ContainsFunc(c.ledger.Groups, func(g Group) bool { return slices.Contains(g.Members, id) })
}

// probeDue starts the reports that are due.
func (c *Controller) probeDue(ctx context.Context) {
	now := c.Clock.Now()
	for id, p := range c.probes {
		if p.running || now.Before(p.next) {
			continue
		}
		p.running = true
		limit := probeLimit
		if now.Before(p.brief) {
			limit = c.pace.brief()
		}
		go c.probe(ctx, id, c.facts[id].Addr, now, limit)
	}
}

func (c *Controller) probe(ctx context.Context, id roster.ID, addr string, asked clock.Instant, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rep, err := c.Engines.Report(ctx, addr, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	f, p := c.facts[id], c.probes[id]
	if f == nil || p == nil {
		return // the tenure is over
	}
	now := c.Clock.Now()
	p.running = false
	if err != nil {
		c.probeFailed(f, p, asked, now, err)
	} else {
		c.pace.took(now.Sub(asked))
		f.takeReport(rep, asked)
		p.next = now.Add(c.calmPause(f, now))
	}
	c.nudge()
}

// calmPause returns how long an engine that has just answered needs no look.
func (c *Controller) calmPause(f *Fact, now clock.Instant) time.Duration {
	g := c.group(f.Report.Member.Group)
	if g == nil {
		return probeCalm
	}
	sign, suspect := c.Signs(g.Head())
	if suspect {
		return probeCalm
	}
	// Requests that other nodes have at the head show a loss as this node's own do:
	// those nodes tell of it. In a fleet of 80 nodes hardly any are this node's own.
	head := c.facts[g.Head()]
	busy := head != nil && head.Failures == 0 && head.Report.Active > 0
	if busy || sign != 0 && now.Sub(sign) < signFresh {
		return probeServing
	}
	return probeCalm
}

func (c *Controller) probeFailed(f *Fact, p *probe, asked, now clock.Instant, err error) {
	switch {
	case errors.Is(err, ErrEarlierLife):
		c.Log.Info("report concludes nothing", "zone", c.Zone, "endpoint", f.ID, "err", err)
		p.next = now.Add(probeAgain)
		return
	case errors.Is(err, ErrReborn):
		f.endLife()
	case errors.Is(err, ErrOtherLife):
		f.Gone = true
	}
	if f.Failures == 0 {
		f.Failing = asked
	}
	f.Failures++
	f.Missed = asked
	pause := probeAgain
	if f.Failures > 4 {
		pause = probeCalm
	}
	p.next = now.Add(pause)
	if f.Failures == 2 {
		c.Log.Info("engine does not answer", "zone", c.Zone, "endpoint", f.ID, "err", err, "answered_ms_ago", now.Sub(f.Answered).Milliseconds())
	}
}

// endLife notes that the engine has started again.
func (f *Fact) endLife() { f.Gone, f.Reborn = true, true }

// known reports whether every listed engine of the service was asked at least
// once. A plan made before would form groups around engines it knows nothing of.
func (c *Controller) known(service string) bool {
	n := 0
	for _, e := range c.Roster().Service(service) {
		if e.Zone != c.Zone {
			continue
		}
		f := c.facts[e.ID]
		if f == nil || f.Answered == 0 && f.Failures == 0 {
			return false
		}
		n++
	}
	return n > 0
}

func (c *Controller) hurry(id roster.ID, pause time.Duration) {
	if p := c.probes[id]; p != nil && !p.running {
		p.next = min(p.next, c.Clock.Now().Add(pause))
	}
}
