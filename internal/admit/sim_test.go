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

// The driver below feeds a lane's pure core from seeded arrivals and from a
// model of engines with slots and an inner queue. It knows one node only.

// stepper is what the driver drives: a core or a baseline.
type stepper interface {
	Step(now clock.Instant, ev *Event, out []Decision) []Decision
}

// load is one organisation's arrivals.
type simLoad struct {
	org  fleet.Organisation
	rate float64 // requests a second
}

// bench is one run.
type bench struct {
	seed     uint64
	length   time.Duration
	warm     time.Duration // requests that come before are not counted
	slots    int           // of the engines, in truth
	reported float64       // of the engines, as the plan says; 0: slots
	share    float64       // of this node; 0: all slots
	queue    int           // 0: default
	loads    []simLoad
	weights  map[fleet.Organisation]float64
	lookup   bool
	shape    func(r *rand.Rand) simRequest
	// comeBack says after what time a refused caller sends the request again, up
	// to tries times in all; nil: never.
	comeBack func(d *Decision) time.Duration
	tries    int
	// surge multiplies all rates from the start until the given time.
	surge      float64
	surgeUntil time.Duration
	// slowdown is by how much of its time a request takes longer when all slots
	// are busy.
	slowdown float64
	// node picks the node that a request comes to; nil: the first.
	node func(r *rand.Rand) int
}

// simRequest is what the driver knows of a request.
type simRequest struct {
	org      fleet.Organisation
	prompt   int
	bound    int           // max tokens
	tokens   int           // in truth
	patience time.Duration // from arrival to deadline; 0: none
	came     clock.Instant
	admitted clock.Instant
	began    clock.Instant
	counted  bool
	first    clock.Instant // when it was sent for the first time
	tries    int
	node     int
}

// modelShape draws a request of the model lane: bounds of 32 to 512 tokens, of
// which 30 to 100 per cent are used, and deadlines of 5 to 15 s.
func modelShape(r *rand.Rand) simRequest {
	bound := 32 << r.IntN(5)
	return simRequest{
		prompt:   50 + int(r.ExpFloat64()*400),
		bound:    bound,
		tokens:   max(1, int(float64(bound)*(0.3+0.7*r.Float64()))),
		patience: 5*time.Second + time.Duration(r.Float64()*10*float64(time.Second)),
	}
}

const (
	simPrefill  = 200 * time.Microsecond // per prompt token
	simPerToken = 12 * time.Millisecond
	simLookup   = 2 * time.Millisecond // mean of a plain call
)

// prefill and decode are the times the engines take for the request.
func (q *simRequest) prefill() time.Duration {
	return 20*time.Millisecond + time.Duration(q.prompt)*simPrefill
}
func (q *simRequest) decode() time.Duration { return time.Duration(q.tokens) * simPerToken }

// meanModelService is the mean of prefill and decode over modelShape.
const meanModelService = 110*time.Millisecond + time.Duration(0.65*(32+64+128+256+512)/5*float64(simPerToken))

type simEvent struct {
	at    clock.Instant
	seq   int
	kind  simKind
	h     Handle
	load  int
	again *simRequest
}

type simKind int

const (
	simArrive simKind = iota
	simDone
	simTick
	simReport
	simAgain
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

// tally is what became of one organisation's requests.
type tally struct {
	offered, good, late, refused int
	refusedLater                 int       // of refused: after waiting
	sends                        int       // tries of all requests
	inner                        []float64 // seconds in the engines' own queue
	answered                     []float64 // seconds from the first try to the answer, of the good ones
	refusedAfter                 []float64 // seconds that these had waited
	work                         float64   // slot-seconds of the good ones
	waits                        []float64 // seconds from arrival to the engines' beginning
	totals                       []float64 // seconds from arrival to the answer
}

type sim struct {
	bench
	cores   []stepper // of the nodes that share the engines
	rng     *rand.Rand
	now     clock.Instant
	events  simHeap
	seq     int
	open    []*simRequest // by handle
	free    []Handle
	busy    int      // slots in use
	waiting []Handle // queue inside the engines
	out     []Decision
	tallies map[fleet.Organisation]*tally
}

const simStart = clock.Instant(time.Second)

func (b bench) run(cores ...stepper) map[fleet.Organisation]*tally {
	s := &sim{bench: b, cores: cores, rng: rand.New(rand.NewPCG(b.seed, 7)), now: simStart, tallies: map[fleet.Organisation]*tally{}}
	for i, l := range b.loads {
		s.tallies[l.org] = &tally{}
		s.nextArrival(i)
	}
	s.report()
	s.at(tickEvery, simEvent{kind: simTick})
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		s.handle(e)
	}
	return s.tallies
}

func (s *sim) at(d time.Duration, e simEvent) {
	e.at = s.now.Add(d)
	e.seq = s.seq
	s.seq++
	heap.Push(&s.events, e)
}

func (s *sim) over() bool { return s.now.Sub(simStart) >= s.length }

func (s *sim) nextArrival(load int) {
	rate := s.loads[load].rate
	if s.now.Sub(simStart) < s.surgeUntil {
		rate *= s.surge
	}
	gap := s.rng.ExpFloat64() / rate
	s.at(time.Duration(gap*float64(time.Second)), simEvent{kind: simArrive, load: load})
}

