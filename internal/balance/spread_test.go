package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// spread plays a zone's requests against its heads with the real choice and what the
// way of telling lets each node know. It counts how well they are spread.
type spread struct {
	nodes, heads, slots int
	load                float64       // of the slots that the requests need on average
	board               time.Duration // pause between two boards; 0: each request is told to some nodes
	toldTo              int           // nodes that a request is told to, weighted for the others
	sample              int
}

// spreadResult is of requests, but for messages.
type spreadResult struct {
	over     float64 // sent to a head whose slots were all taken
	refused  float64 // every head seemed full
	wait     float64 // ms that the reading of earlier prompts took, mean
	late     float64 // of those that waited over 60 ms
	messages float64 // for each request
}

type departure struct {
	at         float64
	node, head int
}

type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departures) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departures) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const (
	spreadService = 1.3  // seconds that a request runs, on average
	spreadPrompt  = 900  // tokens, on average
	spreadReads   = 50.0 // tokens that a head reads in a ms
	// spreadFade is how long, in seconds, a load that was told fades where requests are
	// told one by one, and spreadUnread how long a prompt that was told does.
	spreadFade   = 4.0
	spreadUnread = 0.15
)

// belief is what a node takes the others to have at a head, as of at and toldAt.
type belief struct {
	others, at     float64
	unread, toldAt float64
}

func (b belief) load(t float64) float64 { return b.others * max(0, 1-(t-b.at)/spreadFade) }
func (b belief) tokens(t float64) float64 {
	return b.unread * max(0, 1-(t-b.toldAt)/spreadUnread)
}

// spreadHead is a head as it is.
type spreadHead struct {
	running int
	read    float64 // when the last prompt there is read
}

func (s spread) run(requests int) spreadResult {
	rng := rand.New(rand.NewPCG(7, 11))
	own := make([][]int, s.nodes) // in flight, by node and head
	known := make([][]belief, s.nodes)
	for n := range own {
		own[n], known[n] = make([]int, s.heads), make([]belief, s.heads)
	}
	heads := make([]spreadHead, s.heads)
	rate := s.load * float64(s.heads*s.slots) / spreadService
	var ends departures
	var res spreadResult
	now, nextBoard := 0.0, 0.0
	sent, counted := 0, 0
	for i := range requests {
		now += rng.ExpFloat64() / rate
		for len(ends) > 0 && ends[0].at <= now {
			d := heap.Pop(&ends).(departure)
			heads[d.head].running--
			own[d.node][d.head]--
		}
		if s.board > 0 && now >= nextBoard {
			for n := range own {
				for h, e := range heads {
					known[n][h] = belief{float64(e.running - own[n][h]), now, max(0, e.read-now) * 1000 * spreadReads, now}
				}
			}
			nextBoard = now + s.board.Seconds()
			sent += s.nodes
		}
		n := rng.IntN(s.nodes)
		cands := make([]Candidate, s.heads)
		for h := range cands {
			b := known[n][h]
			cands[h] = Candidate{Load: float64(own[n][h]) + b.load(now), Unread: b.tokens(now), Slots: s.slots, Local: true}
		}
		warm := i > requests/4 // the heads have filled up
		if warm {
			counted++
		}
		h, _ := Pick(cands, Bounds{Queue: -0.04, Read: 0.25, Sample: s.sample}, rng.IntN(1<<30))
		if h < 0 {
			if warm {
				res.refused++
			}
			continue
		}
		e := &heads[h]
		if wait := max(0, e.read-now) * 1000; warm {
			res.wait += wait
			if wait > 60 {
				res.late++
			}
			if e.running >= s.slots {
				res.over++
			}
		}
		prompt := spreadPrompt * rng.ExpFloat64()
		e.read = max(now, e.read) + prompt/spreadReads/1000
		e.running++
		own[n][h]++
		heap.Push(&ends, departure{now + spreadService*rng.ExpFloat64(), n, h})
		if s.board > 0 {
			sent += 2 // start and end, to the holder
			continue
		}
		s.tell(rng, known, now, n, h, prompt)
		known[n][h].others, known[n][h].at = float64(e.running-own[n][h]), now // the answer's head tells the load
		sent += min(s.toldTo, s.nodes-1)
	}
	for _, sum := range []*float64{&res.over, &res.refused, &res.wait, &res.late} {
		*sum /= float64(counted)
	}
	res.messages = float64(sent) / float64(requests)
	return res
}

