package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// wave plays clients that come back all at once to nodes that have just started and know
// no loads. Engines read prompts one after the other; a request that is given up is sent to
// another engine, once, while the first one reads on.
type wave struct {
	nodes, heads int
	at           time.Duration // within which the clients come
	rate         int           // requests a second after that
	first        time.Duration // patience before a first event
	dead         int           // heads that stand still
}

type waveResult struct {
	attempts float64 // for each request
	reread   float64 // prompt tokens read again, of those read once
	inTime   float64 // first events within a second
	unserved float64 // no first event within the 2 s that clients wait
}

// waveRequest is a client's request on its way.
type waveRequest struct {
	came    clock.Instant
	node    int
	prompt  int
	tried   map[int]bool
	ticket  *Ticket
	first   clock.Instant
	givesUp bool
}

const (
	waveStep  = 5 * time.Millisecond
	waveReads = 56 // tokens that an engine reads in a ms
)

func (w wave) run() waveResult {
	rng := rand.New(rand.NewPCG(5, 9))
	c := clock.NewManual(clock.Instant(time.Hour))
	began := c.Now()
	trackers := make([]*Tracker, w.nodes)
	for n := range trackers {
		trackers[n] = &Tracker{
			Clock: c, FirstSilence: w.first,
			Silence: func(roster.ID) time.Duration { return 350 * time.Millisecond },
		}
	}
	queues := make([][]func(), w.heads) // what each engine does when it has read a prompt
	work := make([][]int, w.heads)      // tokens that it has yet to read, prompt by prompt
	var all []*waveRequest
	read := 0
	send := func(r *waveRequest) {
		cands := make([]Candidate, w.heads)
		for h := range cands {
			st := trackers[r.node].Of(headID(h), 4*time.Second)
			cands[h] = Candidate{Load: st.Load, Unread: st.Unread, Slots: 48, Local: true, Tried: r.tried[h], Suspect: st.Suspect}
		}
		h, _ := Pick(cands, Bounds{Queue: -0.04, Read: 0.25, Sample: 2}, rng.IntN(1<<30))
		if h < 0 {
			return
		}
		r.tried[h] = true
		ticket := trackers[r.node].Start(headID(h), func() { r.givesUp = len(r.tried) < 2 })
		ticket.Reads(r.prompt)
		r.ticket = ticket
		if h < w.dead {
			return
		}
		work[h] = append(work[h], r.prompt)
		queues[h] = append(queues[h], func() {
			read += r.prompt
			if r.ticket == ticket && r.first == 0 {
				r.first = c.Now()
				ticket.Event()
				ticket.End() // what follows the first event is not played
			}
		})
	}
	for now := began; now.Sub(began) < 4*time.Second; now = c.Now() {
		due := int(float64(w.rate) * waveStep.Seconds())
		switch played := now.Sub(began); {
		case played < w.at:
			due *= 4
		case played > 1500*time.Millisecond:
			due = 0 // the rest is for those on their way
		}
		for range due {
			r := &waveRequest{came: now, node: rng.IntN(w.nodes), prompt: 200 + rng.IntN(1200), tried: map[int]bool{}}
			all = append(all, r)
			send(r)
		}
		for h := range work {
			for left := int(waveStep.Milliseconds()) * waveReads; left > 0 && len(work[h]) > 0; {
				n := min(left, work[h][0])
				left -= n
				if work[h][0] -= n; work[h][0] == 0 {
					queues[h][0]()
					work[h], queues[h] = work[h][1:], queues[h][1:]
				}
			}
		}
		for _, t := range trackers {
			t.Watch()
		}
		for _, r := range all {
			if r.givesUp && r.first == 0 {
				r.givesUp = false
				r.ticket.End()
				send(r)
			}
		}
		c.Advance(waveStep)
	}
	return w.sum(all, read)
}

func headID(h int) roster.ID { return roster.ID(fmt.Sprint("h", h)) }

func (w wave) sum(all []*waveRequest, read int) waveResult {
	var res waveResult
	once, n := 0, 0.0
	for _, r := range all {
		n++
		res.attempts += float64(len(r.tried))
		once += r.prompt
		switch took := r.first.Sub(r.came); {
		case r.first == 0 || took > 2*time.Second:
			res.unserved++
		case took <= time.Second:
			res.inTime++
		}
	}
	res.attempts, res.inTime, res.unserved = res.attempts/n, res.inTime/n, res.unserved/n
	res.reread = max(0, float64(read)/float64(once)-1)
	return res
}

// All nodes have lost power and are back; the clients of a second come within a quarter of
// one. Engines that read their prompts are silent for longer than a stream's silence: taken
// for lost, their requests are sent to others, which read them once more, and those that
// came later wait behind them. A node that waits for what engines have to read sends each
// request once. A head that really stands still costs its requests a second, not their
// answer.
func TestWaveOfClientsIsReadOnce(t *testing.T) {
	for _, w := range []wave{
		{nodes: 76, heads: 16, at: 250 * time.Millisecond, rate: 800},
		{nodes: 6, heads: 9, at: 250 * time.Millisecond, rate: 400},
		{nodes: 295, heads: 60, at: 250 * time.Millisecond, rate: 2800},
		{nodes: 76, heads: 16, at: 250 * time.Millisecond, rate: 600, dead: 2},
	} {
		t.Run(fmt.Sprintf("%d nodes, %d heads, %d dead", w.nodes, w.heads, w.dead), func(t *testing.T) {
			before := w.run()
			w.first = time.Second
			after := w.run()
			t.Logf("350 ms: %+v; a second before a first event: %+v", before, after)
			if after.reread > 0.02 || after.unserved > 0.01 {
				t.Errorf("a second: %+v", after)
			}
			if w.dead == 0 && (after.attempts > 1.05 || after.inTime < before.inTime) {
				t.Errorf("a second: %+v, with 350 ms %+v", after, before)
			}
		})
	}
}
