package route

import (
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	latencyGain  = 0.15 // weight of a new sample in a latency average
	failureGain  = 0.2
	priorService = 2 * time.Second
	priorPrefill = 1.0 / 4000 // seconds a prompt token
	recentSlots  = 4096
)

// Counters is what a node has learned from its own requests. Decide reads it;
// only align, begin, end and chosen write it.
type Counters struct {
	states  map[stateKey]*state
	classes map[classKey]*class
	pools   map[poolKey]*poolState
	recent  []recentPrefix

	table     *Table // that the slices below are aligned with
	lanes     []lane
	kins      []kinMean
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
	own      int           // for a zone: in flight when its reports were true
	begun    clock.Instant // newest begin
	past     history
	life     life
	since    clock.Instant // seen able to serve in this life
	seen     clock.Instant // last in a table
	ramped   bool          // no slow start

	perToken  float64 // seconds, moving average
	firstByte float64 // seconds, moving average
	excess    float64 // seconds by which first bytes came later than expected
	failing   float64 // share of failures, moving average
	samples   int
	sampled   clock.Instant
	entry     int32 // in the table in use
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
	turn     int  // round robin's cursor
	spilling bool // the own zone was found full and has not emptied enough since
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
		s = &state{entry: -1}
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

// restart begins another life: the latencies of the last one say nothing of
// this one. What is in flight stays counted until it ends.
func (s *state) restart(l life, now clock.Instant, first bool) {
	*s = state{inflight: s.inflight, begun: s.begun, past: s.past, life: l, since: now, ramped: first}
}

// begin charges a request to its destination.
func (c *Counters) begin(ch Choice, now clock.Instant) {
	if s := c.charged(ch); s != nil {
		s.change(now, +1)
		s.begun = now
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
	gain := s.gain(now)
	s.firstByte += gain * (r.FirstByte.Seconds() - s.firstByte)
	s.excess += gain * ((r.FirstByte - ch.est.wait).Seconds() - s.excess)
	if r.Tokens > 1 {
		s.perToken += gain * (perToken(r) - s.perToken)
	}
	s.samples++
	s.sampled = now
}

// gain returns the weight of a new sample. It grows with the time since the last
// one: what an endpoint was like before a pause says little of it now.
func (s *state) gain(now clock.Instant) float64 {
	pause := float64(now.Sub(s.sampled)) / float64(recovery)
	return max(latencyGain, min(pause, 1), 1/float64(s.samples+1))
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

// recentAt returns where this node last sent a prompt with the prefix, or nil.
func (c *Counters) recentAt(hash uint64) *state {
	if r := &c.recent[hash%recentSlots]; r.hash == hash {
		return r.on
	}
	return nil
}

// InFlight returns how many requests this node has at a group.
func (c *Counters) InFlight(id fleet.GroupID) int {
	if s, ok := c.states[stateKey{ToGroup, string(id)}]; ok {
		return s.inflight
	}
	return 0
}
