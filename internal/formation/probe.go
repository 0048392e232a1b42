package formation

import (
	"context"
	"errors"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// probe is the probe schedule and stall state of one engine.
type probe struct {
	next               clock.Instant
	shortTimeoutUntil  clock.Instant // until then, probes use the short timeout
	suspectUntil       clock.Instant // until then, the stall reported by nodes counts
	stallReports       stallReports  // stall reports about this engine as a head
	inconclusiveMisses int           // consecutive misses attributed to this node's own delay
	inFlight           bool
}

// ReportStall probes a head and its group's members at once. Nodes call it for a head that
// has sent nothing for longer than any pass of an engine explains.
func (c *Controller) ReportStall(id roster.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probeGroupNow(id)
}

// ReportSuspectedStall does the same for a head that has been silent for longer than its streams' pace
// explains, once enough nodes report it. In a zone with few nodes one report is enough:
// each node has many streams at a head, and all of them have paused.
func (c *Controller) ReportSuspectedStall(id roster.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, f := c.probes[id], c.engineStates[id]
	if p == nil || f == nil {
		return
	}
	if !c.ManyNodes() || p.stallReports.add(c.Clock.Now(), f.Report.Active) {
		c.probeGroupNow(id)
	}
}

// stallReports counts the stall reports about one head within a window.
type stallReports struct {
	first clock.Instant // start of the window
	n     int
}

const (
	// stallReportWindow is the period within which reports are counted together: all
	// streams of a head stop at the same moment, and nodes detect it after 80 to 250 ms,
	// depending on the pace of their streams.
	stallReportWindow = 150 * time.Millisecond
	// manyStreams is the number of streams from which more than one node is expected to
	// have some at the head.
	manyStreams = 4
	// stallReportQuorum is the number of reports required for a head with many streams.
	// A single node that is itself delayed sees gaps in streams that arrived on time.
	stallReportQuorum = 2
)

// add counts a stall report and reports whether the head's group should be probed.
func (d *stallReports) add(now clock.Instant, active int) bool {
	if d.n == 0 || now.Sub(d.first) > stallReportWindow {
		d.first, d.n = now, 0
	}
	d.n++
	if active < manyStreams {
		return true
	}
	return d.n >= stallReportQuorum
}

// probeGroupNow schedules immediate probes of an engine and the members of its group,
// with the short timeout.
func (c *Controller) probeGroupNow(id roster.ID) {
	ids := []roster.ID{id}
	for i := range c.ledger.Groups {
		if slices.Contains(c.ledger.Groups[i].Members, id) {
			ids = c.ledger.Groups[i].Members
		}
	}
	now := c.Clock.Now()
	if p := c.probes[id]; p != nil {
		p.suspectUntil = now.Add(suspicionDuration)
	}
	for _, m := range ids {
		if p := c.probes[m]; p != nil {
			p.next = min(p.next, c.engineStates[m].ReportedAt.Add(minProbeInterval))
			p.shortTimeoutUntil = now.Add(suspicionDuration)
		}
	}
	c.signalWake()
}

// syncRoster updates the engines from the newest list of endpoints.
func (c *Controller) syncRoster() {
	r, cat := c.Roster(), c.Catalog()
	if cat == nil || !r.IsLoaded() {
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
				c.trackEndpoint(e)
				listed[e.ID] = true
			}
		}
	}
	latest := map[string]roster.ID{}
	for id := range listed {
		latest[id.Name()] = id
	}
	for id, f := range c.engineStates {
		f.Listed = listed[id]
		if id.Before(latest[id.Name()]) {
			f.markRestarted()
		}
		if !f.Listed && !c.isClaimed(id) && f.Failures > 0 {
			delete(c.engineStates, id)
			delete(c.probes, id)
		}
	}
}

func (c *Controller) trackEndpoint(e *roster.Endpoint) {
	f := c.engineStates[e.ID]
	if f == nil {
		f = &EngineState{ID: e.ID, Addr: e.Addr, Domain: e.Domain}
		c.engineStates[e.ID] = f
		c.probes[e.ID] = &probe{}
	}
	f.Draining = e.Draining
}

func (c *Controller) isClaimed(id roster.ID) bool {
	return slices.ContainsFunc(c.ledger.Groups, func(g Group) bool { return slices.Contains(g.Members, id) })
}

// startDueProbes starts the probes that are due.
func (c *Controller) startDueProbes(ctx context.Context) {
	now := c.Clock.Now()
	for id, p := range c.probes {
		if p.inFlight || now.Before(p.next) {
			continue
		}
		p.inFlight = true
		limit := probeTimeout
		if now.Before(p.shortTimeoutUntil) {
			limit = c.reportRTT.shortTimeout()
		}
		go c.runProbe(ctx, id, c.engineStates[id].Addr, now, limit)
	}
}

