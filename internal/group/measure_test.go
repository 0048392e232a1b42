package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/view"
)

// darkZone is a zone of vms VMs in fabric domains of 48 with groups of 8, one
// domain of which has just gone dark.
func darkZone(tb testing.TB, vms, groups int) *world {
	var sizes []int
	for left := vms; left > 0; left -= 48 {
		sizes = append(sizes, min(48, left))
	}
	w := newWorld(specs(spec("a", 8, groups)), sizes...)
	w.settle(tb, 10)
	var dark []fleet.VM
	for vm, v := range w.vms {
		if v.Record.Domain == "z-d0" {
			dark = append(dark, vm)
		}
	}
	w.kill(dark...)
	return w
}

// BenchmarkPlanAfterADarkDomain makes one plan for all groups of a zone after
// one fabric domain has gone dark.
func BenchmarkPlanAfterADarkDomain(b *testing.B) {
	for _, c := range []struct{ vms, groups int }{{50, 4}, {200, 18}, {600, 65}, {600, 75}} {
		b.Run(fmt.Sprintf("%dvms-%dgroups", c.vms, c.groups), func(b *testing.B) {
			w := darkZone(b, c.vms, c.groups)
			in := Input{
				Now: w.now, Snap: w.snapshot(), Claims: w.claims, Groups: w.groups, Targets: w.wants,
				Grant: w.grant, Tune: w.tune,
			}
			changes := 0
			b.ReportAllocs()
			for b.Loop() {
				changes = len(Make(&in, NewMemory()).Changes)
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}

// measureSim is a zone with one node that is stepped more finely.
func measureSim(d *config.Document, loadTicks int, sizes ...int) *sim {
	s := newSim(d, 1, loadTicks, true, sizes...)
	s.tick, s.trusted = 50*time.Millisecond, true
	return s
}

func (s *sim) tune(t Tune) { s.nodes[0].rec.Tune = t }

// BenchmarkDetection reports, for each setting of the detection, the time from
// the death of a member until its group is whole again with a spare (weights
// load for 2 s), and how many of 20 pauses of a member, 0.2 s to 2 s long, cost
// a needless new generation. Probes go out every 300 ms, plans are made every
// 200 ms; the moment of the fault is random.
func BenchmarkDetection(b *testing.B) {
	for _, c := range []struct {
		after  time.Duration
		probes int
	}{{300 * time.Millisecond, 1}, {600 * time.Millisecond, 2}, {time.Second, 3}, {1500 * time.Millisecond, 3}, {3 * time.Second, 3}} {
		b.Run(fmt.Sprintf("dead-after-%v-%d-probes", c.after, c.probes), func(b *testing.B) {
			tune := DefaultTune()
			tune.DeadAfter, tune.DeadProbes = c.after, c.probes
			var took []time.Duration
			needless := 0
			for n := range b.N {
				for seed := range uint64(20) {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					took = append(took, deathToWhole(rng, tune))
					needless += pauseCost(rng, tune)
				}
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
			b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
			b.ReportMetric(float64(needless)/float64(b.N), "needless/20")
		})
	}
}

func startMeasured(rng *rand.Rand, tune Tune) *sim {
	s := measureSim(doc(8, 1), 7, 10)
	s.nodes[0].every = 6 // of 50 ms: probes each 300 ms
	s.nodes[0].planEvery = 4
	s.tune(tune)
	s.run(10*time.Second + time.Duration(rng.Int64N(600))*time.Millisecond)
	return s
}

func deathToWhole(rng *rand.Rand, tune Tune) time.Duration {
	s := startMeasured(rng, tune)
	g := serving(s.nodes[0].Snapshot())[0]
	s.engines.byAddr[g.Members[rng.IntN(8)].Addr].dead = true
	died := s.clk.Now()
	for {
		s.run(s.tick)
		if now := serving(s.nodes[0].Snapshot()); len(now) == 1 && now[0].Generation > g.Generation {
			return s.clk.Now().Sub(died)
		}
	}
}

// pauseCost returns 1 when a pause of a member led to a new generation.
func pauseCost(rng *rand.Rand, tune Tune) int {
	s := startMeasured(rng, tune)
	g := serving(s.nodes[0].Snapshot())[0]
	e := s.engines.byAddr[g.Members[rng.IntN(8)].Addr]
	e.dead = true
	s.run(200*time.Millisecond + time.Duration(rng.Int64N(1800))*time.Millisecond)
	e.dead = false
	s.run(5 * time.Second)
	for _, row := range s.rows().groups {
		if row.Group.Generation > g.Generation {
			return 1
		}
	}
	return 0
}

// BenchmarkHolderDiesToo reports the time from the death of a member until its
// group is whole again when the node that holds the zone's lease dies in the same
// moment, for two terms of the lease and for a successor that comes first in rank
// or second, as long as the others have not noticed that the holder is dead.
func BenchmarkHolderDiesToo(b *testing.B) {
	for _, term := range []time.Duration{3 * time.Second, 6 * time.Second} {
		for _, rank := range []int{0, 1} {
			b.Run(fmt.Sprintf("term-%v/rank-%d", term, rank), func(b *testing.B) {
				var took []time.Duration
				for n := range b.N {
					for seed := range uint64(20) {
						took = append(took, holderDies(rand.New(rand.NewPCG(seed, uint64(n))), term, rank))
					}
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
				b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
			})
		}
	}
}

func holderDies(rng *rand.Rand, term time.Duration, rank int) time.Duration {
	s := newSim(doc(8, 1), 2, 7, true, 10)
	s.tick, s.trusted = 50*time.Millisecond, true
	for i, n := range s.nodes {
		n.every, n.planEvery = 6, 4
		n.lease.Params = lease.DefaultParams(term)
		n.lease.Rank = func() int { return i * rank }
	}
	s.run(15*time.Second + time.Duration(rng.Int64N(int64(term))))
	holder := s.holder()
	other := s.nodes[1-holder]
	g := serving(other.Snapshot())[0]
	s.nodes[holder].paused = true
	s.engines.byAddr[g.Members[rng.IntN(8)].Addr].dead = true
	died := s.clk.Now()
	for {
		s.run(s.tick)
		if now := serving(other.Snapshot()); len(now) == 1 && now[0].Generation > g.Generation {
			return s.clk.Now().Sub(died)
		}
	}
}

// BenchmarkLoadsAfterADarkDomain lets a domain with six groups of eight go dark
// beside a free one, with a weight store that serves 16 VMs at full speed, 5 s
// each, and reports when the groups serve again: the mean, the first and the
// last, and the most VMs that loaded at once.
func BenchmarkLoadsAfterADarkDomain(b *testing.B) {
	for _, bound := range []int{8, 16, 24, 1000} {
		b.Run(fmt.Sprintf("at-once-%d", bound), func(b *testing.B) {
			var all loadResult
			for n := range b.N {
				all.add(loadsAfterDark(bound, uint64(n)))
			}
			b.ReportMetric(all.mean/float64(b.N), "mean-s")
			b.ReportMetric(all.first/float64(b.N), "first-s")
			b.ReportMetric(all.last/float64(b.N), "last-s")
			b.ReportMetric(float64(all.most), "most-at-once")
		})
	}
}

type loadResult struct {
	mean, first, last float64
	most              int
}

func (r *loadResult) add(o loadResult) {
	r.mean += o.mean
	r.first += o.first
	r.last += o.last
	r.most = max(r.most, o.most)
}

func loadsAfterDark(bound int, seed uint64) loadResult {
	const groups = 6
	s := measureSim(doc(8, groups), 100, 48, 48)
	s.doc.Objective = config.Objective{DowntimeWeight: 1, StrandingWeight: 1}
	tune := DefaultTune()
	s.tune(tune)
	s.nodes[0].every, s.nodes[0].planEvery = 6, 4
	for _, r := range s.list { // all groups are formed in the first domain
		if r.Domain == "z-d1" {
			s.engines.byAddr[r.Addr].dead = true
		}
	}
	s.run(time.Minute + time.Duration(seed%6)*50*time.Millisecond)
	s.engines.store = 16
	tune.LoadsAtOnce = bound
	s.tune(tune)
	for _, r := range s.list {
		s.engines.byAddr[r.Addr].dead = r.Domain == "z-d0"
	}
	began := s.clk.Now()
	var done []float64
	r := loadResult{}
	for len(done) < groups {
		s.run(s.tick)
		n := 0
		for _, g := range serving(s.nodes[0].Snapshot()) {
			if g.Domain == "z-d1" {
				n++
			}
		}
		for len(done) < n {
			done = append(done, s.clk.Now().Sub(began).Seconds())
		}
		loading := 0
		for _, e := range s.engines.byAddr {
			if e.left > 0 && !e.dead {
				loading++
			}
		}
		r.most = max(r.most, loading)
	}
	for _, d := range done {
		r.mean += d / groups
	}
	r.first, r.last = done[0], done[groups-1]
	return r
}

// BenchmarkStranding plays 1000 random changes of the wanted replicas over ten
// domains of odd sizes, for twelve seeds, and reports for each placement the mean
// number of free VMs that wanted replicas could have used were they not spread
// over remainders, and the mean share of a model's replicas in its fullest
// domain. All placements see the same changes.
func BenchmarkStranding(b *testing.B) {
	for _, sizes := range [][]int{{8, 5, 4, 2}, {8, 6}, {16, 8, 3}} {
		for _, policy := range []string{"first-fit", "best-fit", "planner"} {
			b.Run(fmt.Sprintf("%v/%s", sizes, policy), func(b *testing.B) {
				const seeds = 12
				var stranded, together []float64
				for range b.N {
					stranded, together = nil, nil
					for seed := range uint64(seeds) {
						y := playYard(policy, sizes, seed)
						stranded = append(stranded, y.stranded)
						together = append(together, y.together)
					}
				}
				b.ReportMetric(mean(stranded), "strandedVMs")
				b.ReportMetric(slices.Min(stranded), "least")
				b.ReportMetric(slices.Max(stranded), "most")
				b.ReportMetric(mean(together), "together")
			})
		}
	}
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(len(x))
}

// yard places replicas without the rest of the control path.
type yard struct {
	p                  *planner
	vms                int
	want               []int
	have               [][][]*view.VM
	stranded, together float64
}

func playYard(policy string, sizes []int, seed uint64) *yard {
	const changes = 1000
	wants, picks := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	y := newYard(sizes, wants)
	counted := 0
	for range changes {
		i := wants.IntN(len(sizes))
		y.want[i] = wants.IntN(2*y.vms/len(sizes)/sizes[i] + 1)
		y.shrink(i, picks)
		if short := y.grow(policy); short > 0 {
			y.stranded += float64(min(short, y.freeVMs())) / changes
		}
		for i := range y.have {
			if len(y.have[i]) > 1 {
				y.together += y.fullest(i)
				counted++
			}
		}
	}
	y.together /= float64(counted)
	return y
}

func newYard(sizes []int, rng *rand.Rand) *yard {
	d := specs()
	for i, n := range sizes {
		d.Groups = append(d.Groups, spec(fmt.Sprint(i), n, 0))
	}
	d.Objective = config.Objective{DowntimeWeight: 10, StrandingWeight: 1}
	y := &yard{want: make([]int, len(sizes)), have: make([][][]*view.VM, len(sizes))}
	var domains []int
	for range 10 {
		domains = append(domains, 10+rng.IntN(30))
		y.vms += domains[len(domains)-1]
	}
	w := newWorld(d, domains...)
	y.p = newPlanner(&Input{Now: w.now, Snap: w.snapshot(), Claims: w.claims, Tune: w.tune}, w.mem)
	y.p.collectFree()
	y.p.collectItems()
	return y
}

func (y *yard) freeVMs() int {
	n := 0
	for _, vms := range y.p.free {
		n += len(vms)
	}
	return n
}

// shrink frees the surplus replicas of a spec, whichever are done first.
func (y *yard) shrink(i int, rng *rand.Rand) {
	for len(y.have[i]) > y.want[i] {
		k := rng.IntN(len(y.have[i]))
		for _, v := range y.have[i][k] {
			y.p.free[v.Record.Domain] = append(y.p.free[v.Record.Domain], v)
		}
		y.have[i] = slices.Delete(y.have[i], k, k+1)
	}
}

// grow places what is wanted, the largest first, and returns how many VMs' worth
// of replicas found no room.
func (y *yard) grow(policy string) int {
	short := 0
	for i := range y.want {
		s := &y.p.doc.Groups[i]
		for len(y.have[i]) < y.want[i] {
			vms := y.place(policy, s, i)
			if vms == nil {
				short += (y.want[i] - len(y.have[i])) * s.VMs
				break
			}
			y.p.takeSpares(vms)
			y.have[i] = append(y.have[i], vms)
		}
	}
	return short
}

func (y *yard) place(policy string, s *config.GroupSpec, i int) []*view.VM {
	if policy == "planner" {
		return y.p.placeIn(s, y.perDomain(i))
	}
	best := fleet.FabricDomain("")
	for d := range 10 {
		name := fleet.FabricDomain(fmt.Sprintf("z-d%d", d))
		n := len(y.p.free[name])
		if n < s.VMs || best != "" && (policy == "first-fit" || n >= len(y.p.free[best])) {
			continue
		}
		best = name
	}
	if best == "" {
		return nil
	}
	return slices.Clone(y.p.free[best][:s.VMs])
}

func (y *yard) perDomain(i int) map[fleet.FabricDomain]int {
	n := map[fleet.FabricDomain]int{}
	for _, vms := range y.have[i] {
		n[vms[0].Record.Domain]++
	}
	return n
}

// fullest is the share of the spec's replicas in the domain with most of them.
func (y *yard) fullest(i int) float64 {
	most := 0
	for _, n := range y.perDomain(i) {
		most = max(most, n)
	}
	return float64(most) / float64(len(y.have[i]))
}
