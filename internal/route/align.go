package route

import (
	"math"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

const (
	slowestRatio = 6.0 // cap of a straggler's demotion
	// leastDemotion is the slowness, in seconds of a request, that is not held against an
	// endpoint: scheduling alone delays an answer by as much.
	leastDemotion = 0.002
	// recovery is the time without a sample after which nothing is held against
	// an endpoint any more: its next request tells whether it is still slow.
	recovery     = 45 * time.Second
	slowStart    = 5 * time.Second
	slowStartMin = 0.2 // share of its slots that a newly whole group counts with at first
	forgetAfter  = 5 * time.Minute
	minSamples   = 4
	// reportHalf is the age at which a report of what others have at an entry
	// counts half, as a share of a request's time. It is short: nodes that all
	// act on a report have undone what it told by the time it is that old.
	reportHalf = 0.3
	// peerNoise scales the noise of a load estimate; at 1 it spans two standard
	// deviations of what peers may have done unseen.
	peerNoise = 0.75
)

// lane is what a decision reads of an entry, gathered in one place.
type lane struct {
	s          *state
	freshUntil clock.Instant
	own        float64 // this node's requests in the report
	others     float64 // expected from other nodes, by the report and its age
	noise      float64 // bound of the error of others
	slots      float64 // fewer during slow start
	drain      float64 // seconds in which one request of a full entry ends
	service    float64 // seconds of a request, of the class
	prefill    float64 // seconds per uncached prompt token
	demotion   float64 // seconds, for slowness against the peers
}

// align binds the counters to a table: everything that changes with a report
// and not with a request is computed here, once.
func (c *Counters) align(t *Table, now clock.Instant) {
	first := c.table == nil
	c.table = t
	c.alignClasses(t)
	c.alignEntries(t, now, first)
	c.alignNodes(t, now)
	c.medians(t)
	c.believe(t, now)
	for i := range c.lanes {
		c.compare(t, i, now)
	}
	c.alignPools(t, now)
	c.forget(now)
}

func (c *Counters) alignClasses(t *Table) {
	c.byClass = c.byClass[:0]
	for _, k := range t.classes {
		cl, ok := c.classes[k]
		if !ok {
			cl = &class{service: priorService.Seconds(), prefill: priorPrefill}
			c.classes[k] = cl
		}
		c.byClass = append(c.byClass, cl)
	}
}

func (c *Counters) alignEntries(t *Table, now clock.Instant, first bool) {
	c.lanes = c.lanes[:0]
	for i := range t.entries {
		e := &t.entries[i]
		s := c.state(e.key())
		if s.since == 0 || s.life != e.life {
			s.restart(e.life, now, first)
		}
		s.seen, s.entry = now, int32(i)
		own := s.past.at(e.loadAt, s.inflight)
		c.lanes = append(c.lanes, lane{
			s: s, freshUntil: e.freshUntil,
			own: float64(own), others: float64(max(0, e.load.Running+e.load.Waiting-own)),
		})
	}
}

func (c *Counters) alignNodes(t *Table, now clock.Instant) {
	c.nodes = c.nodes[:0]
	for i := range t.nodes {
		s := c.state(stateKey{ToNode, string(t.nodes[i].vm)})
		s.seen = now
		c.nodes = append(c.nodes, s)
	}
}

// medians compares endpoints of one class; a median is not moved by the
// stragglers that it is there to find.
func (c *Counters) medians(t *Table) {
	for i, cl := range c.byClass {
		k := int32(i)
		cl.perToken = c.median(t, k, func(s *state) float64 { return s.perToken })
		cl.first = c.median(t, k, func(s *state) float64 { return s.firstByte })
		cl.excess = c.median(t, k, func(s *state) float64 { return s.excess })
	}
}

// median returns the median over the endpoints of a class that have a value, or
// 0 when there are not two to compare.
func (c *Counters) median(t *Table, class int32, of func(*state) float64) float64 {
	v := c.scratch[:0]
	for i := range c.lanes {
		if t.entries[i].class != class {
			continue
		}
		if x := of(c.lanes[i].s); x != 0 {
			v = append(v, x)
		}
	}
	c.scratch = v
	if len(v) < 2 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// believe pulls what a report says of other nodes' requests towards the mean of
// its kin, by the age of the report, and sets the noise of what is left.
func (c *Counters) believe(t *Table, now clock.Instant) {
	c.kins = append(c.kins[:0], make([]kinMean, t.kins)...)
	for i := range c.lanes {
		k := &c.kins[t.entries[i].kin]
		k.sum += c.lanes[i].others
		k.n++
	}
	for i := range c.lanes {
		l, e := &c.lanes[i], &t.entries[i]
		k := &c.kins[e.kin]
		half := reportHalf * c.byClass[e.class].service
		age := max(0, now.Sub(e.loadAt).Seconds())
		trust := half / (half + age)
		mean := k.sum / k.n
		l.others = mean + (l.others-mean)*trust
		l.noise = peerNoise * math.Sqrt(mean*(1-trust))
	}
}

type kinMean struct{ sum, n float64 }

// compare fills the lane with what is expected of the entry against its peers.
func (c *Counters) compare(t *Table, i int, now clock.Instant) {
	l, e := &c.lanes[i], &t.entries[i]
	cl := c.byClass[e.class]
	slow := l.s.slowness(cl, e, now)
	l.service = cl.service
	l.prefill = cl.prefill * slow
	l.slots = e.slots * l.s.ramp(now)
	l.drain = cl.drain(e, slow)
	l.demotion = max(0, cl.service*(slow-1)-leastDemotion)
	if e.group != nil {
		l.demotion += l.s.lag(cl, now)
	}
}

// slowness returns how many times slower than its peers an endpoint is, from 1
// to slowestRatio. An endpoint that was demoted gets few requests and so few
// samples: without the fading it would stay demoted after it has recovered.
func (s *state) slowness(cl *class, e *entry, now clock.Instant) float64 {
	if s.samples < minSamples {
		return 1
	}
	ratio := over(s.firstByte, cl.first)
	if e.group != nil {
		ratio = over(s.perToken, cl.perToken)
	}
	return 1 + (ratio-1)*fade(now, s.sampled)
}

// over returns a over b within the bounds of a demotion; 1 when unknown.
func over(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 1
	}
	return min(max(a/b, 1), slowestRatio)
}

func fade(now, since clock.Instant) float64 {
	return max(0, 1-float64(now.Sub(since))/float64(recovery))
}

// lag returns the seconds by which first bytes come later than expected, over
// the median of the peers: it corrects what the other parts got wrong.
func (s *state) lag(cl *class, now clock.Instant) float64 {
	if s.samples < minSamples {
		return 0
	}
	return min(max(s.excess-cl.excess, 0), cl.service) * fade(now, s.sampled)
}

// drain returns the seconds in which one request of a full endpoint ends. The
// reported rate is that of a full batch only when the slots are taken.
func (cl *class) drain(e *entry, slow float64) float64 {
	if e.load.Slots > 0 && e.load.Running >= e.load.Slots && e.load.TokensPerSecond > 0 && cl.tokens > 0 {
		return cl.tokens / e.load.TokensPerSecond
	}
	return cl.service * slow / e.slots
}

// ramp returns the share of its slots that an entry counts with. A newly whole
// group is idle and its cache is cold; without the ramp every node sends it all
// requests at once.
func (s *state) ramp(now clock.Instant) float64 {
	if s.ramped {
		return 1
	}
	return min(1, max(slowStartMin, float64(now.Sub(s.since))/float64(slowStart)))
}

func (c *Counters) alignPools(t *Table, now clock.Instant) {
	c.poolState = c.poolState[:0]
	for i := range t.pools {
		p := &t.pools[i]
		k := poolKey{p.kind, p.name}
		ps, ok := c.pools[k]
		if !ok {
			ps = &poolState{}
			c.pools[k] = ps
		}
		ps.align(c, t, p, now)
		c.poolState = append(c.poolState, ps)
	}
	if len(c.pools) > 2*len(t.pools)+16 {
		c.forgetPools(t)
	}
}

func (c *Counters) forgetPools(t *Table) {
	clear(c.pools)
	for i := range t.pools {
		c.pools[poolKey{t.pools[i].kind, t.pools[i].name}] = c.poolState[i]
	}
}

func (c *Counters) forget(now clock.Instant) {
	for k, s := range c.states {
		if s.inflight == 0 && now.Sub(s.seen) > forgetAfter {
			delete(c.states, k)
		}
	}
}
