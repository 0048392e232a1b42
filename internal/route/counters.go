package route

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	minSampleWeight        = 0.15 // minimum weight of a new sample in a latency average
	failureSampleWeight    = 0.2
	defaultServiceTime     = 2 * time.Second
	defaultPrefillPerToken = 1.0 / 4000 // seconds per prompt token
	recentPrefixSlots      = 4096
)

// Counters holds the statistics of a node's own requests. Decide only reads it;
// bindTable, begin, end and recordChoice write it.
type Counters struct {
	states         map[stateKey]*state
	classes        map[classKey]*class
	pools          map[poolKey]*poolState
	recentPrefixes []recentPrefix

	table      *Table // the table that the slices below are bound to
	entryStats []entryStats
	peerSets   []peerSetLoad
	nodes      []*state
	byClass    []*class
	poolState  []*poolState
	scratch    []float64
}

type stateKey struct {
	kind Kind
	name string
}

type poolKey struct {
	kind Kind
	name string
}

// state holds the counters of a group, an endpoint, a node, or a pool in another
// zone.
type state struct {
	inflight         int
	inflightAtReport int           // remote pools: requests in flight at the time of the reports
	lastBegin        clock.Instant // when this node last sent a request there
	inflightHistory  history
	instance         instance
	servingSince     clock.Instant // first seen able to serve in this instance
	lastSeen         clock.Instant // last time it was in a table
	skipSlowStart    bool          // seen in the first table after a node start

	perToken        float64 // seconds, moving average
	firstByte       float64 // seconds, moving average
	firstByteExcess float64 // seconds of first byte over the expectation, moving average
	failureShare    float64 // share of failed requests, moving average
	samples         int
	lastSample      clock.Instant
	entryIndex      int32 // index in the bound table
}

// class holds statistics common to the endpoints of one model or plain service.
type class struct {
	serviceTime     float64 // seconds from begin to end, moving average
	meanTokens      float64 // answer tokens, moving average
	prefillPerToken float64 // seconds per uncached prompt token, moving average
	medianPerToken  float64 // median over the endpoints, seconds
	medianFirstByte float64 // median over the endpoints, seconds
	medianExcess    float64 // median over the endpoints, seconds
	samples         int
}

// poolState holds the counters of one target or plain service.
type poolState struct {
	nextTurn  int  // next position for round robin
	spilling  bool // this zone was full and its load is not below spillLeave yet
	remotes   []*state
	freeSlots []float64 // free slots per remote zone at compilation
}

type recentPrefix struct {
	hash uint64
	dest *state
}

// NewCounters returns empty counters.
func NewCounters() *Counters {
	return &Counters{
		states:         make(map[stateKey]*state),
		classes:        make(map[classKey]*class),
		pools:          make(map[poolKey]*poolState),
		recentPrefixes: make([]recentPrefix, recentPrefixSlots),
	}
}

func (c *Counters) state(k stateKey) *state {
	s, ok := c.states[k]
	if !ok {
		s = &state{entryIndex: -1}
		c.states[k] = s
	}
	return s
}

func (e *entry) key() stateKey {
	if e.group != nil {
		return stateKey{ToGroup, string(e.group.ID)}
	}
	return stateKey{ToEndpoint, string(e.vm.Record.VM)}
}

// reset clears the statistics for a new instance, as latencies of the previous
// one do not apply. Requests in flight stay counted until they end.
func (s *state) reset(l instance, now clock.Instant, skipSlowStart bool) {
	*s = state{inflight: s.inflight, lastBegin: s.lastBegin, inflightHistory: s.inflightHistory, instance: l, servingSince: now, skipSlowStart: skipSlowStart}
}

// begin counts a request as in flight at its destination.
func (c *Counters) begin(ch Choice, now clock.Instant) {
	if s := c.stateOf(ch); s != nil {
		s.addInflight(now, +1)
		s.lastBegin = now
	}
	if ch.zonePool != nil {
		ch.zonePool.addInflight(now, +1)
	}
}

