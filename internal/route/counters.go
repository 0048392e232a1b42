package route

import (
	"math"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	latencyGain  = 0.15 // weight of a new sample in a latency average
	failureGain  = 0.2
	priorService = 2 * time.Second
	priorPrefill = 1.0 / 4000 // seconds a prompt token
	slowestRatio = 6.0        // cap of a straggler's demotion
	recoverHalf  = 20 * time.Second
	slowStart    = 10 * time.Second
	slowStartMin = 0.2 // share of its slots that a newly whole group counts with at first
	forgetAfter  = 5 * time.Minute
	minSamples   = 4
	recentSlots  = 4096
)

// Counters is what a node has learned from its own requests. Decide reads it;
// only align, begin, end and chosen write it.
type Counters struct {
	states  map[stateKey]*state
	classes map[classKey]*class
	pools   map[poolKey]*poolState
	recent  []recentPrefix
	started clock.Instant

	table     *Table // that the slices below are aligned with
	entries   []*state
	nodes     []*state
	byClass   []*class
	poolState []*poolState
	scratch   []float64
}

type stateKey struct {
	kind Kind
	name string
}

type poolKey struct {
	kind Kind
	name string
}

// state is kept for each group, endpoint, node, and zone of a pool.
type state struct {
	inflight int
	past     history
	life     string
	since    clock.Instant // seen able to serve in this life
	seen     clock.Instant // last in a table
	ramped   bool          // no slow start

	perToken  float64 // seconds, moving average
	firstByte float64 // seconds, moving average
	excess    float64 // seconds by which first bytes came later than expected
	failing   float64 // share of failures, moving average
	samples   int
	sampled   clock.Instant

	// Set by align for the table in use.
	others float64 // in flight from other nodes when the report was true
	own    int     // in flight from this node then
	slow   float64 // times slower than the median of its peers, 1 or more
	lag    float64 // excess over the median of its peers, seconds
}

// class holds what is common to the endpoints of one model or plain service.
type class struct {
	service  float64 // seconds from begin to end, moving average
	tokens   float64 // answer tokens, moving average
	prefill  float64 // seconds per uncached prompt token, moving average
	perToken float64 // median over its endpoints, seconds
	first    float64 // median over its endpoints, seconds
	excess   float64 // median over its endpoints, seconds
	samples  int
}

// poolState is kept for each target and plain service.
type poolState struct {
	turn     int     // round robin's cursor
	spilling bool    // the own zone was found full and has not emptied enough since
	mean     float64 // mean of others over the own zone's entries
	remotes  []*state
	room     []float64 // free slots by remote zone when the table was compiled
}

type recentPrefix struct {
	hash uint64
	on   *state
}

// NewCounters returns empty counters.
func NewCounters() *Counters {
	return &Counters{
		states:  make(map[stateKey]*state),
		classes: make(map[classKey]*class),
		pools:   make(map[poolKey]*poolState),
		recent:  make([]recentPrefix, recentSlots),
	}
}

func (c *Counters) state(k stateKey) *state {
	s, ok := c.states[k]
	if !ok {
		s = &state{slow: 1}
		c.states[k] = s
	}
	return s
}

// align binds the counters to a table: everything that changes with a report
// and not with a request is computed here, once.
func (c *Counters) align(t *Table, now clock.Instant) {
	first := c.table == nil
	if first {
		c.started = now
	}
	c.table = t
	c.alignClasses(t)
	c.alignEntries(t, now, first)
	c.alignNodes(t, now)
	c.medians(t)
	for i := range c.entries {
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
	c.entries = c.entries[:0]
	for i := range t.entries {
		e := &t.entries[i]
		s := c.state(e.key())
		if s.since == 0 || s.life != e.life {
			s.restart(e.life, now, first)
		}
		s.seen = now
		s.own = s.past.at(e.loadAt, s.inflight)
		s.others = max(0, float64(e.load.Running+e.load.Waiting-s.own))
		c.entries = append(c.entries, s)
	}
}

func (e *entry) key() stateKey {
	if e.group != nil {
		return stateKey{ToGroup, string(e.group.ID)}
	}
	return stateKey{ToEndpoint, string(e.vm.Record.VM)}
}

// restart begins another life: the latencies of the last one say nothing of
// this one. What is in flight stays counted until it ends.
func (s *state) restart(life string, now clock.Instant, first bool) {
	*s = state{inflight: s.inflight, past: s.past, life: life, since: now, slow: 1, ramped: first}
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
		cl.perToken = c.median(t, int32(i), func(s *state) float64 { return s.perToken })
		cl.first = c.median(t, int32(i), func(s *state) float64 { return s.firstByte })
		cl.excess = c.median(t, int32(i), func(s *state) float64 { return s.excess })
	}
}

