package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// spreadSimulation distributes a zone's requests over its heads with Pick, given what each node
// learns by the simulated way of reporting. It measures how evenly they are spread.
type spreadSimulation struct {
	nodes, heads, slots int
	utilisation         float64       // share of the slots that the requests need on average
	boardInterval       time.Duration // interval between two boards; 0: each request is reported to some nodes
	reportFanout        int           // nodes to which a request is reported, weighted for the others
	sampleSize          int
}

// spreadResult has shares of the requests, unless noted otherwise.
type spreadResult struct {
	overCapacity float64 // sent to a head without a free slot
	refused      float64 // refused because every head seemed full
	meanWait     float64 // mean time spent on reading earlier prompts, in ms
	longWaits    float64 // waited over 60 ms for earlier prompts
	messages     float64 // for each request
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
	meanServiceTime  = 1.3 // seconds
	meanPromptTokens = 900
	tokensReadPerMs  = 50.0 // of one head
	// loadDecayTime is the time in seconds over which a reported load decays where requests are
	// reported one by one, and unreadDecayTime that of a reported prompt.
	loadDecayTime   = 4.0
	unreadDecayTime = 0.15
)

// loadEstimate is a node's estimate of the other nodes' load at a head, as of loadAt and
// unreadAt.
type loadEstimate struct {
	others, loadAt   float64
	unread, unreadAt float64
}

func (b loadEstimate) load(t float64) float64 { return b.others * max(0, 1-(t-b.loadAt)/loadDecayTime) }
func (b loadEstimate) tokens(t float64) float64 {
	return b.unread * max(0, 1-(t-b.unreadAt)/unreadDecayTime)
}

// simHead is the actual state of a head.
type simHead struct {
	running   int
	readUntil float64 // time at which the last prompt there has been read
}

func (s spreadSimulation) run(requests int) spreadResult {
	rng := rand.New(rand.NewPCG(7, 11))
	own := make([][]int, s.nodes) // requests in flight, by node and head
	estimates := make([][]loadEstimate, s.nodes)
	for n := range own {
		own[n], estimates[n] = make([]int, s.heads), make([]loadEstimate, s.heads)
	}
	heads := make([]simHead, s.heads)
	rate := s.utilisation * float64(s.heads*s.slots) / meanServiceTime
	var ends departures
	var res spreadResult
	now, nextBoard := 0.0, 0.0
	messages, counted := 0, 0
	for i := range requests {
		now += rng.ExpFloat64() / rate
		for len(ends) > 0 && ends[0].at <= now {
			d := heap.Pop(&ends).(departure)
			heads[d.head].running--
			own[d.node][d.head]--
		}
		if s.boardInterval > 0 && now >= nextBoard {
			for n := range own {
				for h, e := range heads {
					estimates[n][h] = loadEstimate{float64(e.running - own[n][h]), now, max(0, e.readUntil-now) * 1000 * tokensReadPerMs, now}
				}
			}
			nextBoard = now + s.boardInterval.Seconds()
			messages += s.nodes
		}
		n := rng.IntN(s.nodes)
		cands := make([]Candidate, s.heads)
		for h := range cands {
			b := estimates[n][h]
			cands[h] = Candidate{Load: float64(own[n][h]) + b.load(now), Unread: b.tokens(now), Slots: s.slots, Local: true}
		}
		warm := i > requests/4 // the heads have filled up
		if warm {
			counted++
		}
		h, _ := Pick(cands, Bounds{QueueShare: -0.04, UnreadWeight: 0.25, SampleSize: s.sampleSize}, rng.IntN(1<<30))
		if h < 0 {
			if warm {
				res.refused++
			}
			continue
		}
		e := &heads[h]
		if wait := max(0, e.readUntil-now) * 1000; warm {
			res.meanWait += wait
			if wait > 60 {
				res.longWaits++
			}
			if e.running >= s.slots {
				res.overCapacity++
			}
		}
		prompt := meanPromptTokens * rng.ExpFloat64()
		e.readUntil = max(now, e.readUntil) + prompt/tokensReadPerMs/1000
		e.running++
		own[n][h]++
		heap.Push(&ends, departure{now + meanServiceTime*rng.ExpFloat64(), n, h})
		if s.boardInterval > 0 {
			messages += 2 // start and end, to the node that keeps the board
			continue
		}
		s.report(rng, estimates, now, n, h, prompt)
		estimates[n][h].others, estimates[n][h].loadAt = float64(e.running-own[n][h]), now // the answer reports the head's load
		messages += min(s.reportFanout, s.nodes-1)
	}
	for _, sum := range []*float64{&res.overCapacity, &res.refused, &res.meanWait, &res.longWaits} {
		*sum /= float64(counted)
	}
	res.messages = float64(messages) / float64(requests)
	return res
}

