package capacity

import (
	"math"
	"math/rand/v2"
	"time"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
)

// The traced fleet: three zones with room for six replicas each, replicas of
// four VMs with two accelerators a VM.
const (
	traceVMs     = 4
	traceAcc     = 2
	traceMax     = 16
	zoneVMs      = 24
	formMinutes  = 4
	drainMinutes = 2
	mendMinutes  = 5
	failHours    = 36 // mean time between failures of a replica
	learnWeeks   = 3
	busyDemand   = 48.0
	holidayDay   = 3 // Wednesday
	raceDay      = 4 // Thursday
)

var (
	sagarmatha = config.Objective{DowntimeWeight: 100, StrandingWeight: 1}
	lapwise    = config.Objective{DowntimeWeight: 10, StrandingWeight: 1}
	traceStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC) // a Sunday
)

// shape is the demand of a usual week: half at night, less on Saturdays.
func shape(at time.Time) float64 {
	h := float64(at.Hour()) + float64(at.Minute())/60
	day := ramp(h, 7.5, 9.5) * (1 - ramp(h, 17.5, 20))
	if at.Weekday() == time.Saturday {
		day *= 0.4
	}
	return busyDemand * (0.5 + 0.5*day)
}

func ramp(h, from, to float64) float64 { return min(max((h-from)/(to-from), 0), 1) }

// special changes the measured week: a holiday at half the demand and a race day
// whose evening asks for much more than usual.
func special(at time.Time) float64 {
	h := float64(at.Hour()) + float64(at.Minute())/60
	switch int(at.Weekday()) {
	case holidayDay:
		return 1 - 0.5*ramp(h, 7.5, 9.5)
	case raceDay:
		return 1 + 1.2*ramp(h, 15, 16)*(1-ramp(h, 21, 22))
	}
	return 1
}

// trace is one week of demand, minute by minute, with weeks before it.
type trace struct {
	before []float64
	week   []float64
	fails  []failure
}

// failure takes a number of serving replicas down at a minute.
type failure struct{ minute, replicas int }

func newTrace(seed uint64) *trace {
	rng := rand.New(rand.NewPCG(seed, 7))
	t := &trace{}
	noise, level := 0.0, 1.0
	for m := range (learnWeeks + 1) * 7 * 24 * 60 {
		at := traceStart.Add(time.Duration(m) * time.Minute)
		if m%(24*60) == 0 {
			level = math.Exp(0.07 * rng.NormFloat64())
		}
		noise = 0.9*noise + 0.03*rng.NormFloat64()
		d := shape(at) * level * (1 + noise)
		if m < learnWeeks*7*24*60 {
			t.before = append(t.before, d)
			continue
		}
		t.week = append(t.week, d*special(at))
	}
	t.addFailures(rng)
	return t
}

// addFailures draws single failures for 18 places of replicas and one dark
// fabric domain that takes three at once.
func (t *trace) addFailures(rng *rand.Rand) {
	dark := (24 + rng.IntN(5*24)) * 60
	for m := range t.week {
		n := 0
		for range 18 {
			if rng.Float64() < 1.0/(failHours*60) {
				n++
			}
		}
		if m == dark {
			n += 3
		}
		if n > 0 {
			t.fails = append(t.fails, failure{m, n})
		}
	}
}

// site is the fleet as it follows the targets.
type site struct {
	up       int
	forming  []int // minutes left
	mending  []int
	draining []int
	downtime float64 // seconds
	stranded float64 // accelerator-seconds
	moves    int
}

func (s *site) held() int { return s.up + len(s.forming) + len(s.mending) }

func (s *site) follow(want int) {
	for s.held() < want {
		s.forming = append(s.forming, formMinutes)
		s.moves++
	}
	for s.held() > want && s.up > 0 {
		s.up--
		s.draining = append(s.draining, drainMinutes)
		s.moves++
	}
}

func (s *site) fail(n int) {
	// Of 18 places only those that are taken can fail.
	for range n {
		if s.up > 0 {
			s.up--
			s.mending = append(s.mending, mendMinutes)
		}
	}
}

func (s *site) minute(demand float64) {
	need := min(int(math.Ceil(demand/(DefaultSlots*fill))), traceMax)
	held := s.held() + len(s.draining)
	s.downtime += 60 * float64(max(0, need-s.up))
	s.stranded += 60 * traceVMs * traceAcc * float64(max(0, held-need))
	s.up += pass(&s.forming) + pass(&s.mending)
	pass(&s.draining)
}

// pass lets a minute go by and returns how many are done.
func pass(left *[]int) int {
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

// policy returns the number of replicas wanted at a minute.
type policy func(m int, at time.Time, demand float64, s *site) int

func (t *trace) run(p policy) *site {
	s := &site{up: 8}
	base := traceStart.Add(learnWeeks * 7 * 24 * time.Hour)
	fails := t.fails
	for m, d := range t.week {
		for len(fails) > 0 && fails[0].minute == m {
			s.fail(fails[0].replicas)
			fails = fails[1:]
		}
		s.follow(p(m, base.Add(time.Duration(m)*time.Minute), d, s))
		s.minute(d)
	}
	return s
}

func (t *trace) learned() *History {
	h := NewHistory()
	for m, d := range t.before {
		h.Observe("s", WeekSlot(traceStart.Add(time.Duration(m)*time.Minute)), d)
	}
	return h
}

// decided follows Decide under an objective.
func (t *trace) decided(o config.Objective) policy {
	h := t.learned()
	return func(_ int, at time.Time, demand float64, s *site) int {
		h.Observe("s", WeekSlot(at), demand)
		return sum(Decide(traceInput(o, h, at, demand, s.held(), len(s.draining))))
	}
}

func traceInput(o config.Objective, h *History, at time.Time, demand float64, held, draining int) Input {
	in := Input{
		Wall: at, History: h, Lead: formMinutes * time.Minute,
		Config: &config.Document{Objective: o, Groups: []config.GroupSpec{{Name: "s", VMs: traceVMs, Min: 1, Max: traceMax}}},
	}
	for i, z := range []fleet.AvailabilityZone{"z1", "z2", "z3"} {
		in.Zones = append(in.Zones, Zone{Name: z, Domains: []int{zoneVMs / 2, zoneVMs / 2}, Accelerators: traceAcc})
		in.Held = append(in.Held, Held{Spec: "s", Zone: z, Replicas: (held + i) / 3})
		in.Demand = append(in.Demand, Demand{Spec: "s", Zone: z, Running: demand / 3})
	}
	in.Held[0].Draining = draining
	return in
}

func sum(targets []Target) int {
	n := 0
	for _, t := range targets {
		n += t.Replicas
	}
	return n
}

// static holds what the busiest usual hour needs.
func static(int, time.Time, float64, *site) int {
	return int(math.Ceil(busyDemand / (DefaultSlots * fill)))
}

// staticSpare holds one replica more.
func staticSpare(m int, at time.Time, d float64, s *site) int { return static(m, at, d, s) + 1 }

// reactive holds what is asked now, and goes down to the most that was asked in
// the last five minutes, with a number of spares.
func reactive(spares int) policy {
	var last [5]int
	return func(m int, _ time.Time, demand float64, _ *site) int {
		last[m%len(last)] = min(int(math.Ceil(demand/(DefaultSlots*fill))), traceMax)
		most := 0
		for _, n := range last {
			most = max(most, n)
		}
		return min(most+spares, traceMax)
	}
}