func (s *sim) handle(e simEvent) {
	switch e.kind {
	case simArrive:
		if s.over() {
			return
		}
		s.nextArrival(e.load)
		s.arrive(s.loads[e.load].org)
	case simDone:
		s.done(e.h)
	case simTick:
		s.all(&Event{Kind: Tick})
		if !s.over() || len(s.waiting) > 0 || s.busy > 0 {
			s.at(tickEvery, simEvent{kind: simTick})
		}
	case simReport:
		s.report()
	case simAgain:
		s.send(e.again)
	}
}

// report hands in a plan with the engines' load of this moment; the next one
// follows a second later, as engines report with a lag.
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
	pool := Pool{Name: "p", Share: share, Total: reported, Waiting: len(s.waiting), Reported: s.now}
	p := &Plan{QueueLimit: queue, Pools: []Pool{pool}, Services: []Pool{pool}, Targets: []TargetPool{{Target: simTarget}}}
	for _, l := range s.loads {
		w := s.weights[l.org]
		if w == 0 {
			w = 1
		}
		p.Organisations = append(p.Organisations, Organisation{Name: l.org, Weight: w})
	}
	s.all(&Event{Kind: Replan, Plan: p})
	if !s.over() {
		s.at(time.Second, simEvent{kind: simReport})
	}
}

var simTarget = fleet.Target{Model: "m"}

func (s *sim) arrive(o fleet.Organisation) {
	q := s.shape(s.rng)
	q.org, q.first = o, s.now
	q.counted = s.now.Sub(simStart) >= s.warm
	if q.counted {
		s.tallies[o].offered++
	}
	if s.node != nil {
		q.node = s.node(s.rng)
	}
	s.send(&q)
}

func (s *sim) send(q *simRequest) {
	q.came = s.now
	q.tries++
	s.tallies[q.org].sends++
	h := s.take(q)
	a := Arrival{Organisation: q.org, Target: simTarget, Service: "p", PromptTokens: q.prompt, MaxTokens: q.bound}
	if q.patience > 0 {
		a.Deadline = s.now.Add(q.patience)
	}
	s.step(q.node, &Event{Kind: Arrive, Handle: h, Arrival: a})
}

func (s *sim) take(q *simRequest) Handle {
	if n := len(s.free); n > 0 {
		h := s.free[n-1]
		s.free = s.free[:n-1]
		s.open[h] = q
		return h
	}
	s.open = append(s.open, q)
	return Handle(len(s.open) - 1)
}

// all gives an event to every node.
func (s *sim) all(ev *Event) {
	for i := range s.cores {
		s.step(i, ev)
	}
}

func (s *sim) step(node int, ev *Event) {
	s.out = s.cores[node].Step(s.now, ev, s.out[:0])
	for _, d := range slices.Clone(s.out) {
		switch d.Verdict {
		case Admit:
			s.open[d.Handle].admitted = s.now
			s.waiting = append(s.waiting, d.Handle)
		case Refuse:
			q := s.open[d.Handle]
			s.free = append(s.free, d.Handle)
			if s.comeBack != nil && q.tries < s.tries {
				s.at(s.comeBack(&d), simEvent{kind: simAgain, again: q})
				continue
			}
			if q.counted {
				t := s.tallies[q.org]
				t.refused++
				if s.now.After(q.came) {
					t.refusedLater++
					t.refusedAfter = append(t.refusedAfter, s.now.Sub(q.came).Seconds())
				}
			}
		}
	}
	s.begin()
}

// begin gives free slots to the engines' own queue.
func (s *sim) begin() {
	for s.busy < s.slots && len(s.waiting) > 0 {
		h := s.waiting[0]
		s.waiting = s.waiting[1:]
		q := s.open[h]
		q.began = s.now
		s.busy++
		slow := 1 + s.slowdown*float64(s.busy)/float64(s.slots)
		d := time.Duration(float64(q.prefill()+q.decode()) * slow)
		if s.lookup {
			d = time.Duration(s.rng.ExpFloat64() * float64(simLookup))
		}
		s.at(d, simEvent{kind: simDone, h: h})
	}
}

func (s *sim) done(h Handle) {
	q := s.open[h]
	s.busy--
	s.count(q)
	s.free = append(s.free, h)
	c := Completion{Total: s.now.Sub(q.admitted), Answered: true}
	if !s.lookup {
		c.Tokens = q.tokens
		c.FirstToken = q.began.Sub(q.admitted) + q.prefill()
	}
	s.step(q.node, &Event{Kind: Finish, Handle: h, Completion: c})
}

func (s *sim) count(q *simRequest) {
	if !q.counted {
		return
	}
	t := s.tallies[q.org]
	t.waits = append(t.waits, q.began.Sub(q.came).Seconds())
	t.inner = append(t.inner, q.began.Sub(q.admitted).Seconds())
	t.totals = append(t.totals, s.now.Sub(q.came).Seconds())
	if q.patience > 0 && s.now.Sub(q.came) > q.patience {
		t.late++
		return
	}
	t.good++
	t.answered = append(t.answered, s.now.Sub(q.first).Seconds())
	t.work += s.now.Sub(q.began).Seconds()
}

// quantile returns the q-quantile of v, 0 when v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(math.Ceil(q*float64(len(v))))-1)]
}
