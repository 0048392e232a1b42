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

// newZoneWithDomainOutage returns a zone with vms VMs in fabric domains of 48 and
// groups of 8 VMs; all VMs of one domain have just died.
func newZoneWithDomainOutage(tb testing.TB, vms, groups int) *world {
	var sizes []int
	for remaining := vms; remaining > 0; remaining -= 48 {
		sizes = append(sizes, min(48, remaining))
	}
	w := newWorld(specs(spec("a", 8, groups)), sizes...)
	w.settle(tb, 10)
	var dead []fleet.VM
	for vm, v := range w.vms {
		if v.Record.Domain == "z-d0" {
			dead = append(dead, vm)
		}
	}
	w.failProbes(dead...)
	return w
}

// BenchmarkPlanAfterDomainOutage makes one plan for all groups of a zone after the
// outage of one fabric domain.
func BenchmarkPlanAfterDomainOutage(b *testing.B) {
	for _, c := range []struct{ vms, groups int }{{50, 4}, {200, 18}, {600, 65}, {600, 75}} {
		b.Run(fmt.Sprintf("%dvms-%dgroups", c.vms, c.groups), func(b *testing.B) {
			w := newZoneWithDomainOutage(b, c.vms, c.groups)
			in := Input{
				Now: w.now, Snap: w.snapshot(), Claims: w.claims, Groups: w.groups, Targets: w.targets,
				Grant: w.grant, Params: w.tune,
			}
			changes := 0
			b.ReportAllocs()
			for b.Loop() {
				changes = len(MakePlan(&in, NewMemory()).Changes)
			}
			b.ReportMetric(float64(changes), "changes")
		})
	}
}

// newMeasurementSim returns a simulation of one node with steps of 50 ms and
// without checks of the invariants.
func newMeasurementSim(d *config.Document, loadTicks int, sizes ...int) *sim {
	s := newSim(d, 1, loadTicks, true, sizes...)
	s.stepInterval, s.unchecked = 50*time.Millisecond, true
	return s
}

func (s *sim) tune(t Params) { s.nodes[0].rec.Params = t }

