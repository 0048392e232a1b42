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
	suspect clock.Instant // until then nodes' word counts that their requests there stand still
	doubts  doubts        // of the engine as a head
	late    int           // misses in a row that were this node's own
	running bool
}

// Standstill asks for the state of a head and of its group's members at once: for a
// time in which no pass of an engine explains it, it has sent nothing to a node.
func (c *Controller) Standstill(id roster.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ask(id)
}

// Doubt does the same for a head that has sent nothing to a node for longer than its
// streams' pace explains, once enough nodes say so. Where the nodes are few each has
// many streams at a head, and all of them have paused.
func (c *Controller) Doubt(id roster.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, f := c.probes[id], c.facts[id]
	if p == nil || f == nil {
		return
	}
	if !c.ManyNodes() || p.doubts.enough(c.Clock.Now(), f.Report.Active) {
		c.ask(id)
	}
}

// doubts counts the doubts of one head.
type doubts struct {
	first clock.Instant // of those that are counted together
	n     int
}

const (
	// doubtWindow is within which doubts count together: all streams of a head stop
	// at the same moment, and nodes see it by their own paces of 80 to 250 ms.
	doubtWindow = 150 * time.Millisecond
	// manyStreams run at a head if more than one node has some there.
	manyStreams = 4
	// doubtsOfMany is how many doubts of a head with many streams are needed. One
	// node alone that is late itself sees a gap in what came in time.
	doubtsOfMany = 2
)

// enough takes up a doubt and reports whether the head's group is to be looked at.
func (d *doubts) enough(now clock.Instant, active int) bool {
	if d.n == 0 || now.Sub(d.first) > doubtWindow {
		d.first, d.n = now, 0
	}
	d.n++
	if active < manyStreams {
		return true
	}
	return d.n >= doubtsOfMany
}

// ask has the head and the members of its group asked at once.
func (c *Controller) ask(id roster.ID) {
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
	switch {
	case err != nil && ctx.Err() != nil && p.inconclusive(now.Sub(asked)-limit):
		p.next = now.Add(probeAgain)
	case err != nil:
		c.probeFailed(f, p, asked, now, err)
	default:
		p.late = 0
		c.pace.took(now.Sub(asked))
		f.takeReport(rep, asked)
		p.next = now.Add(c.calmPause(f, now))
	}
	c.nudge()
}

const (
	// ownLateness is how late a report's limit may end before the miss is this node's
	// own: timers fire within a few ms on a node with time to spare.
	ownLateness = 30 * time.Millisecond
	// mostLate is how many misses in a row are put down to that: a node that is late
	// for good must still see losses.
	mostLate = 3
)

// inconclusive reports whether a report that missed its limit says nothing of the
// engine: the limit ended late by so much that the answer may have come while this node
// had no time to read it. A holder short of processor time took dozens of engines for
// lost within the same millisecond.
func (p *probe) inconclusive(late time.Duration) bool {
	if late <= ownLateness || p.late >= mostLate {
		p.late = 0
		return false
	}
	p.late++
	return true
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
	p.next = now.Add(probeAgain)
	switch {
	case f.Failures > 4:
		p.next = now.Add(probeCalm)
	case now.Before(p.brief):
		p.next = now
		c.askControl(f)
	}
	if f.Failures == 2 {
		c.Log.Info("engine does not answer", "zone", c.Zone, "endpoint", f.ID, "err", err, "answered_ms_ago", now.Sub(f.Answered).Milliseconds())
	}
}

// askControl asks another member of an engine's group at the same time as the engine:
// what both of them miss is this node's own lateness.
func (c *Controller) askControl(f *Fact) {
	g := c.group(f.Report.Member.Group)
	if g == nil {
		return
	}
	for _, m := range g.Members {
		if other := c.facts[m]; m != f.ID && other != nil && other.Failures == 0 {
			c.probes[m].next = c.Clock.Now()
			return
		}
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
