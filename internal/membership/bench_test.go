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

// heartbeats is the all-to-all baseline: each period every node sends to every
// other one, and who has not been heard of for limit is dead.
func heartbeats(limit time.Duration) func(*testNode, clock.Instant, Event) []Action {
	return func(n *testNode, now clock.Instant, ev Event) []Action {
		s := n.State
		s.actions, s.changed = s.actions[:0], false
		switch e := ev.(type) {
		case Received:
			m := s.members[e.From.VM]
			m.heard = now
			if m.Status != Alive {
				m.Status = Alive
				s.do(Changed{})
			}
		case Tick:
			for _, vm := range s.names {
				if m := s.members[vm]; m.Status == Alive && now.Sub(m.heard) > limit {
					m.Status = Dead
					s.do(Changed{})
				}
			}
			if !now.Before(s.nextProbe) {
				s.nextProbe = now.Add(s.cfg.Period)
				for _, vm := range s.names {
					s.do(Send{To: vm, Message: &Message{Kind: KindGossip, Self: s.self}})
				}
			}
		}
		return s.actions
	}
}

// detector is one way of telling who is alive.
type detector struct {
	name  string
	cfg   Config
	plain func(*testNode, clock.Instant, Event) []Action
}

func detectors() []detector {
	direct := Defaults()
	direct.Indirect, direct.Suspicion = 0, 0
	unhurried := Defaults()
	unhurried.Indirect = 0
	return []detector{
		{name: "swim", cfg: Defaults()},
		{name: "no-indirect", cfg: unhurried},
		{name: "plain-timeout", cfg: direct},
		{name: "all-to-all-3s", cfg: Defaults(), plain: heartbeats(3 * time.Second)},
		{name: "all-to-all-6s", cfg: Defaults(), plain: heartbeats(6 * time.Second)},
	}
}

// acquainted returns a fleet whose nodes all know each other already.
func acquainted(n int, seed uint64, d detector) *testFleet {
	f := newTestFleet(n, seed, d.cfg)
	f.plain = d.plain
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a != b {
				e := b.self
				a.merge(f.now, &e)
			}
		}
		for _, m := range a.members {
			m.heard = f.now
		}
		a.news = newsQueue{}
		a.nextProbe = f.now.Add(time.Duration(f.rng.Int64N(int64(d.cfg.Period))))
	}
	f.run(5 * time.Second)
	return f
}

