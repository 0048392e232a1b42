package expect

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilloom/internal/catalog"
)

// request is a request at a simulated engine; times are in seconds.
type request struct {
	prompt, answer int
	urgency        int
	arrived        float64
	unread         int // prompt tokens, or tokens to read again after a preemption
	decoded        int
	first, last    float64 // time of the first and the newest event; 0: none
	pause          float64 // longest time between two events
	ended          bool
	isProbe        bool
}

func (r *request) read() int { return r.prompt + r.decoded - r.unread }

// simEngine follows the engine model of docs/HARD-LOAD.md pass by pass. A pass without decoding
// requests has a single step. A prompt that has been read yields the first token, and decodes
// from the next pass on.
type simEngine struct {
	e           *catalog.Engine
	m           *catalog.Model
	slow        func(at float64) float64 // pace of the slowest member
	waiting     []*request
	admitted    []*request // in the order of their admission
	preemptions int
	// After a request ends, onEnd is called with its time.
	onEnd func(at float64, r *request)
}

func (s *simEngine) context() int {
	n := 0
	for _, r := range s.admitted {
		n += r.read()
	}
	return n
}

func (s *simEngine) admit() {
	slices.SortStableFunc(s.waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.arrived, b.arrived))
	})
	held := 0
	for _, r := range s.admitted {
		held += r.prompt + r.decoded
	}
	for len(s.waiting) > 0 && len(s.admitted) < s.e.Slots && held+s.waiting[0].unread <= s.e.KVCapacity {
		held += s.waiting[0].unread
		s.admitted, s.waiting = append(s.admitted, s.waiting[0]), s.waiting[1:]
	}
}

// preempt returns the newest requests to the queue until the growth of a pass fits.
func (s *simEngine) preempt() {
	for {
		held := 0
		for _, r := range s.admitted {
			held += r.prompt + r.decoded + s.e.Stride
		}
		if held <= s.e.KVCapacity || len(s.admitted) < 2 {
			return
		}
		r := s.admitted[len(s.admitted)-1]
		s.admitted = s.admitted[:len(s.admitted)-1]
		r.unread = r.prompt + r.decoded
		s.waiting = append(s.waiting, r)
		s.preemptions++
	}
}

// pass runs a pass that begins at the given time and returns its end; it is the same time if
// there is nothing to do.
func (s *simEngine) pass(at float64) float64 {
	s.admit()
	s.preempt()
	if len(s.admitted) == 0 {
		return at
	}
	decodes := map[*request]bool{}
	for _, r := range s.admitted {
		if r.unread == 0 {
			decodes[r] = true
		}
	}
	steps := 1
	if len(decodes) > 0 {
		steps = s.e.Stride
	}
	nominal := 0.0
	for range steps {
		nominal += s.e.Step.Seconds() + s.e.PerSequence.Seconds()*float64(len(decodes)) + s.e.ContextPerK.Seconds()*float64(s.context())/1000
		chunk := s.e.Chunk
		for _, r := range s.admitted {
			n := min(chunk, r.unread)
			pairs := float64(n) * (float64(r.read()) + float64(n)/2)
			nominal += float64(n)/s.e.ReadPerSecond + s.e.PairsPerM.Seconds()*pairs/1e6
			chunk -= n
			r.unread -= n
			if decodes[r] && r.decoded < r.answer {
				r.decoded++
			}
		}
	}
	end := at + nominal*s.m.Pace*s.slow(at)
	s.admitted = slices.DeleteFunc(s.admitted, func(r *request) bool {
		if r.unread > 0 {
			return false
		}
		if !decodes[r] && r.decoded == 0 {
			r.decoded = 1
		}
		if r.first == 0 {
			r.first = end
		} else {
			r.pause = max(r.pause, end-r.last)
		}
		r.last = end
		if r.decoded < r.answer {
			return false
		}
		r.ended = true
		s.onEnd(end, r)
		return true
	})
	return end
}

// report returns the state of the engine as it states it during a pass that began at the given
// time: prompts count as unread until their first event.
func (s *simEngine) report(at float64, unread map[*request]int) Group {
	g := Group{Pace: s.slow(at), Slots: s.e.Slots, Context: float64(s.context())}
	inFlight := len(s.admitted) + len(s.waiting)
	g.Running = float64(min(inFlight, s.e.Slots))
	g.Waiting = float64(inFlight) - g.Running
	for _, r := range slices.Concat(s.admitted, s.waiting) {
		g.Unread += float64(unread[r])
	}
	return g
}

