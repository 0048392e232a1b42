package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// modelsDriver drives Models with random events and tracks the expected state.
type modelsDriver struct {
	core    *Models
	now     clock.Instant
	plan    Plan
	state   map[Handle]Verdict // requests in the lane: Queue or Admit, 0 before a decision
	own     map[Handle]bool    // counted against their organisation
	orgOf   map[Handle]fleet.Organisation
	next    Handle
	free    []Handle
	charged map[fleet.Organisation]int // admitted requests since the start
}

const (
	cappedRate       = 5.0 // cap of organisation "capped", requests per second
	driverQueueLimit = 8
)

func newModelsDriver() *modelsDriver {
	m := &modelsDriver{
		core: NewModels(), now: simStart, state: map[Handle]Verdict{}, own: map[Handle]bool{},
		orgOf: map[Handle]fleet.Organisation{}, charged: map[fleet.Organisation]int{},
	}
	m.plan = Plan{
		QueueLimit: driverQueueLimit,
		Organisations: []Organisation{
			{Name: "small", Weight: 1}, {Name: "large", Weight: 4}, {Name: "capped", Weight: 1, Rate: cappedRate},
		},
		Pools:   []Pool{{Name: "p", ShareSlots: 2, TotalSlots: 4}, {Name: "q", ShareSlots: 1, TotalSlots: 2}},
		Targets: []TargetPool{{Target: fleet.Target{Model: "p"}}, {Target: fleet.Target{Model: "q"}, Pool: 1}},
	}
	return m
}

func (m *modelsDriver) step(t *rapid.T, ev Event) {
	out := m.core.Step(m.now, &ev, nil)
	for i := range out {
		m.recordDecision(t, &out[i])
	}
	m.check(t)
}

// recordDecision checks that each request gets one final decision, and at most one
// Queue before it.
func (m *modelsDriver) recordDecision(t *rapid.T, d *Decision) {
	was, in := m.state[d.Handle]
	if !in {
		t.Fatalf("decision %v about handle %d that is not in the lane", d, d.Handle)
	}
	if was == Admit {
		t.Fatalf("decision %v about an admitted request", d)
	}
	if was == Queue && d.Verdict == Queue {
		t.Fatalf("queued twice: %v", d)
	}
	switch d.Verdict {
	case Queue:
		m.state[d.Handle] = Queue
	case Admit:
		m.state[d.Handle] = Admit
		if m.own[d.Handle] {
			m.charged[m.orgOf[d.Handle]]++
		}
	case Refuse:
		if d.Kind == "" || d.Reason == "" {
			t.Fatalf("refusal without kind or reason: %v", d)
		}
		if d.RetryAfter < 0 || d.RetryAfter > maxRetryAfter {
			t.Fatalf("Retry-After of %s", d.RetryAfter)
		}
		m.freeHandle(d.Handle)
	case Withdrawn:
		m.freeHandle(d.Handle)
	}
}

func (m *modelsDriver) freeHandle(h Handle) {
	delete(m.state, h)
	m.free = append(m.free, h)
}

// check verifies the invariants of the lane after an event.
func (m *modelsDriver) check(t *rapid.T) {
	queued := 0
	perOrg := map[fleet.Organisation]int{}
	for h, v := range m.state {
		if v == 0 {
			t.Fatalf("handle %d got no decision", h)
		}
		if v == Queue {
			queued++
			perOrg[m.orgOf[h]]++
		}
	}
	if queued != m.core.Waiting() {
		t.Fatalf("%d requests are queued, the lane reports %d", queued, m.core.Waiting())
	}
	if queued > driverQueueLimit {
		t.Fatalf("queue of %d over the limit", queued)
	}
	for o, n := range perOrg {
		if n > driverQueueLimit/2 {
			t.Fatalf("organisation %s has %d queued", o, n)
		}
	}
	for _, p := range m.core.active {
		if len(p.ready) > 0 && p.hasSlot() {
			t.Fatalf("pool %s has a free slot and a queue", p.name)
		}
		for i := 1; i < len(p.ready); i++ {
			if p.ready[(i-1)/2].nextStart > p.ready[i].nextStart {
				t.Fatalf("heap out of order")
			}
		}
	}
	allowed := burstSize(cappedRate) + cappedRate*m.now.Sub(simStart).Seconds()
	if float64(m.charged["capped"]) > allowed+1e-6 {
		t.Fatalf("%d requests of a capped organisation admitted, at most %.2f allowed", m.charged["capped"], allowed)
	}
}

