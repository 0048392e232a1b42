package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// The simulated fleet: three zones with VMs for six replicas each; a replica has
// four VMs with two accelerators per VM.
const (
	traceVMs          = 4
	traceAccelerators = 2
	traceMax          = 16
	traceZoneVMs      = 24
	formMinutes       = 4
	drainMinutes      = 2
	repairMinutes     = 5
	failureHours      = 36 // mean time between failures of a replica
	trainingWeeks     = 3
	busyDemand        = 48.0
	holidayDay        = 3 // Wednesday
	raceDay           = 4 // Thursday
)

var (
	sagarmatha = config.Objective{DowntimeWeight: 100, StrandingWeight: 1}
	lapwise    = config.Objective{DowntimeWeight: 10, StrandingWeight: 1}
	traceStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC) // a Sunday
)

// baselineDemand returns the demand of a normal week: half at night, less on
// Saturdays.
func baselineDemand(at time.Time) float64 {
	h := float64(at.Hour()) + float64(at.Minute())/60
	day := ramp(h, 7.5, 9.5) * (1 - ramp(h, 17.5, 20))
	if at.Weekday() == time.Saturday {
		day *= 0.4
	}
	return busyDemand * (0.5 + 0.5*day)
}

func ramp(h, from, to float64) float64 { return min(max((h-from)/(to-from), 0), 1) }

// specialDayFactor returns the factor on the demand of the simulated week: a
// holiday with half the demand, and a race day with a peak in the evening.
func specialDayFactor(at time.Time) float64 {
	h := float64(at.Hour()) + float64(at.Minute())/60
	switch int(at.Weekday()) {
	case holidayDay:
		return 1 - 0.5*ramp(h, 7.5, 9.5)
	case raceDay:
		return 1 + 1.2*ramp(h, 15, 16)*(1-ramp(h, 21, 22))
	}
	return 1
}

// trace is the demand by minute of one week and of the weeks before it, and the
// failures of that week.
type trace struct {
	training []float64
	week     []float64
	failures []failure
}

// failure is the failure of a number of serving replicas at a minute.
type failure struct{ minute, replicas int }

func newTrace(seed uint64) *trace {
	rng := rand.New(rand.NewPCG(seed, 7))
	t := &trace{}
	noise, level := 0.0, 1.0
	for m := range (trainingWeeks + 1) * 7 * 24 * 60 {
		at := traceStart.Add(time.Duration(m) * time.Minute)
		if m%(24*60) == 0 {
			level = math.Exp(0.07 * rng.NormFloat64())
		}
		noise = 0.9*noise + 0.03*rng.NormFloat64()
		d := baselineDemand(at) * level * (1 + noise)
		if m < trainingWeeks*7*24*60 {
			t.training = append(t.training, d)
			continue
		}
		t.week = append(t.week, d*specialDayFactor(at))
	}
	t.addFailures(rng)
	return t
}

// addFailures draws failures of single replicas, for 18 replicas, and one outage of
// a fabric domain that stops three at once.
func (t *trace) addFailures(rng *rand.Rand) {
	outage := (24 + rng.IntN(5*24)) * 60
	for m := range t.week {
		n := 0
		for range 18 {
			if rng.Float64() < 1.0/(failureHours*60) {
				n++
			}
		}
		if m == outage {
			n += 3
		}
		if n > 0 {
			t.failures = append(t.failures, failure{m, n})
		}
	}
}

// simulatedFleet counts the replicas of the fleet by state as it follows the
// targets.
type simulatedFleet struct {
	serving   int
	forming   []int // minutes left of each replica
	repairing []int
	draining  []int
	downtime  float64 // seconds
	stranded  float64 // accelerator-seconds
	moves     int
}

func (s *simulatedFleet) existing() int { return s.serving + len(s.forming) + len(s.repairing) }

func (s *simulatedFleet) applyTarget(want int) {
	for s.existing() < want {
		s.forming = append(s.forming, formMinutes)
		s.moves++
	}
	for s.existing() > want && s.serving > 0 {
		s.serving--
		s.draining = append(s.draining, drainMinutes)
		s.moves++
	}
}

func (s *simulatedFleet) fail(n int) {
	// Failures are drawn for 18 replicas; only those that exist can fail.
	for range n {
		if s.serving > 0 {
			s.serving--
			s.repairing = append(s.repairing, repairMinutes)
		}
	}
}