func (c *Counters) median(t *Table, class int32, of func(*state) float64) float64 {
	v := c.scratch[:0]
	for i, s := range c.entries {
		if t.entries[i].class == class && s.samples >= minSamples {
			v = append(v, of(s))
		}
	}
	c.scratch = v
	if len(v) < 2 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// compare sets how much slower than its peers an entry is. An endpoint that was
// demoted gets few requests and so few samples: without the decay towards 1 it
// would stay demoted for ever after it has recovered.
func (c *Counters) compare(t *Table, i int, now clock.Instant) {
	s, cl := c.entries[i], c.byClass[t.entries[i].class]
	s.slow, s.lag = 1, 0
	if s.samples < minSamples {
		return
	}
	ratio := s.firstByte / cl.first
	if t.entries[i].group != nil {
		ratio = s.perToken / cl.perToken
	}
	if math.IsNaN(ratio) || math.IsInf(ratio, 0) {
		ratio = 1
	}
	fade := math.Exp2(-now.Sub(s.sampled).Seconds() / recoverHalf.Seconds())
	s.slow = 1 + (min(max(ratio, 1), slowestRatio)-1)*fade
	if t.entries[i].group != nil {
		s.lag = min(max(s.excess-cl.excess, 0), cl.service) * fade
	}
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

// begin charges a request to its destination.
func (c *Counters) begin(ch Choice, now clock.Instant) {
	if s := c.charged(ch); s != nil {
		s.change(now, +1)
	}
	if ch.via != nil {
		ch.via.change(now, +1)
	}
}

// end takes the request off again and learns from it.
func (c *Counters) end(ch Choice, r Result, now clock.Instant) {
	if ch.via != nil {
		ch.via.change(now, -1)
	}
	s := c.charged(ch)
	if s == nil {
		return
	}
	s.change(now, -1)
	s.learn(ch, r, now)
	if cl := c.classOf(ch); cl != nil && r.OK {
		cl.learn(ch, r)
	}
}

// charged finds the counters of a choice, also of one made by hand.
func (c *Counters) charged(ch Choice) *state {
	if ch.on != nil {
		return ch.on
	}
	switch {
	case ch.Kind == ToGroup && ch.Group != nil:
		return c.state(stateKey{ToGroup, string(ch.Group.ID)})
	case ch.Kind == ToEndpoint && ch.VM != nil:
		return c.state(stateKey{ToEndpoint, string(ch.VM.Record.VM)})
	case ch.Kind == ToNode && ch.Node != "":
		return c.state(stateKey{ToNode, string(ch.Node)})
	}
	return nil
}

func (c *Counters) classOf(ch Choice) *class {
	switch {
	case ch.Kind == ToGroup && ch.Group != nil:
		return c.classes[classKey{ToGroup, ch.Group.Model}]
	case ch.Kind == ToEndpoint && ch.VM != nil:
		return c.classes[classKey{ToEndpoint, ch.VM.Record.Service}]
	}
	return nil
}

// change moves the number in flight. An End without a Begin must not drive it
// under zero: the endpoint would look idle for ever.
func (s *state) change(now clock.Instant, by int) {
	before := s.inflight
	s.inflight = max(0, before+by)
	s.past.set(now, before, s.inflight)
}

func (s *state) learn(ch Choice, r Result, now clock.Instant) {
	switch {
	case r.Failed:
		s.failing += failureGain * (1 - s.failing)
		s.sampled = now
		return
	case !r.OK:
		return
	}
	s.failing -= failureGain * s.failing
	gain := max(latencyGain, 1/float64(s.samples+1))
	s.firstByte += gain * (r.FirstByte.Seconds() - s.firstByte)
	s.excess += gain * ((r.FirstByte - ch.est.wait).Seconds() - s.excess)
	if r.Tokens > 1 {
		s.perToken += gain * (perToken(r) - s.perToken)
	}
	s.samples++
	s.sampled = now
}

func perToken(r Result) float64 {
	return max(0, (r.Total-r.FirstByte).Seconds()) / float64(r.Tokens-1)
}

func (cl *class) learn(ch Choice, r Result) {
	gain := max(latencyGain/4, 1/float64(cl.samples+1))
	cl.samples++
	cl.service += gain * (r.Total.Seconds() - cl.service)
	cl.tokens += gain * (float64(r.Tokens) - cl.tokens)
	if ch.est.queued || ch.est.uncached < 64 {
		return
	}
	cl.prefill += gain * (r.FirstByte.Seconds()/ch.est.uncached - cl.prefill)
}

// chosen notes a choice: round robin moves on, and the prompt's prefixes are on
// their way into the cache of the chosen group, whose cache events come late.
func (c *Counters) chosen(f *Facts, ch Choice) {
	if _, i := c.table.pool(f); c.table.policy == RoundRobin {
		c.poolState[i].turn++
	}
	if ch.Kind != ToGroup {
		return
	}
	for _, h := range f.Prefix {
		c.recent[h%recentSlots] = recentPrefix{hash: h, on: ch.on}
	}
}

// InFlight returns how many requests this node has at a group.
func (c *Counters) InFlight(id fleet.GroupID) int {
	if s, ok := c.states[stateKey{ToGroup, string(id)}]; ok {
		return s.inflight
	}
	return 0
}