func (m *modelsDriver) arrive(t *rapid.T) {
	h := m.next
	if n := len(m.free); n > 0 {
		h, m.free = m.free[n-1], m.free[:n-1]
	} else {
		m.next++
	}
	a := Arrival{
		Organisation:      rapid.SampledFrom([]fleet.Organisation{"small", "large", "capped", "unknown"}).Draw(t, "organisation"),
		Target:            fleet.Target{Model: rapid.SampledFrom([]string{"p", "q", "none"}).Draw(t, "target")},
		Priority:          rapid.IntRange(0, 2).Draw(t, "priority"),
		PromptTokens:      rapid.IntRange(0, 1000).Draw(t, "prompt"),
		MaxTokens:         rapid.IntRange(0, 500).Draw(t, "tokens"),
		AdmittedElsewhere: rapid.IntRange(0, 9).Draw(t, "relayed") == 0,
	}
	if rapid.Bool().Draw(t, "bounded") {
		a.Deadline = m.now.Add(time.Duration(rapid.IntRange(-1, 5000).Draw(t, "patience")) * time.Millisecond)
	}
	m.state[h], m.own[h], m.orgOf[h] = 0, !a.AdmittedElsewhere, a.Organisation
	m.step(t, Event{Kind: Arrive, Handle: h, Arrival: a})
}

func (m *modelsDriver) drawHandle(t *rapid.T, v Verdict) (Handle, bool) {
	var all []Handle
	for h := Handle(0); h < m.next; h++ {
		if m.state[h] == v {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(all).Draw(t, "handle"), true
}

func (m *modelsDriver) finish(t *rapid.T) {
	h, ok := m.drawHandle(t, Admit)
	if !ok {
		return
	}
	c := Completion{
		Total:           time.Duration(rapid.IntRange(0, 3000).Draw(t, "total")) * time.Millisecond,
		Answered:        rapid.Bool().Draw(t, "answered"),
		EndpointRefused: rapid.IntRange(0, 9).Draw(t, "shed") == 0,
	}
	c.FirstToken = c.Total / 4
	m.freeHandle(h)
	m.step(t, Event{Kind: Finish, Handle: h, Completion: c})
}

func (m *modelsDriver) replan(t *rapid.T) {
	p := m.plan
	p.Pools = append([]Pool(nil), p.Pools...)
	for i := range p.Pools {
		p.Pools[i].TotalSlots = float64(rapid.IntRange(0, 6).Draw(t, "slots"))
		p.Pools[i].ShareSlots = p.Pools[i].TotalSlots / 2
		p.Pools[i].Waiting = rapid.IntRange(0, 3).Draw(t, "waiting")
		p.Pools[i].ReportedAt = m.now
	}
	m.step(t, Event{Kind: Replan, Plan: &p})
}

// For any order of events, every request must get exactly one final decision, no
// slot may be free while a request that fits is queued, the queue and each
// organisation's part of it must be bounded, and no organisation may exceed its
// rate.
func TestModelsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelsDriver()
		m.step(t, Event{Kind: Replan, Plan: &m.plan})
		t.Repeat(map[string]func(*rapid.T){
			"arrive":  m.arrive,
			"arrive2": m.arrive,
			"finish":  m.finish,
			"withdraw": func(t *rapid.T) {
				if h, ok := m.drawHandle(t, Queue); ok {
					m.step(t, Event{Kind: Withdraw, Handle: h})
				}
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				m.step(t, Event{Kind: Tick})
			},
			"replan": m.replan,
		})
	})
}