// report informs some of the other nodes of a request, weighted for all of them.
func (s spreadSimulation) report(rng *rand.Rand, estimates [][]loadEstimate, now float64, from, head int, prompt float64) {
	k := min(s.reportFanout, s.nodes-1)
	weight := float64(s.nodes-1) / float64(max(1, k))
	for _, n := range rng.Perm(s.nodes) {
		if n == from || k == 0 {
			continue
		}
		b := &estimates[n][head]
		*b = loadEstimate{b.load(now) + weight, now, b.tokens(now) + weight*prompt, now}
		k--
	}
}

// Guards against uneven spread in a zone whose many nodes have few requests each. Reports of
// single requests add up although many have ended, and nodes refuse while heads are free. If all
// nodes choose the least loaded head of the last board they overload it, and its prompts wait
// for each other. A sample of two, with a board every 40 ms, rarely meets full heads and needs
// fewer messages.
func TestRequestsSpreadOverHeads(t *testing.T) {
	const board = 40 * time.Millisecond
	for _, zone := range []spreadSimulation{{nodes: 27, heads: 10}, {nodes: 59, heads: 18}, {nodes: 92, heads: 60}} {
		for _, load := range []float64{0.6, 0.8} {
			t.Run(fmt.Sprintf("%d nodes, %d heads, load %v", zone.nodes, zone.heads, load), func(t *testing.T) {
				simulate := func(s spreadSimulation) spreadResult {
					s.nodes, s.heads, s.slots, s.utilisation = zone.nodes, zone.heads, 22, load
					return s.run(20000)
				}
				singleReports, wholeBoard := simulate(spreadSimulation{reportFanout: 24}), simulate(spreadSimulation{boardInterval: board})
				sampledBoard, slowBoard := simulate(spreadSimulation{boardInterval: board, sampleSize: 2}), simulate(spreadSimulation{boardInterval: 3 * board, sampleSize: 2})
				t.Logf("requests reported one by one: %+v", singleReports)
				t.Logf("board, all heads compared: %+v", wholeBoard)
				t.Logf("board, two heads compared: %+v; with a board a third as often: %+v", sampledBoard, slowBoard)
				if sampledBoard.overCapacity > 0.01 || sampledBoard.refused > 0.001 || sampledBoard.meanWait > 6 {
					t.Errorf("board, two heads compared: %+v", sampledBoard)
				}
				if sampledBoard.messages > singleReports.messages/2 || sampledBoard.refused > singleReports.refused || sampledBoard.meanWait > wholeBoard.meanWait/2 || sampledBoard.meanWait > slowBoard.meanWait {
					t.Errorf("board, two heads compared, is worse than another way: %+v", sampledBoard)
				}
			})
		}
	}
}

// Guards against a lost group of a zone with four heads whose 40 streams 25 nodes move at once
// by the same board. Nodes that prefer their zone overload its least loaded head, which reads 40
// prompts while all of them wait; samples of two over all zones' heads distribute them.
func TestStreamsOfLostGroupAreDistributed(t *testing.T) {
	const streams, draws = 40, 200
	meanMaximum := func(allZones bool) float64 {
		rng := rand.New(rand.NewPCG(3, 4))
		sum := 0.0
		for range draws {
			loads := make([]float64, 11) // three heads of the zone, eight of other zones
			for h := range loads {
				loads[h] = 20 + 10*rng.Float64()
			}
			got := make([]int, len(loads))
			for range streams {
				cands := make([]Candidate, len(loads))
				for h := range cands {
					cands[h] = Candidate{Load: loads[h], Slots: 48, Local: allZones || h < 3}
				}
				h, _ := Pick(cands, Bounds{RemotePenalty: 0.15, QueueShare: -0.04, UnreadWeight: 0.25, SampleSize: 2}, rng.IntN(1<<30))
				got[h]++
			}
			sum += float64(slices.Max(got))
		}
		return sum / draws
	}
	before, after := meanMaximum(false), meanMaximum(true)
	t.Logf("most at one head: %.1f of %d by zone, %.1f over all zones", before, streams, after)
	if after > streams/4 || after > before/2 {
		t.Errorf("%.1f of %d streams at one head, %.1f by zone", after, streams, before)
	}
}