// tell lets some of the other nodes know of a request, weighted for all.
func (s spread) tell(rng *rand.Rand, known [][]belief, now float64, from, head int, prompt float64) {
	k := min(s.toldTo, s.nodes-1)
	weight := float64(s.nodes-1) / float64(max(1, k))
	for _, n := range rng.Perm(s.nodes) {
		if n == from || k == 0 {
			continue
		}
		b := &known[n][head]
		*b = belief{b.load(now) + weight, now, b.tokens(now) + weight*prompt, now}
		k--
	}
}

// A zone's nodes have many requests together and few each. Told of requests one by one
// they add up what has long ended, and refuse while heads are free; all choosing the
// head that was least loaded on the last board, they crowd it, and its prompts wait for
// each other. A sample of two by the board of the last 40 ms meets few full heads, with
// fewer messages.
func TestRequestsSpreadOverHeads(t *testing.T) {
	const board = 40 * time.Millisecond
	for _, zone := range []spread{{nodes: 27, heads: 10}, {nodes: 59, heads: 18}, {nodes: 92, heads: 60}} {
		for _, load := range []float64{0.6, 0.8} {
			t.Run(fmt.Sprintf("%d nodes, %d heads, load %v", zone.nodes, zone.heads, load), func(t *testing.T) {
				play := func(s spread) spreadResult {
					s.nodes, s.heads, s.slots, s.load = zone.nodes, zone.heads, 22, load
					return s.run(20000)
				}
				told, crowd := play(spread{toldTo: 24}), play(spread{board: board})
				two, slow := play(spread{board: board, sample: 2}), play(spread{board: 3 * board, sample: 2})
				t.Logf("told one by one %+v", told)
				t.Logf("board, all looked at %+v", crowd)
				t.Logf("board, two looked at %+v; a board a third as often %+v", two, slow)
				if two.over > 0.01 || two.refused > 0.001 || two.wait > 6 {
					t.Errorf("two by the board: %+v", two)
				}
				if two.messages > told.messages/2 || two.refused > told.refused || two.wait > crowd.wait/2 || two.wait > slow.wait {
					t.Errorf("worse than another way: %+v", two)
				}
			})
		}
	}
}

// A group of a zone with four heads is lost with 40 streams, and 25 nodes place them at once
// by the same board. Nodes that prefer their zone crowd the least loaded head that is left
// there, which reads 40 prompts while all of them wait; two drawn of all zones' heads share
// them out.
func TestStreamsOfALostGroupAreSharedOut(t *testing.T) {
	const streams, draws = 40, 200
	most := func(alike bool) float64 {
		rng := rand.New(rand.NewPCG(3, 4))
		sum := 0.0
		for range draws {
			loads := make([]float64, 11) // three heads of the zone, eight of others
			for h := range loads {
				loads[h] = 20 + 10*rng.Float64()
			}
			got := make([]int, len(loads))
			for range streams {
				cands := make([]Candidate, len(loads))
				for h := range cands {
					cands[h] = Candidate{Load: loads[h], Slots: 48, Local: alike || h < 3}
				}
				h, _ := Pick(cands, Bounds{Remote: 0.15, Queue: -0.04, Read: 0.25, Sample: 2}, rng.IntN(1<<30))
				got[h]++
			}
			sum += float64(slices.Max(got))
		}
		return sum / draws
	}
	before, after := most(false), most(true)
	t.Logf("most at one head: %.1f of %d by zone, %.1f over all zones", before, streams, after)
	if after > streams/4 || after > before/2 {
		t.Errorf("%.1f of %d streams at one head, %.1f by zone", after, streams, before)
	}
}