// A large organisation keeps the queue full. A request of a small one must be
// served after a bounded number of the large one's requests: one round by
// weight, plus the allowance of the large one at the start of the overload. Each
// request takes a second here.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.IntRange(1, 50).Draw(t, "weight")
		m := newModelsDriver()
		m.plan.Organisations = []Organisation{{Name: "small", Weight: 1}, {Name: "large", Weight: float64(weight)}}
		m.plan.Pools = []Pool{{Name: "p", ShareSlots: 1, TotalSlots: 1}}
		m.plan.Targets = m.plan.Targets[:1]
		m.core.Step(m.now, &Event{Kind: Replan, Plan: &m.plan}, nil)
		running, next := Handle(0), Handle(0)
		send := func(o fleet.Organisation) Handle {
			h := next
			next++
			m.core.Step(m.now, &Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: o, Target: fleet.Target{Model: "p"}, MaxTokens: 100}}, nil)
			return h
		}
		for range 4 {
			send("large")
		}
		passed, turns := 0, rapid.IntRange(0, 50).Draw(t, "turns")
		small := noHandle
		for turn := 0; ; turn++ {
			if turn == turns {
				small = send("small")
			}
			out := m.core.Step(m.now, &Event{Kind: Finish, Handle: running, Completion: Completion{Total: time.Second, Answered: true}}, nil)
			m.now = m.now.Add(time.Second)
			running = out[0].Handle
			if running == small {
				return
			}
			send("large")
			if small != noHandle {
				passed++
			}
			if passed > weight+1+int(burstAllowanceSeconds) {
				t.Fatalf("%d requests of the large organisation were served before the small one's", passed)
			}
		}
	})
}

// The queue is full of one organisation's requests when a smaller one's arrives.
// The newest request of the larger one must be refused, "not run". A request of
// the smaller one must never be evicted for the larger.
func TestFullQueueEvictsFromLargestBacklog(t *testing.T) {
	is := is.New(t)
	m := NewModels()
	plan := &Plan{
		QueueLimit:    4,
		Organisations: []Organisation{{Name: "big", Weight: 1}, {Name: "mid", Weight: 1}, {Name: "small", Weight: 1}},
		Pools:         []Pool{{Name: "p", ShareSlots: 1, TotalSlots: 1}},
		Targets:       []TargetPool{{Target: simTarget}},
	}
	m.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	next := Handle(0)
	send := func(o fleet.Organisation, priority int) []Decision {
		h := next
		next++
		at := simStart.Add(time.Duration(h) * time.Millisecond)
		return m.Step(at, &Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: o, Target: simTarget, Priority: priority}}, nil)
	}
	verdicts := func(ds []Decision) (s string) {
		for _, d := range ds {
			s += fmt.Sprintf("%d %s %s;", d.Handle, d.Verdict, d.Reason)
		}
		return s
	}
	is.Equal(verdicts(send("big", 0)), "0 admit room;")
	is.Equal(verdicts(send("big", 0)), "1 queue busy;")
	is.Equal(verdicts(send("big", 0)), "2 queue busy;")
	is.Equal(verdicts(send("big", 0)), "3 refuse organisation;")              // an organisation may use half of the queue
	is.Equal(verdicts(send("big", 1)), "2 refuse organisation;4 queue busy;") // evicted by a request of higher priority
	is.Equal(verdicts(send("mid", 0)), "5 queue busy;")
	is.Equal(verdicts(send("small", 0)), "6 queue busy;")
	is.Equal(verdicts(send("small", 0)), "7 refuse queue-full;")              // the backlog would equal the largest: refused itself
	is.Equal(verdicts(send("other", 0)), "1 refuse queue-full;8 queue busy;") // priority 0 is evicted before priority 1
	is.Equal(verdicts(send("other", 0)), "9 refuse queue-full;")
}

