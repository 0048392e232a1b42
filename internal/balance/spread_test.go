package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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

const spreadService = 1.3 // seconds that a request runs, on average

// belief is what a node takes the others to have at a head, as of at.
type belief struct {
	others float64
	at     float64 // seconds
}

// fading is how long, in seconds, a load that was told fades where requests are told
// one by one.
const fading = 4.0

func (b belief) now(t float64) float64 { return b.others * max(0, 1-(t-b.at)/fading) }

func (s spread) run(requests int) spreadResult {
	rng := rand.New(rand.NewPCG(7, 11))
	own := make([][]int, s.nodes) // in flight, by node and head
	known := make([][]belief, s.nodes)
	for n := range own {
		own[n], known[n] = make([]int, s.heads), make([]belief, s.heads)
	}
	truth := make([]int, s.heads)
	rate := s.load * float64(s.heads*s.slots) / spreadService
	var ends departures
	var res spreadResult
	now, nextBoard := 0.0, 0.0
	sent, counted := 0, 0
	for i := range requests {
		now += rng.ExpFloat64() / rate
		for len(ends) > 0 && ends[0].at <= now {
			d := heap.Pop(&ends).(departure)
			truth[d.head]--
			own[d.node][d.head]--
		}
		if s.board > 0 && now >= nextBoard {
			for n := range own {
				for h := range truth {
					known[n][h] = belief{float64(truth[h] - own[n][h]), now}
				}
			}
			nextBoard = now + s.board.Seconds()
			sent += s.nodes
		}
		n := rng.IntN(s.nodes)
		cands := make([]Candidate, s.heads)
		for h := range cands {
			cands[h] = Candidate{Load: float64(own[n][h]) + known[n][h].now(now), Slots: s.slots, Local: true}
		}
		if i > requests/4 { // the heads have filled up
			counted++
		}
		h, _ := Pick(cands, Bounds{Queue: -0.04, Sample: s.sample}, rng.IntN(1<<30))
		if h < 0 {
			if i > requests/4 {
				res.refused++
			}
			continue
		}
		if truth[h] >= s.slots && i > requests/4 {
			res.over++
		}
		truth[h]++
		own[n][h]++
		heap.Push(&ends, departure{now + spreadService*rng.ExpFloat64(), n, h})
		if s.board > 0 {
			sent += 2 // start and end, to the holder
			continue
		}
		s.tell(rng, known, now, n, h)
		known[n][h] = belief{float64(truth[h] - own[n][h]), now} // the answer's head tells the load
		sent += min(s.toldTo, s.nodes-1)
	}
	res.over /= float64(counted)
	res.refused /= float64(counted)
	res.messages = float64(sent) / float64(requests)
	return res
}

// tell lets some of the other nodes know of a request, weighted for all.
func (s spread) tell(rng *rand.Rand, known [][]belief, now float64, from, head int) {
	k := min(s.toldTo, s.nodes-1)
	weight := float64(s.nodes-1) / float64(max(1, k))
	for _, n := range rng.Perm(s.nodes) {
		if n == from || k == 0 {
			continue
		}
		known[n][head] = belief{known[n][head].now(now) + weight, now}
		k--
	}
}

// A zone's nodes have many requests together and few each. Told of requests one by one
// they add up what has long ended, and refuse while heads are free; all choosing the
// head that was least loaded on the last board, they crowd it. A sample of two by the
// board of the last 120 ms meets few full heads, with fewer messages.
func TestRequestsSpreadOverHeads(t *testing.T) {
	const board = 120 * time.Millisecond
	for _, zone := range []spread{{nodes: 27, heads: 10}, {nodes: 59, heads: 18}, {nodes: 92, heads: 60}} {
		for _, load := range []float64{0.6, 0.8} {
			t.Run(fmt.Sprintf("%d nodes, %d heads, load %v", zone.nodes, zone.heads, load), func(t *testing.T) {
				play := func(s spread) spreadResult {
					s.nodes, s.heads, s.slots, s.load = zone.nodes, zone.heads, 22, load
					return s.run(20000)
				}
				told, crowd := play(spread{toldTo: 24}), play(spread{board: board})
				two, four := play(spread{board: board, sample: 2}), play(spread{board: board, sample: 4})
				t.Logf("told one by one %+v", told)
				t.Logf("board, all looked at %+v", crowd)
				t.Logf("board, two looked at %+v; four %+v", two, four)
				if two.over > 0.02 || two.refused > 0.001 {
					t.Errorf("two by the board: %+v", two)
				}
				if two.messages > told.messages/2 || two.refused > told.refused || two.over > crowd.over {
					t.Errorf("worse than before: %+v", two)
				}
			})
		}
	}
}
