package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// waveSimulation has clients that all return at once to nodes that have just started and know no
// loads. Engines read prompts one after the other; a request that is given up is sent to one
// other engine, while the first one still reads it.
type waveSimulation struct {
	nodes, heads  int
	arrivalWindow time.Duration // time within which the wave of clients arrives
	laterRate     int           // requests a second after the wave
	firstSilence  time.Duration // FirstSilence of the trackers
	deadHeads     int           // heads that hang
}

type waveResult struct {
	attemptsPerRequest float64
	rereadShare        float64 // prompt tokens read again, relative to those read once
	inTimeShare        float64 // first events within a second
	unservedShare      float64 // no first event within the 2 s that clients wait
}

// waveRequest is a client's request in flight.
type waveRequest struct {
	arrivedAt    clock.Instant
	node         int
	promptTokens int
	tried        map[int]bool
	ticket       *Ticket
	firstEvent   clock.Instant
	isGivenUp    bool
}

const (
	waveStep            = 5 * time.Millisecond
	waveTokensReadPerMs = 56 // of one engine
)

func (w waveSimulation) run() waveResult {
	rng := rand.New(rand.NewPCG(5, 9))
	c := clock.NewManual(clock.Instant(time.Hour))
	began := c.Now()
	trackers := make([]*Tracker, w.nodes)
	for n := range trackers {
		trackers[n] = &Tracker{
			Clock: c, FirstSilence: w.firstSilence,
			Silence: func(roster.ID) time.Duration { return 350 * time.Millisecond },
		}
	}
	queues := make([][]func(), w.heads)    // what each engine does after reading each prompt
	unreadTokens := make([][]int, w.heads) // unread tokens of each prompt, by engine
	var requests []*waveRequest
	tokensRead := 0
	send := func(r *waveRequest) {
		cands := make([]Candidate, w.heads)
		for h := range cands {
			st := trackers[r.node].StateOf(headID(h), 4*time.Second)
			cands[h] = Candidate{Load: st.Load, Unread: st.Unread, Slots: 48, Local: true, Tried: r.tried[h], Suspect: st.Suspect}
		}
		h, _ := Pick(cands, Bounds{QueueShare: -0.04, UnreadWeight: 0.25, SampleSize: 2}, rng.IntN(1<<30))
		if h < 0 {
			return
		}
		r.tried[h] = true
		ticket := trackers[r.node].Start(headID(h), func() { r.isGivenUp = len(r.tried) < 2 })
		ticket.SetPromptTokens(r.promptTokens)
		r.ticket = ticket
		if h < w.deadHeads {
			return
		}
		unreadTokens[h] = append(unreadTokens[h], r.promptTokens)
		queues[h] = append(queues[h], func() {
			tokensRead += r.promptTokens
			if r.ticket == ticket && r.firstEvent == 0 {
				r.firstEvent = c.Now()
				ticket.RecordEvent()
				ticket.End() // later events are not simulated
			}
		})
	}
	for now := began; now.Sub(began) < 4*time.Second; now = c.Now() {
		arrivals := int(float64(w.laterRate) * waveStep.Seconds())
		switch elapsed := now.Sub(began); {
		case elapsed < w.arrivalWindow:
			arrivals *= 4
		case elapsed > 1500*time.Millisecond:
			arrivals = 0 // the remaining time is for requests in flight
		}
		for range arrivals {
			r := &waveRequest{arrivedAt: now, node: rng.IntN(w.nodes), promptTokens: 200 + rng.IntN(1200), tried: map[int]bool{}}
			requests = append(requests, r)
			send(r)
		}
		for h := range unreadTokens {
			for left := int(waveStep.Milliseconds()) * waveTokensReadPerMs; left > 0 && len(unreadTokens[h]) > 0; {
				n := min(left, unreadTokens[h][0])
				left -= n
				if unreadTokens[h][0] -= n; unreadTokens[h][0] == 0 {
					queues[h][0]()
					unreadTokens[h], queues[h] = unreadTokens[h][1:], queues[h][1:]
				}
			}
		}
		for _, t := range trackers {
			t.CheckSilence()
		}
		for _, r := range requests {
			if r.isGivenUp && r.firstEvent == 0 {
				r.isGivenUp = false
				r.ticket.End()
				send(r)
			}
		}
		c.Advance(waveStep)
	}
	return w.summarise(requests, tokensRead)
}

func headID(h int) roster.ID { return roster.ID(fmt.Sprint("h", h)) }

func (w waveSimulation) summarise(requests []*waveRequest, tokensRead int) waveResult {
	var res waveResult
	promptTokens, n := 0, 0.0
	for _, r := range requests {
		n++
		res.attemptsPerRequest += float64(len(r.tried))
		promptTokens += r.promptTokens
		switch took := r.firstEvent.Sub(r.arrivedAt); {
		case r.firstEvent == 0 || took > 2*time.Second:
			res.unservedShare++
		case took <= time.Second:
			res.inTimeShare++
		}
	}
	res.attemptsPerRequest, res.inTimeShare, res.unservedShare = res.attemptsPerRequest/n, res.inTimeShare/n, res.unservedShare/n
	res.rereadShare = max(0, float64(tokensRead)/float64(promptTokens)-1)
	return res
}

// Guards against a wave of clients whose prompts are read repeatedly: all nodes return from a
// power loss, and the clients of a second arrive within a quarter of one. Engines that read
// prompts are silent for longer than the silence allowed for a stream. If they counted as lost,
// other engines would read the requests again, and later requests would wait behind them. With a
// longer silence before the first event each request is sent once. A head that does hang costs
// its requests a second, but not their answer.
func TestPromptsOfClientWaveAreReadOnce(t *testing.T) {
	for _, w := range []waveSimulation{
		{nodes: 76, heads: 16, arrivalWindow: 250 * time.Millisecond, laterRate: 800},
		{nodes: 6, heads: 9, arrivalWindow: 250 * time.Millisecond, laterRate: 400},
		{nodes: 295, heads: 60, arrivalWindow: 250 * time.Millisecond, laterRate: 2800},
		{nodes: 76, heads: 16, arrivalWindow: 250 * time.Millisecond, laterRate: 600, deadHeads: 2},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d heads, %d dead", w.nodes, w.heads, w.deadHeads), func(t *testing.T) {
			before := w.run()
			w.firstSilence = time.Second
			after := w.run()
			t.Logf("silence of 350 ms: %+v; a second before a first event: %+v", before, after)
			if after.rereadShare > 0.02 || after.unservedShare > 0.01 {
				t.Errorf("a second before a first event: %+v", after)
			}
			if w.deadHeads == 0 && (after.attemptsPerRequest > 1.05 || after.inTimeShare < before.inTimeShare) {
				t.Errorf("a second before a first event: %+v, with 350 ms: %+v", after, before)
			}
		})
	}
}