// A request that another node admitted and forwarded is not counted against its
// organisation here. It must be refused, "not run", when all slots are in use, so
// that the sender can try elsewhere.
func TestRelayedRequests(t *testing.T) {
	is := is.New(t)
	m := NewModels()
	plan := &Plan{
		QueueLimit:    4,
		Organisations: []Organisation{{Name: "o", Weight: 1, Rate: 0.1}},
		Pools:         []Pool{{Name: "p", ShareSlots: 1, TotalSlots: 2}},
		Targets:       []TargetPool{{Target: simTarget}},
	}
	m.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	arrive := func(h Handle, admitted bool) Decision {
		return m.Step(simStart, &Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: "o", Target: simTarget, AdmittedElsewhere: admitted}}, nil)[0]
	}
	is.Equal(arrive(0, true).Reason, ReasonAdmitted)
	is.Equal(arrive(1, false).Reason, ReasonSlotFree) // the relayed request used no token
	full := arrive(2, true)
	is.Equal(full.Verdict, Refuse)
	is.Equal(full.Kind, outcome.Overloaded)
	is.Equal(arrive(3, false).Kind, outcome.OverLimit)
}

// A group specification that serves the same model is added, so the pool's name
// changes. Queued requests must keep their places and running ones their slots.
func TestPoolKeepsStateUnderNewName(t *testing.T) {
	is := is.New(t)
	m := NewModels()
	plan := &Plan{
		QueueLimit: 4, Organisations: []Organisation{{Name: "o", Weight: 1}},
		Pools: []Pool{{Name: "g", ShareSlots: 1, TotalSlots: 1}}, Targets: []TargetPool{{Target: simTarget}},
	}
	m.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	for h := range Handle(2) {
		m.Step(simStart, &Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: "o", Target: simTarget}}, nil)
	}
	renamed := *plan
	renamed.Pools = []Pool{{Name: "g,h", ShareSlots: 1, TotalSlots: 1}}
	is.Equal(len(m.Step(simStart.Add(time.Hour), &Event{Kind: Replan, Plan: &renamed}, nil)), 0)
	out := m.Step(simStart.Add(time.Hour), &Event{Kind: Finish, Handle: 0}, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Verdict, Admit)
	is.Equal(len(m.active), 1)
}

// All groups of a model miss one probe while requests with deadlines are queued.
// The requests must stay queued, and the next must proceed when the group is
// back. Refusing them would turn each late probe into a burst of refusals.
func TestLateProbeKeepsQueue(t *testing.T) {
	is := is.New(t)
	m := NewModels()
	plan := &Plan{
		QueueLimit: 4, Organisations: []Organisation{{Name: "o", Weight: 1}},
		Pools: []Pool{{Name: "p", ShareSlots: 1, TotalSlots: 1}}, Targets: []TargetPool{{Target: simTarget}},
	}
	m.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	now := simStart
	for h := range Handle(2 * minSamples) { // enough samples for estimates
		m.Step(now, &Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: "o", Target: simTarget}}, nil)
		now = now.Add(100 * time.Millisecond)
		m.Step(now, &Event{Kind: Finish, Handle: h, Completion: Completion{Total: 100 * time.Millisecond, Answered: true}}, nil)
	}
	for h := range Handle(2) {
		a := Arrival{Organisation: "o", Target: simTarget, Deadline: now.Add(10 * time.Second)}
		m.Step(now, &Event{Kind: Arrive, Handle: h, Arrival: a}, nil)
	}
	gone := *plan
	gone.Pools = []Pool{{Name: "p"}}
	is.Equal(len(m.Step(now, &Event{Kind: Replan, Plan: &gone}, nil)), 0)
	now = now.Add(capacityGrace / 2)
	is.Equal(len(m.Step(now, &Event{Kind: Finish, Handle: 0}, nil)), 0)
	out := m.Step(now, &Event{Kind: Replan, Plan: plan}, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Verdict, Admit)
}
