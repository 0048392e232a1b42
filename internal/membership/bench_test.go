package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// newHeartbeatDetector is the all-to-all baseline: each period every node sends
// to every other one, and a node not heard from for limit is dead.
func newHeartbeatDetector(limit time.Duration) func(*testNode, clock.Instant, Event) []Action {
	return func(n *testNode, now clock.Instant, ev Event) []Action {
		s := n.State
		s.actions, s.changed = s.actions[:0], false
		switch e := ev.(type) {
		case Received:
			m := s.members[e.From.VM]
			m.lastHeard = now
			if m.Status != Alive {
				m.Status = Alive
				s.addAction(Changed{})
			}
		case Tick:
			for _, vm := range s.sortedVMs {
				if m := s.members[vm]; m.Status == Alive && now.Sub(m.lastHeard) > limit {
					m.Status = Dead
					s.addAction(Changed{})
				}
			}
			if !now.Before(s.nextProbe) {
				s.nextProbe = now.Add(s.cfg.PingPeriod)
				for _, vm := range s.sortedVMs {
					s.addAction(Send{To: vm, Message: &Message{Kind: KindGossip, Self: s.self}})
				}
			}
		}
		return s.actions
	}
}

// detector is a failure detection method under comparison.
type detector struct {
	name string
	cfg  Config
	step func(*testNode, clock.Instant, Event) []Action
}

func newDetectors() []detector {
	plainTimeout := DefaultConfig()
	plainTimeout.IndirectPings, plainTimeout.SuspicionTimeout = 0, 0
	noIndirect := DefaultConfig()
	noIndirect.IndirectPings = 0
	return []detector{
		{name: "swim", cfg: DefaultConfig()},
		{name: "no-indirect", cfg: noIndirect},
		{name: "plain-timeout", cfg: plainTimeout},
		{name: "all-to-all-3s", cfg: DefaultConfig(), step: newHeartbeatDetector(3 * time.Second)},
		{name: "all-to-all-6s", cfg: DefaultConfig(), step: newHeartbeatDetector(6 * time.Second)},
	}
}

// newJoinedFleet returns a fleet whose nodes all know each other.
func newJoinedFleet(n int, seed uint64, d detector) *testFleet {
	f := newTestFleet(n, seed, d.cfg)
	f.step = d.step
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a != b {
				e := b.self
				a.merge(f.now, &e)
			}
		}
		for _, m := range a.members {
			m.lastHeard = f.now
		}
		a.updates = updateQueue{}
		a.nextProbe = f.now.Add(time.Duration(f.rng.Int64N(int64(d.cfg.PingPeriod))))
	}
	f.run(5 * time.Second)
	return f
}