// BenchmarkDetection reports, for each setting of the failure detection, the time
// from the death of a member until its group serves again with a spare (loading
// weights takes 2 s), and how many of 20 pauses of a member of 0.2 s to 2 s cause
// a needless new generation. Probes are sent every 300 ms and plans made every
// 200 ms; the time of the fault is random.
func BenchmarkDetection(b *testing.B) {
	for _, c := range []struct {
		after  time.Duration
		probes int
	}{{300 * time.Millisecond, 1}, {600 * time.Millisecond, 2}, {time.Second, 3}, {1500 * time.Millisecond, 3}, {3 * time.Second, 3}} {
		b.Run(fmt.Sprintf("dead-after-%v-%d-probes", c.after, c.probes), func(b *testing.B) {
			tune := DefaultParams()
			tune.DeadAfter, tune.DeadProbes = c.after, c.probes
			var took []time.Duration
			needless := 0
			for n := range b.N {
				for seed := range uint64(20) {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					took = append(took, timeToRepair(rng, tune))
					needless += countNeedlessRepair(rng, tune)
				}
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
			b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
			b.ReportMetric(float64(needless)/float64(b.N), "needless/20")
		})
	}
}

func newDetectionSim(rng *rand.Rand, tune Params) *sim {
	s := newMeasurementSim(testDocument(8, 1), 7, 10)
	s.nodes[0].probeEvery = 6 // steps of 50 ms: a probe every 300 ms
	s.nodes[0].planEvery = 4
	s.tune(tune)
	s.run(10*time.Second + time.Duration(rng.Int64N(600))*time.Millisecond)
	return s
}

func timeToRepair(rng *rand.Rand, tune Params) time.Duration {
	s := newDetectionSim(rng, tune)
	g := servingGroups(s.nodes[0].Snapshot())[0]
	s.engines.byAddr[g.Members[rng.IntN(8)].Addr].dead = true
	died := s.clk.Now()
	for {
		s.run(s.stepInterval)
		if now := servingGroups(s.nodes[0].Snapshot()); len(now) == 1 && now[0].Generation > g.Generation {
			return s.clk.Now().Sub(died)
		}
	}
}

// countNeedlessRepair returns 1 if a pause of a member led to a new generation,
// else 0.
func countNeedlessRepair(rng *rand.Rand, tune Params) int {
	s := newDetectionSim(rng, tune)
	g := servingGroups(s.nodes[0].Snapshot())[0]
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

// BenchmarkHolderAndMemberDie reports the time from the death of a member until
// its group serves again when the node that holds the zone's lease dies at the
// same time. It covers two lease terms, and a successor of rank 0 and of rank 1,
// the rank it has until the others have detected the holder's death.
func BenchmarkHolderAndMemberDie(b *testing.B) {
	for _, term := range []time.Duration{3 * time.Second, 6 * time.Second} {
		for _, rank := range []int{0, 1} {
			b.Run(fmt.Sprintf("term-%v/rank-%d", term, rank), func(b *testing.B) {
				var took []time.Duration
				for n := range b.N {
					for seed := range uint64(20) {
						took = append(took, timeToRepairWithHolderDead(rand.New(rand.NewPCG(seed, uint64(n))), term, rank))
					}
				}
				slices.Sort(took)
				b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
				b.ReportMetric(took[len(took)-1].Seconds(), "max-s")
			})
		}
	}
}

func timeToRepairWithHolderDead(rng *rand.Rand, term time.Duration, rank int) time.Duration {
	s := newSim(testDocument(8, 1), 2, 7, true, 10)
	s.stepInterval, s.unchecked = 50*time.Millisecond, true
	for i, n := range s.nodes {
		n.probeEvery, n.planEvery = 6, 4
		n.lease.Params = lease.DefaultParams(term)
		n.lease.Rank = func() int { return i * rank }
	}
	s.run(15*time.Second + time.Duration(rng.Int64N(int64(term))))
	holder := s.holder()
	other := s.nodes[1-holder]
	g := servingGroups(other.Snapshot())[0]
	s.nodes[holder].paused = true
	s.engines.byAddr[g.Members[rng.IntN(8)].Addr].dead = true
	died := s.clk.Now()
	for {
		s.run(s.stepInterval)
		if now := servingGroups(other.Snapshot()); len(now) == 1 && now[0].Generation > g.Generation {
			return s.clk.Now().Sub(died)
		}
	}
}

// BenchmarkLoadsAfterDomainOutage simulates the outage of a domain with six groups
// of eight VMs while another domain is free. The weight store serves 16 VMs at
// full speed, which load for 5 s each. It reports the mean, first and last time
// at which a group serves again, and the maximum number of concurrent loads.
func BenchmarkLoadsAfterDomainOutage(b *testing.B) {
	for _, bound := range []int{8, 16, 24, 1000} {
		b.Run(fmt.Sprintf("at-once-%d", bound), func(b *testing.B) {
			var all loadResult
			for n := range b.N {
				all.add(loadsAfterDomainOutage(bound, uint64(n)))
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

func loadsAfterDomainOutage(bound int, seed uint64) loadResult {
	const groups = 6
	s := newMeasurementSim(testDocument(8, groups), 100, 48, 48)
	s.doc.Objective = config.Objective{DowntimeWeight: 1, StrandingWeight: 1}
	tune := DefaultParams()
	s.tune(tune)
	s.nodes[0].probeEvery, s.nodes[0].planEvery = 6, 4
	for _, r := range s.list { // with the second domain down, all groups form in the first
		if r.Domain == "z-d1" {
			s.engines.byAddr[r.Addr].dead = true
		}
	}
	s.run(time.Minute + time.Duration(seed%6)*50*time.Millisecond)
	s.engines.storeRate = 16
	tune.MaxConcurrentLoads = bound
	s.tune(tune)
	for _, r := range s.list {
		s.engines.byAddr[r.Addr].dead = r.Domain == "z-d0"
	}
	began := s.clk.Now()
	var done []float64
	r := loadResult{}
	for len(done) < groups {
		s.run(s.stepInterval)
		n := 0
		for _, g := range servingGroups(s.nodes[0].Snapshot()) {
			if g.Domain == "z-d1" {
				n++
			}
		}
		for len(done) < n {
			done = append(done, s.clk.Now().Sub(began).Seconds())
		}
		loading := 0
		for _, e := range s.engines.byAddr {
			if e.ticksLeft > 0 && !e.dead {
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

// BenchmarkStranding applies 1000 random changes of the wanted replicas to ten
// domains of random sizes, for twelve seeds. For each placement policy it reports
// the mean number of free VMs that wanted replicas could not use because the VMs
// were spread over several domains, and the mean share of a spec's replicas in
// the domain with the most of them. All policies get the same changes.
func BenchmarkStranding(b *testing.B) {
	for _, sizes := range [][]int{{8, 5, 4, 2}, {8, 6}, {16, 8, 3}} {
		for _, policy := range []string{"first-fit", "best-fit", "planner"} {
			b.Run(fmt.Sprintf("%v/%s", sizes, policy), func(b *testing.B) {
				const seeds = 12
				var stranded, together []float64
				for range b.N {
					stranded, together = nil, nil
					for seed := range uint64(seeds) {
						tr := runPlacementTrial(policy, sizes, seed)
						stranded = append(stranded, tr.stranded)
						together = append(together, tr.concentration)
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

// placementTrial runs a placement policy without the rest of the control path.
type placementTrial struct {
	p                       *planner
	vms                     int
	wanted                  []int
	placed                  [][][]*view.VM
	stranded, concentration float64
}

func runPlacementTrial(policy string, sizes []int, seed uint64) *placementTrial {
	const changes = 1000
	wants, picks := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	tr := newPlacementTrial(sizes, wants)
	counted := 0
	for range changes {
		i := wants.IntN(len(sizes))
		tr.wanted[i] = wants.IntN(2*tr.vms/len(sizes)/sizes[i] + 1)
		tr.shrink(i, picks)
		if short := tr.grow(policy); short > 0 {
			tr.stranded += float64(min(short, tr.freeVMs())) / changes
		}
		for i := range tr.placed {
			if len(tr.placed[i]) > 1 {
				tr.concentration += tr.maxDomainShare(i)
				counted++
			}
		}
	}
	tr.concentration /= float64(counted)
	return tr
}

func newPlacementTrial(sizes []int, rng *rand.Rand) *placementTrial {
	d := specs()
	for i, n := range sizes {
		d.Groups = append(d.Groups, spec(fmt.Sprint(i), n, 0))
	}
	d.Objective = config.Objective{DowntimeWeight: 10, StrandingWeight: 1}
	tr := &placementTrial{wanted: make([]int, len(sizes)), placed: make([][][]*view.VM, len(sizes))}
	var domains []int
	for range 10 {
		domains = append(domains, 10+rng.IntN(30))
		tr.vms += domains[len(domains)-1]
	}
	w := newWorld(d, domains...)
	tr.p = newPlanner(&Input{Now: w.now, Snap: w.snapshot(), Claims: w.claims, Params: w.tune}, w.mem)
	tr.p.collectFreeVMs()
	tr.p.assessGroups()
	return tr
}

func (tr *placementTrial) freeVMs() int {
	n := 0
	for _, vms := range tr.p.freeVMs {
		n += len(vms)
	}
	return n
}

// shrink frees the surplus replicas of a spec, chosen at random.
func (tr *placementTrial) shrink(i int, rng *rand.Rand) {
	for len(tr.placed[i]) > tr.wanted[i] {
		k := rng.IntN(len(tr.placed[i]))
		for _, v := range tr.placed[i][k] {
			tr.p.freeVMs[v.Record.Domain] = append(tr.p.freeVMs[v.Record.Domain], v)
		}
		tr.placed[i] = slices.Delete(tr.placed[i], k, k+1)
	}
}

// grow places the missing replicas, the largest specs first, and returns the number
// of VMs of the replicas that could not be placed.
func (tr *placementTrial) grow(policy string) int {
	short := 0
	for i := range tr.wanted {
		s := &tr.p.doc.Groups[i]
		for len(tr.placed[i]) < tr.wanted[i] {
			vms := tr.place(policy, s, i)
			if vms == nil {
				short += (tr.wanted[i] - len(tr.placed[i])) * s.VMs
				break
			}
			tr.p.removeFree(vms)
			tr.placed[i] = append(tr.placed[i], vms)
		}
	}
	return short
}

func (tr *placementTrial) place(policy string, s *config.GroupSpec, i int) []*view.VM {
	if policy == "planner" {
		return tr.p.chooseInDomain(s, tr.countPerDomain(i))
	}
	best := fleet.FabricDomain("")
	for d := range 10 {
		name := fleet.FabricDomain(fmt.Sprintf("z-d%d", d))
		n := len(tr.p.freeVMs[name])
		if n < s.VMs || best != "" && (policy == "first-fit" || n >= len(tr.p.freeVMs[best])) {
			continue
		}
		best = name
	}
	if best == "" {
		return nil
	}
	return slices.Clone(tr.p.freeVMs[best][:s.VMs])
}

func (tr *placementTrial) countPerDomain(i int) map[fleet.FabricDomain]int {
	n := map[fleet.FabricDomain]int{}
	for _, vms := range tr.placed[i] {
		n[vms[0].Record.Domain]++
	}
	return n
}

// maxDomainShare returns the share of the spec's replicas in the domain with the
// most of them.
func (tr *placementTrial) maxDomainShare(i int) float64 {
	most := 0
	for _, n := range tr.countPerDomain(i) {
		most = max(most, n)
	}
	return float64(most) / float64(len(tr.placed[i]))
}
