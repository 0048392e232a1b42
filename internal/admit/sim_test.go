package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// The simulation drives the pure cores of one or more nodes with seeded arrivals
// and a model of engines that have slots and an internal queue.

// stateMachine is the state machine that the simulation drives: a core or a
// baseline.
type stateMachine interface {
	Step(now clock.Instant, ev *Event, out []Decision) []Decision
}

// simLoad is the arrival rate of one organisation.
type simLoad struct {
	org  fleet.Organisation
	rate float64 // requests per second
}

// simConfig configures a simulation run.
type simConfig struct {
	seed        uint64
	duration    time.Duration
	warmUp      time.Duration // earlier requests are not counted
	slots       int           // actual slots of the engines
	reported    float64       // slots in the plan; 0: the actual number
	share       float64       // slots in this node's share; 0: all
	queue       int           // queue limit; 0: default
	loads       []simLoad
	weights     map[fleet.Organisation]float64
	lookup      bool
	drawRequest func(r *rand.Rand) simRequest
	// retryDelay returns the delay after which a refused caller sends the request
	// again, up to a total of tries; nil: no retries.
	retryDelay func(d *Decision) time.Duration
	tries      int
	// surge multiplies all rates until surgeUntil.
	surge      float64
	surgeUntil time.Duration
	// slowdown is the relative increase of a request's duration when all slots are
	// busy.
	slowdown float64
	// node selects the node for a request; nil: the first.
	node func(r *rand.Rand) int
}

// simRequest is a simulated request.
type simRequest struct {
	org       fleet.Organisation
	prompt    int
	maxTokens int           // limit on the answer's tokens
	tokens    int           // actual tokens of the answer
	patience  time.Duration // from arrival to deadline; 0: none
	arrived   clock.Instant
	admitted  clock.Instant
	started   clock.Instant
	counted   bool
	firstSent clock.Instant // time of the first attempt
	tries     int
	node      int
}

// drawModelRequest draws a request of the model lane: token limits of 32 to 512,
// of which 30 to 100 percent are used, and deadlines of 5 to 15 s.
func drawModelRequest(r *rand.Rand) simRequest {
	bound := 32 << r.IntN(5)
	return simRequest{
		prompt:    50 + int(r.ExpFloat64()*400),
		maxTokens: bound,
		tokens:    max(1, int(float64(bound)*(0.3+0.7*r.Float64()))),
		patience:  5*time.Second + time.Duration(r.Float64()*10*float64(time.Second)),
	}
}

const (
	simPrefill  = 200 * time.Microsecond // per prompt token
	simPerToken = 12 * time.Millisecond
	simLookup   = 2 * time.Millisecond // mean duration of a plain-service call
)

// prefill and decode return the times that the engines need for the request.
func (q *simRequest) prefill() time.Duration {
	return 20*time.Millisecond + time.Duration(q.prompt)*simPrefill
}
func (q *simRequest) decode() time.Duration { return time.Duration(q.tokens) * simPerToken }

// meanModelService is the mean of prefill plus decode over drawModelRequest.
const meanModelService = 110*time.Millisecond + time.Duration(0.65*(32+64+128+256+512)/5*float64(simPerToken))

type simEvent struct {
	at    clock.Instant
	seq   int
	kind  simKind
	h     Handle
	load  int
	retry *simRequest
}

type simKind int

const (
	simArrive simKind = iota
	simDone
	simTick
	simReport
	simRetry
)

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// orgResults holds the results of one organisation.
type orgResults struct {
	offered, inTime, late, refused int
	refusedAfterWait               int       // part of refused: after queueing
	sends                          int       // attempts of all requests
	engineWaits                    []float64 // seconds in the engines' own queue
	timesToAnswer                  []float64 // seconds from the first attempt to the answer, for good requests
	refusalWaits                   []float64 // seconds queued before these refusals
	work                           float64   // slot-seconds of good requests
	waits                          []float64 // seconds from arrival to the start in the engines
	totals                         []float64 // seconds from arrival to the answer
}

type sim struct {
	simConfig
	cores    []stateMachine // one per node; the nodes share the engines
	rng      *rand.Rand
	now      clock.Instant
	events   simHeap
	seq      int
	requests []*simRequest // by handle
	free     []Handle
	busy     int      // slots in use
	waiting  []Handle // queue inside the engines
	out      []Decision
	results  map[fleet.Organisation]*orgResults
}

const simStart = clock.Instant(time.Second)

func (b simConfig) run(cores ...stateMachine) map[fleet.Organisation]*orgResults {
	s := &sim{simConfig: b, cores: cores, rng: rand.New(rand.NewPCG(b.seed, 7)), now: simStart, results: map[fleet.Organisation]*orgResults{}}
	for i, l := range b.loads {
		s.results[l.org] = &orgResults{}
		s.nextArrival(i)
	}
	s.report()
	s.schedule(tickEvery, simEvent{kind: simTick})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		s.handle(e)
	}
	return s.results
}

func (s *sim) schedule(d time.Duration, e simEvent) {
	e.at = s.now.Add(d)
	e.seq = s.seq
	s.seq++
	heap.Push(&s.events, e)
}

func (s *sim) isOver() bool { return s.now.Sub(simStart) >= s.duration }

func (s *sim) nextArrival(load int) {
	rate := s.loads[load].rate
	if s.now.Sub(simStart) < s.surgeUntil {
		rate *= s.surge
	}
	gap := s.rng.ExpFloat64() / rate
	s.schedule(time.Duration(gap*float64(time.Second)), simEvent{kind: simArrive, load: load})
}