// BenchmarkDetect measures how long a node that dies goes unnoticed: until the
// first other node suspects it and until the last one counts it dead.
func BenchmarkDetect(b *testing.B) {
	for _, d := range detectors() {
		for _, n := range []int{6, 50, 370} {
			if d.plain != nil && n > 50 {
				continue // 136,000 heartbeats a second: BenchmarkCost shows why not
			}
			for _, loss := range []int{0, 30} {
				b.Run(fmt.Sprintf("%s/nodes=%d/loss=%d", d.name, n, loss), func(b *testing.B) {
					var first, last []float64
					for i := range b.N {
						x, y := detect(n, uint64(i+1), d, float64(loss)/100)
						first, last = append(first, x), append(last, y)
					}
					report(b, "first-suspects-s", first)
					report(b, "all-dead-s", last)
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// report gives median and greatest of the values.
func report(b *testing.B, unit string, values []float64) {
	slices.Sort(values)
	b.ReportMetric(values[len(values)/2], unit+"-p50")
	b.ReportMetric(values[len(values)-1], unit+"-max")
}

func detect(n int, seed uint64, d detector, loss float64) (first, last float64) {
	f := acquainted(n, seed, d)
	f.loss = loss
	victim := f.rng.IntN(n)
	f.run(time.Duration(f.rng.Int64N(int64(time.Second))))
	f.kill(victim)
	died := f.now
	f.onState = func(o *testNode) {
		if s := o.stateOf(victim); first == 0 && s != view.NodeAlive {
			first = f.now.Sub(died).Seconds()
		}
	}
	for !f.allSay(victim, view.NodeDead) && f.now.Sub(died) < 3*time.Minute {
		f.run(100 * time.Millisecond)
	}
	return first, f.now.Sub(died).Seconds()
}

func (f *testFleet) allSay(i int, want view.NodeState) bool {
	for _, n := range f.nodes {
		if n.up && n.index != i && n.stateOf(i) != want {
			return false
		}
	}
	return true
}

// BenchmarkFalseAlarms counts how often a running node is suspected or counted
// dead by another while messages are lost and each node is paused for the given
// time about once in two minutes.
func BenchmarkFalseAlarms(b *testing.B) {
	for _, d := range detectors() {
		for _, n := range []int{6, 50, 370} {
			if d.plain != nil && n > 50 {
				continue
			}
			for _, pause := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
				for _, loss := range []int{0, 10, 30} {
					b.Run(fmt.Sprintf("%s/nodes=%d/pause=%s/loss=%d", d.name, n, pause, loss), func(b *testing.B) {
						var a alarms
						for i := range b.N {
							a.add(falseAlarms(n, uint64(i+1), d, pause, float64(loss)/100))
						}
						hours := float64(b.N*n) * alarmTime(n).Hours()
						b.ReportMetric(float64(a.suspect)/hours, "suspect/node-hour")
						b.ReportMetric(float64(a.dead)/hours, "dead/node-hour")
						b.ReportMetric(0, "ns/op")
					})
				}
			}
		}
	}
}

// alarmTime is how long a run of BenchmarkFalseAlarms lasts, in the fleet's time.
func alarmTime(n int) time.Duration {
	if n > 50 {
		return time.Minute
	}
	return 10 * time.Minute
}

// alarms counts members (not pairs) that some other node began to suspect or to
// count dead.
type alarms struct{ suspect, dead int }

func (a *alarms) add(o alarms) { a.suspect += o.suspect; a.dead += o.dead }

func falseAlarms(n int, seed uint64, d detector, pause time.Duration, loss float64) alarms {
	f := acquainted(n, seed, d)
	f.loss = loss
	worst := make([]view.NodeState, n) // of each member, since all agreed last
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
	for range int(alarmTime(n).Seconds()) {
		for i := range n {
			if pause > 0 && f.rng.Float64() < 1.0/120 && f.now.After(f.nodes[i].paused) {
				f.pause(i, pause)
			}
			if worst[i] != "" && f.allSay(i, view.NodeAlive) {
				worst[i] = ""
			}
		}
		f.run(time.Second)
	}
	return a
}

// BenchmarkCost measures the bytes that one node sends in a second, with what
// IP, UDP and QUIC add, in a quiet fleet and in one that takes a new
// configuration revision every minute.
func BenchmarkCost(b *testing.B) {
	for _, d := range detectors()[:4] {
		for _, n := range []int{6, 50, 370} {
			for _, busy := range []bool{false, true} {
				if d.plain != nil && (busy || n > 50) {
					continue
				}
				b.Run(fmt.Sprintf("%s/nodes=%d/revisions=%v", d.name, n, busy), func(b *testing.B) {
					const seconds = 60
					bytes, packets := 0, 0
					for i := range b.N {
						f := acquainted(n, uint64(i+1), d)
						f.bytes, f.packets = 0, 0
						if busy {
							f.revise(2)
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

// revise gives every node the revision within six seconds.
func (f *testFleet) revise(revision uint64) {
	for _, n := range f.nodes {
		f.at(f.now.Add(time.Duration(f.rng.Int64N(int64(6*time.Second)))), n, Announce{Revision: revision})
	}
}

// BenchmarkSpread measures how long an urgent change (draining) and a minor one
// (a revision that all nodes take within 6 s) need to reach all nodes.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{6, 50, 370} {
		for _, loss := range []int{0, 30} {
			b.Run(fmt.Sprintf("draining/nodes=%d/loss=%d", n, loss), func(b *testing.B) {
				var took []float64
				for i := range b.N {
					f := acquainted(n, uint64(i+1), detectors()[0])
					f.loss = float64(loss) / 100
					f.act(f.nodes[0], f.nodes[0].Step(f.now, Announce{Draining: true}))
					took = append(took, f.until(func(m *member) bool { return m.VM != vmName(0) || m.Draining }))
				}
				report(b, "all-know-s", took)
				b.ReportMetric(0, "ns/op")
			})
		}
		b.Run(fmt.Sprintf("revision/nodes=%d", n), func(b *testing.B) {
			var took []float64
			for i := range b.N {
				f := acquainted(n, uint64(i+1), detectors()[0])
				f.revise(2)
				took = append(took, f.until(func(m *member) bool { return m.Revision == 2 }))
			}
			report(b, "all-know-s", took)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// until runs until every node's belief of every member is ok, and tells how
// many seconds that took.
func (f *testFleet) until(ok func(*member) bool) float64 {
	begun := f.now
	for f.now.Sub(begun) < 3*time.Minute {
		f.run(50 * time.Millisecond)
		if f.every(ok) {
			break
		}
	}
	return f.now.Sub(begun).Seconds()
}

func (f *testFleet) every(ok func(*member) bool) bool {
	for _, n := range f.nodes {
		for _, m := range n.members {
			if !ok(m) {
				return false
			}
		}
	}
	return true
}

// BenchmarkStep measures the processor time of one node's ticks and messages.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{6, 50, 370} {
		f := acquainted(n, 1, detectors()[0])
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
		state := Received{From: from.Node(), Message: &Message{Kind: KindState, Self: from, Entries: f.nodes[1].all()}}
		b.Run(fmt.Sprintf("state/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.Step(now, state)
			}
		})
	}
}

// BenchmarkOwner measures the owner's choice and how evenly 100,000 subjects
// fall: the greatest share over the mean.
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
