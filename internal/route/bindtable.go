package route

import (
	"math"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

const (
	maxSlowdown = 6.0 // upper limit of the slowness ratio
	// minDemotion is the slowness, in seconds per request, that is ignored:
	// scheduling alone delays an answer by as much.
	minDemotion = 0.002
	// demotionRecovery is the time without a sample after which an endpoint's
	// demotion has faded to nothing. Its next requests show whether it is still
	// slow.
	demotionRecovery  = 45 * time.Second
	slowStartDuration = 5 * time.Second
	slowStartMinShare = 0.2 // share of its slots that a newly serving group starts with
	stateRetention    = 5 * time.Minute
	minSamples        = 4
	// reportHalfLife is the age, as a share of a request's duration, at which
	// the load of other nodes in a report counts half. It is short because nodes
	// that act on the same report soon make it obsolete.
	reportHalfLife = 0.3
	// peerNoise scales the noise of a load estimate. At 1 the noise spans two
	// standard deviations of what peers may have sent since the report.
	peerNoise = 0.75
)

// entryStats holds the values of an entry that a decision reads, precomputed by
// bindTable.
type entryStats struct {
	state           *state
	freshUntil      clock.Instant
	ownReported     float64 // this node's requests in the report
	othersLoad      float64 // expected from other nodes, discounted by the report's age
	noise           float64 // bound of the error of othersLoad
	usableSlots     float64 // reduced during slow start
	slotReleaseTime float64 // seconds until a full entry completes one request
	serviceTime     float64 // mean seconds per request in the class
	prefillPerToken float64 // seconds per uncached prompt token
	demotionCost    float64 // seconds added to the cost for slowness compared with peers
}

// bindTable binds the counters to a table and precomputes everything that changes
// with a report but not with a request.
func (c *Counters) bindTable(t *Table, now clock.Instant) {
	first := c.table == nil
	c.table = t
	c.bindClasses(t)
	c.bindEntries(t, now, first)
	c.bindNodes(t, now)
	c.updateMedians(t)
	c.discountReports(t, now)
	for i := range c.entryStats {
		c.updateCosts(t, i, now)
	}
	c.bindPools(t, now)
	c.dropUnusedStates(now)
}

func (c *Counters) bindClasses(t *Table) {
	c.byClass = c.byClass[:0]
	for _, k := range t.classes {
		cl, ok := c.classes[k]
		if !ok {
			cl = &class{serviceTime: defaultServiceTime.Seconds(), prefillPerToken: defaultPrefillPerToken}
			c.classes[k] = cl
		}
		c.byClass = append(c.byClass, cl)
	}
}

func (c *Counters) bindEntries(t *Table, now clock.Instant, first bool) {
	c.entryStats = c.entryStats[:0]
	for i := range t.entries {
		e := &t.entries[i]
		s := c.state(e.key())
		if s.servingSince == 0 || s.instance != e.instance {
			s.reset(e.instance, now, first)
		}
		s.lastSeen, s.entryIndex = now, int32(i)
		own := s.inflightHistory.at(e.loadAt, s.inflight)
		c.entryStats = append(c.entryStats, entryStats{
			state: s, freshUntil: e.freshUntil,
			ownReported: float64(own), othersLoad: float64(max(0, e.load.Running+e.load.Waiting-own)),
		})
	}
}

func (c *Counters) bindNodes(t *Table, now clock.Instant) {
	c.nodes = c.nodes[:0]
	for i := range t.nodes {
		s := c.state(stateKey{ToNode, string(t.nodes[i].vm)})
		s.lastSeen = now
		c.nodes = append(c.nodes, s)
	}
}

// updateMedians sets the medians of each class. Medians are used because
// stragglers do not shift them.
func (c *Counters) updateMedians(t *Table) {
	for i, cl := range c.byClass {
		k := int32(i)
		cl.medianPerToken = c.median(t, k, func(s *state) float64 { return s.perToken })
		cl.medianFirstByte = c.median(t, k, func(s *state) float64 { return s.firstByte })
		cl.medianExcess = c.median(t, k, func(s *state) float64 { return s.firstByteExcess })
	}
}

// median returns the lower median over the endpoints of a class that have a value,
// or 0 with fewer than two of them.
func (c *Counters) median(t *Table, class int32, value func(*state) float64) float64 {
	v := c.scratch[:0]
	for i := range c.entryStats {
		if t.entries[i].class != class {
			continue
		}
		if x := value(c.entryStats[i].state); x != 0 {
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

// discountReports moves the reported load of other nodes towards the mean of the
// peer set, by the age of the report, and sets the noise of the estimate.
func (c *Counters) discountReports(t *Table, now clock.Instant) {
	c.peerSets = append(c.peerSets[:0], make([]peerSetLoad, t.peerSets)...)
	for i := range c.entryStats {
		k := &c.peerSets[t.entries[i].peerSet]
		k.sum += c.entryStats[i].othersLoad
		k.n++
	}
	for i := range c.entryStats {
		l, e := &c.entryStats[i], &t.entries[i]
		k := &c.peerSets[e.peerSet]
		half := reportHalfLife * c.byClass[e.class].serviceTime
		age := max(0, now.Sub(e.loadAt).Seconds())
		freshness := half / (half + age)
		mean := k.sum / k.n
		l.othersLoad = mean + (l.othersLoad-mean)*freshness
		l.noise = peerNoise * math.Sqrt(mean*(1-freshness))
	}
}

type peerSetLoad struct{ sum, n float64 }

// updateCosts sets the speed and cost values of an entry, compared with its peers.
func (c *Counters) updateCosts(t *Table, i int, now clock.Instant) {
	l, e := &c.entryStats[i], &t.entries[i]
	cl := c.byClass[e.class]
	slow := l.state.slowness(cl, e, now)
	l.serviceTime = cl.serviceTime
	l.prefillPerToken = cl.prefillPerToken * slow
	l.usableSlots = e.slots * l.state.slowStartShare(now)
	l.slotReleaseTime = cl.slotReleaseTime(e, slow)
	l.demotionCost = max(0, cl.serviceTime*(slow-1)-minDemotion)
	if e.group != nil {
		l.demotionCost += l.state.firstByteLag(cl, now)
	}
}

// slowness returns how many times slower than its peers an endpoint is, from 1 to
// maxSlowdown. It fades without samples: a demoted endpoint gets few requests and
// would otherwise stay demoted after it has recovered.
func (s *state) slowness(cl *class, e *entry, now clock.Instant) float64 {
	if s.samples < minSamples {
		return 1
	}
	ratio := slownessRatio(s.firstByte, cl.medianFirstByte)
	if e.group != nil {
		ratio = slownessRatio(s.perToken, cl.medianPerToken)
	}
	return 1 + (ratio-1)*sampleRelevance(now, s.lastSample)
}

// slownessRatio returns a/b, limited to 1..maxSlowdown, or 1 if either value is
// unknown.
func slownessRatio(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return 1
	}
	return min(max(a/b, 1), maxSlowdown)
}

func sampleRelevance(now, since clock.Instant) float64 {
	return max(0, 1-float64(now.Sub(since))/float64(demotionRecovery))
}

// firstByteLag returns the seconds by which first bytes arrive later than expected,
// above the median of the peers. It corrects errors of the other estimates.
func (s *state) firstByteLag(cl *class, now clock.Instant) float64 {
	if s.samples < minSamples {
		return 0
	}
	return min(max(s.firstByteExcess-cl.medianExcess, 0), cl.serviceTime) * sampleRelevance(now, s.lastSample)
}

// slotReleaseTime returns the seconds until a full endpoint completes one request.
// The reported token rate is that of a full batch only while all slots are used.
func (cl *class) slotReleaseTime(e *entry, slow float64) float64 {
	if e.load.Slots > 0 && e.load.Running >= e.load.Slots && e.load.TokensPerSecond > 0 && cl.meanTokens > 0 {
		return cl.meanTokens / e.load.TokensPerSecond
	}
	return cl.serviceTime * slow / e.slots
}

// slowStartShare returns the share of its slots that an entry currently counts
// with. A newly serving group is idle and has a cold cache; without slow start
// every node would send it all requests at once.
func (s *state) slowStartShare(now clock.Instant) float64 {
	if s.skipSlowStart {
		return 1
	}
	return min(1, max(slowStartMinShare, float64(now.Sub(s.servingSince))/float64(slowStartDuration)))
}

func (c *Counters) bindPools(t *Table, now clock.Instant) {
	c.poolState = c.poolState[:0]
	for i := range t.pools {
		p := &t.pools[i]
		k := poolKey{p.kind, p.name}
		ps, ok := c.pools[k]
		if !ok {
			ps = &poolState{}
			c.pools[k] = ps
		}
		ps.bind(c, t, p, now)
		c.poolState = append(c.poolState, ps)
	}
	if len(c.pools) > 2*len(t.pools)+16 {
		c.dropUnusedPools(t)
	}
}

func (c *Counters) dropUnusedPools(t *Table) {
	clear(c.pools)
	for i := range t.pools {
		c.pools[poolKey{t.pools[i].kind, t.pools[i].name}] = c.poolState[i]
	}
}

func (c *Counters) dropUnusedStates(now clock.Instant) {
	for k, s := range c.states {
		if s.inflight == 0 && now.Sub(s.lastSeen) > stateRetention {
			delete(c.states, k)
		}
	}
}