// load is a test load: clients that send their first request at a time within ramp and a new one
// some time after each answer, so that about the given number of requests are in flight, and a
// probe whose times are predicted.
type load struct {
	engine   *catalog.Engine
	model    *catalog.Model
	clients  int
	slow     func(at float64) float64
	ramp     float64
	from, to float64 // time of the probe
	sees     view
	maxAge   float64 // of reports
	prompts  int     // mean prompt length of the clients; 0: usual
}

// view is what the node that predicts knows beyond the report.
type view int

const (
	reportOnly   view = iota
	seesPass          // the end of the newest pass, from the events of its own stream there
	seesRequests      // also the requests of all nodes and their unread prompts
)

// sample is a prediction and what was observed.
type sample struct{ predicted, observed Estimate }

// draw returns a length with the given mean, at most four times as long.
func draw(rnd *rand.Rand, mean int) int {
	const sigma = 0.5
	v := float64(mean) * math.Exp(rnd.NormFloat64()*sigma-sigma*sigma/2)
	return max(1, int(min(v, 4*float64(mean))))
}

// play returns one sample. The report is up to maxAge old; only its age and the end of the newest
// pass, if the node sees it, are current.
func (l load) play(rnd *rand.Rand) (sample, *simEngine) {
	type arrival struct {
		at float64
		r  *request
	}
	var due []arrival
	add := func(at float64) {
		r := &request{prompt: draw(rnd, cmp.Or(l.prompts, l.engine.UsualPrompt)), answer: draw(rnd, l.engine.UsualAnswer), urgency: 4, arrived: at}
		r.unread = r.prompt
		due = append(due, arrival{at, r})
	}
	const thinkTime = 0.1 // at most, in seconds; the arrivals must not coincide with the ends of passes
	s := &simEngine{e: l.engine, m: l.model, slow: l.slow}
	s.onEnd = func(at float64, r *request) {
		if !r.isProbe {
			add(at + rnd.Float64()*thinkTime)
		}
	}
	for range l.clients {
		add(rnd.Float64() * l.ramp)
	}
	probe := &request{prompt: draw(rnd, l.engine.UsualPrompt), answer: draw(rnd, l.engine.UsualAnswer), urgency: 4, isProbe: true}
	probe.unread = probe.prompt
	probe.arrived = l.from + rnd.Float64()*(l.to-l.from)
	age := rnd.Float64() * l.maxAge
	due = append(due, arrival{probe.arrived, probe})

	var g Group
	var current Group // when the probe arrives
	unread := map[*request]int{}
	arrive := func(until float64) {
		due = slices.DeleteFunc(due, func(a arrival) bool {
			if a.at > until {
				return false
			}
			s.waiting = append(s.waiting, a.r)
			return true
		})
	}
	now := 0.0
	for !probe.ended {
		arrive(now)
		begin := now
		for _, r := range slices.Concat(s.admitted, s.waiting) {
			unread[r] = r.unread
		}
		end := s.pass(begin)
		if end == begin {
			next := math.Inf(1)
			for _, a := range due {
				next = min(next, a.at)
			}
			end = next
		}
		snapshot := func(t float64) Group {
			before := len(s.waiting)
			for _, a := range due {
				if a.at > begin && a.at <= t && a.r != probe {
					s.waiting = append(s.waiting, a.r)
					unread[a.r] = a.r.unread
				}
			}
			g := s.report(begin, unread)
			s.waiting = s.waiting[:before]
			return g
		}
		if t := max(0, probe.arrived-age); begin <= t && t < end {
			g = snapshot(t)
		}
		if begin <= probe.arrived && probe.arrived < end {
			current = snapshot(probe.arrived)
		}
		if l.sees >= seesPass && len(s.admitted) > 0 && begin <= probe.arrived && probe.arrived < end {
			g.SinceEvent = time.Duration((probe.arrived - begin) * float64(time.Second))
		}
		now = end
	}
	g.UnreadAge = time.Duration(age * float64(time.Second))
	if l.sees == seesRequests {
		g.Running, g.Waiting, g.Unread, g.UnreadAge = current.Running, current.Waiting, current.Unread, 0
	}
	out := sample{predicted: Predict(l.engine, l.model, g, Work{Prompt: probe.prompt, Answer: probe.answer})}
	out.observed = Estimate{First: seconds(probe.first - probe.arrived), Pause: seconds(probe.pause), Total: seconds(probe.last - probe.arrived)}
	return out, s
}