func (s *simulatedFleet) stepMinute(demand float64) {
	need := min(int(math.Ceil(demand/(DefaultSlotsPerReplica*targetUtilization))), traceMax)
	held := s.existing() + len(s.draining)
	s.downtime += 60 * float64(max(0, need-s.serving))
	s.stranded += 60 * traceVMs * traceAccelerators * float64(max(0, held-need))
	s.serving += advanceMinute(&s.forming) + advanceMinute(&s.repairing)
	advanceMinute(&s.draining)
}

// advanceMinute reduces the minutes left by one, removes the completed entries and
// returns their number.
func advanceMinute(left *[]int) int {
	done, rest := 0, (*left)[:0]
	for _, m := range *left {
		if m > 1 {
			rest = append(rest, m-1)
		} else {
			done++
		}
	}
	*left = rest
	return done
}

// policy returns the wanted number of replicas at a minute.
type policy func(m int, at time.Time, demand float64, s *simulatedFleet) int

func (t *trace) run(p policy) *simulatedFleet {
	s := &simulatedFleet{serving: 8}
	base := traceStart.Add(trainingWeeks * 7 * 24 * time.Hour)
	failures := t.failures
	for m, d := range t.week {
		for len(failures) > 0 && failures[0].minute == m {
			s.fail(failures[0].replicas)
			failures = failures[1:]
		}
		s.applyTarget(p(m, base.Add(time.Duration(m)*time.Minute), d, s))
		s.stepMinute(d)
	}
	return s
}

func (t *trace) trainedHistory() *History {
	h := NewHistory()
	for m, d := range t.training {
		h.Observe("s", WeekSlot(traceStart.Add(time.Duration(m)*time.Minute)), d)
	}
	return h
}

// decidePolicy returns the policy that applies Decide under an objective.
func (t *trace) decidePolicy(o config.Objective) policy {
	h := t.trainedHistory()
	return func(_ int, at time.Time, demand float64, s *simulatedFleet) int {
		h.Observe("s", WeekSlot(at), demand)
		return sumReplicas(Decide(traceInput(o, h, at, demand, s.existing(), len(s.draining))))
	}
}

func traceInput(o config.Objective, h *History, at time.Time, demand float64, held, draining int) Input {
	in := Input{
		WallTime: at, History: h, LeadTime: formMinutes * time.Minute,
		Config: &config.Document{Objective: o, Groups: []config.GroupSpec{{Name: "s", VMs: traceVMs, Min: 1, Max: traceMax}}},
	}
	for i, z := range []fleet.AvailabilityZone{"z1", "z2", "z3"} {
		in.Zones = append(in.Zones, Zone{Name: z, VMsPerDomain: []int{traceZoneVMs / 2, traceZoneVMs / 2}, AcceleratorsPerVM: traceAccelerators})
		in.ExistingReplicas = append(in.ExistingReplicas, ExistingReplicas{Spec: "s", Zone: z, Active: (held + i) / 3})
		in.Demand = append(in.Demand, Demand{Spec: "s", Zone: z, Running: demand / 3})
	}
	in.ExistingReplicas[0].Draining = draining
	return in
}

func sumReplicas(targets []Target) int {
	n := 0
	for _, t := range targets {
		n += t.Replicas
	}
	return n
}

// staticPeak returns the replicas for the highest demand of a normal week.
func staticPeak(int, time.Time, float64, *simulatedFleet) int {
	return int(math.Ceil(busyDemand / (DefaultSlotsPerReplica * targetUtilization)))
}

// staticPeakWithSpare returns one replica more than staticPeak.
func staticPeakWithSpare(m int, at time.Time, d float64, s *simulatedFleet) int {
	return staticPeak(m, at, d, s) + 1
}

// reactive returns the policy that provides for the highest demand of the last five
// minutes plus a number of spares.
func reactive(spares int) policy {
	var last [5]int
	return func(m int, _ time.Time, demand float64, _ *simulatedFleet) int {
		last[m%len(last)] = min(int(math.Ceil(demand/(DefaultSlotsPerReplica*targetUtilization))), traceMax)
		most := 0
		for _, n := range last {
			most = max(most, n)
		}
		return min(most+spares, traceMax)
	}
}