// BenchmarkDetect measures the time from a node's death until the first other
// node suspects it and until the last one considers it dead.
func BenchmarkDetect(b *testing.B) {
	for _, d := range newDetectors() {
		for _, n := range []int{6, 50, 370} {
			if d.step != nil && n > 50 {
				continue // would be 136,000 heartbeats a second; see BenchmarkCost
			}
			for _, loss := range []int{0, 30} {
				b.Run(fmt.Sprintf("%s/nodes=%d/loss=%d", d.name, n, loss), func(b *testing.B) {
					var first, last []float64
					for i := range b.N {
						x, y := measureDetection(n, uint64(i+1), d, float64(loss)/100)
						first, last = append(first, x), append(last, y)
					}
					reportQuantiles(b, "first-suspects-s", first)
					reportQuantiles(b, "all-dead-s", last)
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// reportQuantiles reports the median and the maximum of the values.
func reportQuantiles(b *testing.B, unit string, values []float64) {
	slices.Sort(values)
	b.ReportMetric(values[len(values)/2], unit+"-p50")
	b.ReportMetric(values[len(values)-1], unit+"-max")
}

func measureDetection(n int, seed uint64, d detector, loss float64) (first, last float64) {
	f := newJoinedFleet(n, seed, d)
	f.lossRate = loss
	victim := f.rng.IntN(n)
	f.run(time.Duration(f.rng.Int64N(int64(time.Second))))
	f.kill(victim)
	died := f.now
	f.onState = func(o *testNode) {
		if s := o.stateOf(victim); first == 0 && s != view.NodeAlive {
			first = f.now.Sub(died).Seconds()
		}
	}
	for !f.allSeeState(victim, view.NodeDead) && f.now.Sub(died) < 3*time.Minute {
		f.run(100 * time.Millisecond)
	}
	return first, f.now.Sub(died).Seconds()
}

func (f *testFleet) allSeeState(i int, want view.NodeState) bool {
	for _, n := range f.nodes {
		if n.isRunning && n.index != i && n.stateOf(i) != want {
			return false
		}
	}
	return true
}

// BenchmarkFalseAlarms counts how often another node suspects a running node or
// considers it dead, while messages are lost and each node is paused for the
// given time about once in two minutes.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, d := range newDetectors() {
		for _, n := range []int{6, 50, 370} {
			if d.step != nil && n > 50 {
				continue
			}
			for _, pause := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
				for _, loss := range []int{0, 10, 30} {
					b.Run(fmt.Sprintf("%s/nodes=%d/pause=%s/loss=%d", d.name, n, pause, loss), func(b *testing.B) {
						var a alarms
						for i := range b.N {
							a.add(countFalseAlarms(n, uint64(i+1), d, pause, float64(loss)/100))
						}
						hours := float64(b.N*n) * falseAlarmRunTime(n).Hours()
						b.ReportMetric(float64(a.suspect)/hours, "suspect/node-hour")
						b.ReportMetric(float64(a.dead)/hours, "dead/node-hour")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}

// falseAlarmRunTime returns the simulated duration of a run of
// BenchmarkFalseAlarms.
func falseAlarmRunTime(n int) time.Duration {
	if n > 50 {
		return time.Minute
	}
	return 10 * time.Minute
}

// alarms counts the members (not pairs) that at least one other node suspected
// or considered dead.
type alarms struct{ suspect, dead int }

func (a *alarms) add(o alarms) { a.suspect += o.suspect; a.dead += o.dead }

func countFalseAlarms(n int, seed uint64, d detector, pause time.Duration, loss float64) alarms {
	f := newJoinedFleet(n, seed, d)
	f.lossRate = loss
	worst := make([]view.NodeState, n) // worst state of each member since all nodes last agreed that it is alive
	var a alarms
	f.onState = func(o *testNode) {
		for i := range n {
			switch s := o.stateOf(i); {
			case s == view.NodeDead && worst[i] != view.NodeDead:
				a.dead++
				worst[i] = s
			case s == view.NodeSuspect && worst[i] == "":
				a.suspect++
				worst[i] = s
			}
		}
	}
	for range int(falseAlarmRunTime(n).Seconds()) {
		for i := range n {
			if pause > 0 && f.rng.Float64() < 1.0/120 && f.now.After(f.nodes[i].pausedUntil) {
				f.pause(i, pause)
			}
			if worst[i] != "" && f.allSeeState(i, view.NodeAlive) {
				worst[i] = ""
			}
		}
		f.run(time.Second)
	}
	return a
}

// BenchmarkCost measures the bytes that one node sends per second, including
// IP, UDP and QUIC overhead, in an idle fleet and in one that adopts a new
// configuration revision every minute.
func BenchmarkCost(b *testing.B) {
	for _, d := range newDetectors()[:4] {
		for _, n := range []int{6, 50, 370} {
			for _, busy := range []bool{false, true} {
				if d.step != nil && (busy || n > 50) {
					continue
				}
				b.Run(fmt.Sprintf("%s/nodes=%d/revisions=%v", d.name, n, busy), func(b *testing.B) {
					const seconds = 60
					bytes, packets := 0, 0
					for i := range b.N {
						f := newJoinedFleet(n, uint64(i+1), d)
						f.bytes, f.packets = 0, 0
						if busy {
							f.announceRevision(2)
						}
						f.run(seconds * time.Second)
						bytes, packets = bytes+f.bytes, packets+f.packets
					}
					per := float64(b.N * n * seconds)
					b.ReportMetric(float64(bytes)/per/1000, "KB/s/node")
					b.ReportMetric(float64(packets)/per, "messages/s/node")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// announceRevision makes every node announce the revision at a random time
// within six seconds.
func (f *testFleet) announceRevision(revision uint64) {
	for _, n := range f.nodes {
		f.schedule(f.now.Add(time.Duration(f.rng.Int64N(int64(6*time.Second)))), n, Announce{Revision: revision})
	}
}

// BenchmarkDissemination measures how long an urgent change (draining) and a
// normal one (a revision that all nodes adopt within 6 s) take to reach all
// nodes.
func BenchmarkDissemination(b *testing.B) {
	for _, n := range []int{6, 50, 370} {
		for _, loss := range []int{0, 30} {
			b.Run(fmt.Sprintf("draining/nodes=%d/loss=%d", n, loss), func(b *testing.B) {
				var durations []float64
				for i := range b.N {
					f := newJoinedFleet(n, uint64(i+1), newDetectors()[0])
					f.lossRate = float64(loss) / 100
					f.execute(f.nodes[0], f.nodes[0].Step(f.now, Announce{Draining: true}))
					durations = append(durations, f.runUntil(func(m *member) bool { return m.VM != vmName(0) || m.Draining }))
				}
				reportQuantiles(b, "all-know-s", durations)
				b.ReportMetric(0, "ns/op")
			})
		}
		b.Run(fmt.Sprintf("revision/nodes=%d", n), func(b *testing.B) {
			var durations []float64
			for i := range b.N {
				f := newJoinedFleet(n, uint64(i+1), newDetectors()[0])
				f.announceRevision(2)
				durations = append(durations, f.runUntil(func(m *member) bool { return m.Revision == 2 }))
			}
			reportQuantiles(b, "all-know-s", durations)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// runUntil runs the fleet until ok is true of every member entry on every node,
// and returns the elapsed time in seconds.
func (f *testFleet) runUntil(ok func(*member) bool) float64 {
	started := f.now
	for f.now.Sub(started) < 3*time.Minute {
		f.run(50 * time.Millisecond)
		if f.allMembers(ok) {
			break
		}
	}
	return f.now.Sub(started).Seconds()
}

func (f *testFleet) allMembers(ok func(*member) bool) bool {
	for _, n := range f.nodes {
		for _, m := range n.members {
			if !ok(m) {
				return false
			}
		}
	}
	return true
}

// BenchmarkStep measures the processor time of a node's ticks and received
// messages.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{6, 50, 370} {
		f := newJoinedFleet(n, 1, newDetectors()[0])
		s := f.nodes[0].State
		now := f.now
		b.Run(fmt.Sprintf("tick/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(s.cfg.TickPeriod)
				s.Step(now, Tick{})
			}
		})
		from := f.nodes[1].self
		ping := Received{From: from.Node(), Message: &Message{Kind: KindPing, Seq: 1, Self: from}}
		b.Run(fmt.Sprintf("ping/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Step(now, ping)
			}
		})
		state := Received{From: from.Node(), Message: &Message{Kind: KindState, Self: from, Entries: f.nodes[1].allEntries()}}
		b.Run(fmt.Sprintf("state/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Step(now, state)
			}
		})
	}
}

// BenchmarkOwner measures choosing an owner and the balance of 100,000
// subjects: the largest share divided by the mean.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{6, 50, 370} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var nodes []fleet.VM
			for i := range n {
				nodes = append(nodes, vmName(i))
			}
			subjects := make([]string, 1024)
			for i := range subjects {
				subjects[i] = fmt.Sprint("group/", rand.Uint32())
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				Owner(subjects[i%len(subjects)], nodes)
				i++
			}
			const drawn = 100_000
			counts := map[fleet.VM]int{}
			for i := range drawn {
				counts[Owner(fmt.Sprint("endpoint/", i), nodes)]++
			}
			most := 0
			for _, c := range counts {
				most = max(most, c)
			}
			b.ReportMetric(float64(most)*float64(n)/drawn, "most/mean")
		})
	}
}
