package usage

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// poisson draws a Poisson-distributed number with the given mean.
func poisson(r *rand.Rand, mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*r.NormFloat64())))
	}
	n, p, limit := 0, r.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.Float64()
	}
	return n
}

// gossipCase is a distribution of every organisation's requests over the nodes.
type gossipCase struct {
	name string
	// rate returns an organisation's demand at a node as a multiple of its cap;
	// hot is a node drawn for each organisation.
	rate func(node, nodes, hot int) float64
}

var gossipCases = []gossipCase{
	{"even80", func(_, n, _ int) float64 { return 0.8 / float64(n) }},
	{"even300", func(_, n, _ int) float64 { return 3 / float64(n) }},
	{"hot", func(i, n, hot int) float64 { // half of the requests arrive at one node
		if i == hot {
			return 0.4
		}
		return 0.4 / float64(n)
	}},
}

// gossipSeed differs in each run, also with -count.
var gossipSeed uint64

// BenchmarkGossip reports the bytes per second of usage messages, including 80
// bytes of headers each, after a minute with caps of 100 requests/s and Poisson
// arrivals: sent by a node to each other node, received by a node, received by
// a zone of a third of the nodes, and received by all nodes together.
func BenchmarkGossip(b *testing.B) {
	for _, nodes := range []int{6, 370} {
		for _, orgs := range []int{10, 200} {
			for _, c := range gossipCases {
				b.Run(fmt.Sprintf("nodes=%d/organisations=%d/%s", nodes, orgs, c.name), func(b *testing.B) {
					for b.Loop() {
						gossipSeed++
						sent, largest := simulateGossip(gossipSeed, nodes, orgs, c)
						b.ReportMetric(sent, "B/s-sent")
						b.ReportMetric(sent*float64(nodes-1), "B/s-received")
						b.ReportMetric(sent*float64(nodes-1)*float64(nodes)/3, "B/s-zone")
						b.ReportMetric(sent*float64(nodes-1)*float64(nodes), "B/s-all")
						b.ReportMetric(float64(largest), "B-largest")
					}
				})
			}
		}
	}
}

// simulateGossip returns the mean bytes per second that a node sends to each
// other node, and the payload size of the largest message.
func simulateGossip(seed uint64, nodes, orgs int, c gossipCase) (perSecond float64, largest int) {
	const warm, length = 60 * time.Second, 20 * time.Second
	r := rand.New(rand.NewPCG(seed, 11))
	var caps []Organisation
	hot := map[fleet.Organisation]int{}
	for i := range orgs {
		o := fleet.Organisation(fmt.Sprint("organisation-", i))
		caps = append(caps, Organisation{Name: o, Rate: 100, Lookups: 100})
		hot[o] = r.IntN(nodes)
	}
	states := make([]*State, nodes)
	for i := range states {
		states[i] = NewState()
		states[i].Configure(caps)
		var peers []Peer
		for j := range nodes {
			if j != i {
				peers = append(peers, Peer{Node: testNode(j)})
			}
		}
		states[i].SetPeers(peers)
	}
	bytes := 0
	for at := time.Duration(0); at < warm+length; at += TickInterval {
		now := clock.Instant(time.Second + at)
		for i, s := range states {
			m := s.Tick(now, func(o fleet.Organisation) Count {
				rate := 100 * c.rate(i, nodes, hot[o]) * TickInterval.Seconds()
				return Count{Model: poisson(r, rate), Lookups: poisson(r, rate)}
			})
			if m == nil {
				continue
			}
			p, _ := m.encode()
			largest = max(largest, len(p))
			if at >= warm {
				bytes += len(p) + packetOverheadBytes
			}
			for j, to := range states {
				if j != i {
					to.Receive(now, testNode(i), m)
				}
			}
		}
	}
	return float64(bytes) / length.Seconds() / float64(nodes), largest
}

// BenchmarkTick measures one tick of a node in a fleet of the given size, when
// every node's claim on every cap differs from an even one.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range []int{6, 60, 370} {
		for _, orgs := range []int{10, 200} {
			b.Run(fmt.Sprintf("nodes=%d/organisations=%d", nodes, orgs), func(b *testing.B) {
				s := NewState()
				var caps []Organisation
				m := &Message{Sequence: 1}
				for i := range orgs {
					o := fleet.Organisation(fmt.Sprint("organisation-", i))
					caps = append(caps, Organisation{Name: o, Rate: 100, Lookups: 100})
					m.Claims = append(m.Claims, Claim{Organisation: organisationHash(o), Model: evenLevel + 4, Lookups: evenLevel - 4})
				}
				s.Configure(caps)
				var peers []Peer
				for j := range nodes - 1 {
					peers = append(peers, Peer{Node: testNode(j)})
				}
				s.SetPeers(peers)
				for j := range nodes - 1 {
					s.Receive(1, testNode(j), m)
				}
				b.ReportAllocs()
				for b.Loop() {
					s.Tick(2, func(fleet.Organisation) Count { return Count{Model: 1} })
				}
			})
		}
	}
}