func (c *Controller) runProbe(ctx context.Context, id roster.ID, addr string, asked clock.Instant, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rep, err := c.Engines.Report(ctx, addr, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	f, p := c.engineStates[id], c.probes[id]
	if f == nil || p == nil {
		return // the tenure has ended
	}
	now := c.Clock.Now()
	p.inFlight = false
	switch {
	case err != nil && ctx.Err() != nil && p.isInconclusive(now.Sub(asked)-limit):
		p.next = now.Add(probeRetryDelay)
	case err != nil:
		c.recordProbeFailure(f, p, asked, now, err)
	case f.isEarlierReport(rep):
		c.Log.Info("report of an earlier state ignored", "zone", c.Zone, "endpoint", f.ID, "orders", rep.OrderCount, "known", f.ReportedOrders)
		p.next = now.Add(probeRetryDelay)
	default:
		p.inconclusiveMisses = 0
		c.reportRTT.observe(now.Sub(asked))
		f.applyReport(rep, asked)
		p.next = now.Add(c.probeDelay(f, now))
	}
	c.signalWake()
}

const (
	// maxTimerLateness is how late a probe's timeout may fire before the miss is
	// attributed to this node. On a node with spare processor time, timers fire within a
	// few milliseconds.
	maxTimerLateness = 30 * time.Millisecond
	// maxInconclusiveMisses limits the consecutive misses attributed to this node, since
	// a permanently overloaded node must still detect losses.
	maxInconclusiveMisses = 3
)

// isInconclusive reports whether a missed probe says nothing about the engine, and counts
// such misses: the timeout fired so late that the response may have arrived unread. An
// owner short of processor time declared dozens of engines lost within the same
// millisecond.
func (p *probe) isInconclusive(late time.Duration) bool {
	if late <= maxTimerLateness || p.inconclusiveMisses >= maxInconclusiveMisses {
		p.inconclusiveMisses = 0
		return false
	}
	p.inconclusiveMisses++
	return true
}

// probeDelay returns the delay until the next probe of an engine that has just responded.
func (c *Controller) probeDelay(f *EngineState, now clock.Instant) time.Duration {
	g := c.group(f.Report.Member.Group)
	if g == nil {
		return probeInterval
	}
	sign, suspect := c.Activity(g.Head())
	if suspect {
		return probeInterval
	}
	// Other nodes' requests at the head reveal a loss as this node's own do, because
	// those nodes report it. In a fleet of 80 nodes hardly any requests are this node's
	// own.
	head := c.engineStates[g.Head()]
	busy := head != nil && head.Failures == 0 && head.Report.Active > 0
	if busy || sign != 0 && now.Sub(sign) < maxSignAge {
		return servingProbeInterval
	}
	return probeInterval
}

func (c *Controller) recordProbeFailure(f *EngineState, p *probe, asked, now clock.Instant, err error) {
	switch {
	case errors.Is(err, ErrEarlierIncarnation):
		c.Log.Info("report of an earlier incarnation ignored", "zone", c.Zone, "endpoint", f.ID, "err", err)
		p.next = now.Add(probeRetryDelay)
		return
	case errors.Is(err, ErrRestarted):
		f.markRestarted()
	case errors.Is(err, ErrOtherProcess):
		f.Ended = true
	}
	if f.Failures == 0 {
		f.FailingSince = asked
	}
	f.Failures++
	f.LastMissedAt = asked
	p.next = now.Add(probeRetryDelay)
	switch {
	case f.Failures > 4:
		p.next = now.Add(probeInterval)
	case now.Before(p.shortTimeoutUntil):
		p.next = now
		c.probeControlMember(f)
	}
	if f.Failures == 2 {
		c.Log.Info("engine does not respond", "zone", c.Zone, "endpoint", f.ID, "err", err, "answered_ms_ago", now.Sub(f.ReportedAt).Milliseconds())
	}
}

// probeControlMember probes another member of the engine's group at the same time as the
// engine. If both miss, this node itself is delayed.
func (c *Controller) probeControlMember(f *EngineState) {
	g := c.group(f.Report.Member.Group)
	if g == nil {
		return
	}
	for _, m := range g.Members {
		if other := c.engineStates[m]; m != f.ID && other != nil && other.Failures == 0 {
			c.probes[m].next = c.Clock.Now()
			return
		}
	}
}

// markRestarted records that the engine has restarted.
func (f *EngineState) markRestarted() { f.Ended, f.Restarted = true, true }

// allEnginesProbed reports whether every listed engine of the service in the zone has
// been probed at least once. An earlier plan would form groups without knowing the
// engines' state.
func (c *Controller) allEnginesProbed(service string) bool {
	n := 0
	for _, e := range c.Roster().Service(service) {
		if e.Zone != c.Zone {
			continue
		}
		f := c.engineStates[e.ID]
		if f == nil || f.ReportedAt == 0 && f.Failures == 0 {
			return false
		}
		n++
	}
	return n > 0
}

func (c *Controller) probeWithin(id roster.ID, pause time.Duration) {
	if p := c.probes[id]; p != nil && !p.inFlight {
		p.next = min(p.next, c.Clock.Now().Add(pause))
	}
}