// end removes the request from the in-flight counts and records its result.
func (c *Counters) end(ch Choice, r Result, now clock.Instant) {
	if ch.zonePool != nil {
		ch.zonePool.addInflight(now, -1)
	}
	s := c.stateOf(ch)
	if s == nil {
		return
	}
	s.addInflight(now, -1)
	s.recordResult(ch, r, now)
	if cl := c.classOf(ch); cl != nil && r.OK {
		cl.recordResult(ch, r)
	}
}

// stateOf returns the counters of a choice, including one that was not made by
// Decide.
func (c *Counters) stateOf(ch Choice) *state {
	if ch.dest != nil {
		return ch.dest
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

// addInflight changes the number of requests in flight. The count stays at or
// above zero: after an End without a Begin the endpoint would look idle forever.
func (s *state) addInflight(now clock.Instant, by int) {
	before := s.inflight
	s.inflight = max(0, before+by)
	s.inflightHistory.record(now, before, s.inflight)
}

func (s *state) recordResult(ch Choice, r Result, now clock.Instant) {
	switch {
	case r.Failed:
		s.failureShare += failureSampleWeight * (1 - s.failureShare)
		s.lastSample = now
		return
	case !r.OK:
		return
	}
	s.failureShare -= failureSampleWeight * s.failureShare
	gain := s.sampleWeight(now)
	s.firstByte += gain * (r.FirstByte.Seconds() - s.firstByte)
	s.firstByteExcess += gain * ((r.FirstByte - ch.expected.firstByteWait).Seconds() - s.firstByteExcess)
	if r.Tokens > 1 {
		s.perToken += gain * (perToken(r) - s.perToken)
	}
	s.samples++
	s.lastSample = now
}

// sampleWeight returns the weight of a new sample. It grows with the time since
// the last sample, as older samples say little about the endpoint's current speed.
func (s *state) sampleWeight(now clock.Instant) float64 {
	pause := float64(now.Sub(s.lastSample)) / float64(demotionRecovery)
	return max(minSampleWeight, min(pause, 1), 1/float64(s.samples+1))
}

func perToken(r Result) float64 {
	return max(0, (r.Total-r.FirstByte).Seconds()) / float64(r.Tokens-1)
}

func (cl *class) recordResult(ch Choice, r Result) {
	gain := max(minSampleWeight/4, 1/float64(cl.samples+1))
	cl.samples++
	cl.serviceTime += gain * (r.Total.Seconds() - cl.serviceTime)
	cl.meanTokens += gain * (float64(r.Tokens) - cl.meanTokens)
	if ch.expected.queued || ch.expected.uncachedTokens < 64 {
		return
	}
	cl.prefillPerToken += gain * (r.FirstByte.Seconds()/ch.expected.uncachedTokens - cl.prefillPerToken)
}

// recordChoice advances round robin and records where the prompt's prefixes were
// sent: the group's cache events arrive later.
func (c *Counters) recordChoice(f *Facts, ch Choice) {
	if _, i := c.table.pool(f); c.table.policy == RoundRobin {
		c.poolState[i].nextTurn++
	}
	if ch.Kind != ToGroup {
		return
	}
	for _, h := range f.Prefix {
		c.recentPrefixes[h%recentPrefixSlots] = recentPrefix{hash: h, dest: ch.dest}
	}
}

// recentDestination returns where this node last sent a prompt with the prefix,
// or nil.
func (c *Counters) recentDestination(hash uint64) *state {
	if r := &c.recentPrefixes[hash%recentPrefixSlots]; r.hash == hash {
		return r.dest
	}
	return nil
}

// InFlight returns the number of requests that this node has in flight at a group.
func (c *Counters) InFlight(id fleet.GroupID) int {
	if s, ok := c.states[stateKey{ToGroup, string(id)}]; ok {
		return s.inflight
	}
	return 0
}