func (s *sim) handle(e simEvent) {
	switch e.kind {
	case simArrive:
		if s.isOver() {
			return
		}
		s.nextArrival(e.load)
		s.arrive(s.loads[e.load].org)
	case simDone:
		s.finish(e.h)
	case simTick:
		s.stepAll(&Event{Kind: Tick})
		if !s.isOver() || len(s.waiting) > 0 || s.busy > 0 {
			s.schedule(tickEvery, simEvent{kind: simTick})
		}
	case simReport:
		s.report()
	case simRetry:
		s.send(e.retry)
	}
}

// report sends a plan with the engines' current load to all nodes. The next one
// follows a second later, to simulate the lag of reports.
func (s *sim) report() {
	reported := s.reported
	if reported == 0 {
		reported = float64(s.slots)
	}
	share := s.share
	if share == 0 {
		share = reported
	}
	queue := s.queue
	if queue == 0 {
		queue = defaultQueueLimit
	}
	pool := Pool{Name: "p", ShareSlots: share, TotalSlots: reported, Waiting: len(s.waiting), ReportedAt: s.now}
	p := &Plan{QueueLimit: queue, Pools: []Pool{pool}, Services: []Pool{pool}, Targets: []TargetPool{{Target: simTarget}}}
	for _, l := range s.loads {
		w := s.weights[l.org]
		if w == 0 {
			w = 1
		}
		p.Organisations = append(p.Organisations, Organisation{Name: l.org, Weight: w})
	}
	s.stepAll(&Event{Kind: Replan, Plan: p})
	if !s.isOver() {
		s.schedule(time.Second, simEvent{kind: simReport})
	}
}

var simTarget = fleet.Target{Model: "m"}

func (s *sim) arrive(o fleet.Organisation) {
	q := s.drawRequest(s.rng)
	q.org, q.firstSent = o, s.now
	q.counted = s.now.Sub(simStart) >= s.warmUp
	if q.counted {
		s.results[o].offered++
	}
	if s.node != nil {
		q.node = s.node(s.rng)
	}
	s.send(&q)
}

func (s *sim) send(q *simRequest) {
	q.arrived = s.now
	q.tries++
	s.results[q.org].sends++
	h := s.allocHandle(q)
	a := Arrival{Organisation: q.org, Target: simTarget, Service: "p", PromptTokens: q.prompt, MaxTokens: q.maxTokens}
	if q.patience > 0 {
		a.Deadline = s.now.Add(q.patience)
	}
	s.step(q.node, &Event{Kind: Arrive, Handle: h, Arrival: a})
}

func (s *sim) allocHandle(q *simRequest) Handle {
	if n := len(s.free); n > 0 {
		h := s.free[n-1]
		s.free = s.free[:n-1]
		s.requests[h] = q
		return h
	}
	s.requests = append(s.requests, q)
	return Handle(len(s.requests) - 1)
}

// stepAll sends an event to every node.
func (s *sim) stepAll(ev *Event) {
	for i := range s.cores {
		s.step(i, ev)
	}
}

func (s *sim) step(node int, ev *Event) {
	s.out = s.cores[node].Step(s.now, ev, s.out[:0])
	for _, d := range slices.Clone(s.out) {
		switch d.Verdict {
		case Admit:
			s.requests[d.Handle].admitted = s.now
			s.waiting = append(s.waiting, d.Handle)
		case Refuse:
			q := s.requests[d.Handle]
			s.free = append(s.free, d.Handle)
			if s.retryDelay != nil && q.tries < s.tries {
				s.schedule(s.retryDelay(&d), simEvent{kind: simRetry, retry: q})
				continue
			}
			if q.counted {
				t := s.results[q.org]
				t.refused++
				if s.now.After(q.arrived) {
					t.refusedAfterWait++
					t.refusalWaits = append(t.refusalWaits, s.now.Sub(q.arrived).Seconds())
				}
			}
		}
	}
	s.startQueued()
}

// startQueued gives free slots to the engines' own queue.
func (s *sim) startQueued() {
	for s.busy < s.slots && len(s.waiting) > 0 {
		h := s.waiting[0]
		s.waiting = s.waiting[1:]
		q := s.requests[h]
		q.started = s.now
		s.busy++
		slow := 1 + s.slowdown*float64(s.busy)/float64(s.slots)
		d := time.Duration(float64(q.prefill()+q.decode()) * slow)
		if s.lookup {
			d = time.Duration(s.rng.ExpFloat64() * float64(simLookup))
		}
		s.schedule(d, simEvent{kind: simDone, h: h})
	}
}

func (s *sim) finish(h Handle) {
	q := s.requests[h]
	s.busy--
	s.count(q)
	s.free = append(s.free, h)
	c := Completion{Total: s.now.Sub(q.admitted), Answered: true}
	if !s.lookup {
		c.Tokens = q.tokens
		c.FirstToken = q.started.Sub(q.admitted) + q.prefill()
	}
	s.step(q.node, &Event{Kind: Finish, Handle: h, Completion: c})
}

func (s *sim) count(q *simRequest) {
	if !q.counted {
		return
	}
	t := s.results[q.org]
	t.waits = append(t.waits, q.started.Sub(q.arrived).Seconds())
	t.engineWaits = append(t.engineWaits, q.started.Sub(q.admitted).Seconds())
	t.totals = append(t.totals, s.now.Sub(q.arrived).Seconds())
	if q.patience > 0 && s.now.Sub(q.arrived) > q.patience {
		t.late++
		return
	}
	t.inTime++
	t.timesToAnswer = append(t.timesToAnswer, s.now.Sub(q.firstSent).Seconds())
	t.work += s.now.Sub(q.started).Seconds()
}

// quantile returns the q-quantile of v, or 0 if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1)]
}
