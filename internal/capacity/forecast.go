package capacity

import (
	"math"
	"time"
)

const (
	momentFades    = 0.8  // of this moment's difference from today, left a slot later
	dayFades       = 0.98 // of today's difference from the usual, left a slot later
	farSlots       = 4.0  // slots ahead at which the whole deviation of a slot counts
	meanToStandard = 1.25 // mean deviation of a normal distribution to its standard one
	leastDeviation = 0.2  // of the square root of the demand: requests come at random
	surge          = 0.2  // rise of the ratio within a slot that is more than noise
	stepAhead      = 10 * time.Minute
)

// forecast is an expected demand with its standard deviation.
type forecast struct{ mean, deviation float64 }

// atMost bounds a forecast: over what the most replicas serve, more demand does
// not change a decision.
func (f forecast) atMost(demand float64) forecast {
	return forecast{min(f.mean, demand), min(f.deviation, demand)}
}

// series returns the history of a spec; an unknown spec has an empty one.
func (h *History) series(spec string) *series {
	if s, ok := h.specs[spec]; ok {
		return s
	}
	return newSeries()
}

// usualAt returns the usual demand at a wall time, between the middles of slots.
func (s *series) usualAt(t time.Time) (float64, bool) {
	slot := WeekSlot(t)
	usual, known := s.usual(slot)
	if !known {
		return 0, false
	}
	into := float64(t.Sub(t.Truncate(SlotLength)))/float64(SlotLength) - 0.5
	near, step := slot+1, into
	if into < 0 {
		near, step = slot-1, -into
	}
	other, known := s.usual((near + WeekSlots) % WeekSlots)
	if !known {
		return usual, true
	}
	return usual + step*(other-usual), true
}

// present returns how the demand of this moment compares with the usual one.
func (s *series) present(now time.Time) float64 {
	usual, known := s.usualAt(now)
	if !known || usual <= minUsual || s.level <= 0 {
		return s.ratio
	}
	return bounded(s.level / usual)
}

// at forecasts the demand at a wall time: the usual demand then, times how this
// moment compares with the usual one. The farther ahead, the more today as a
// whole counts in place of this moment, and the usual day in place of today.
func (s *series) at(when, now time.Time) (forecast, bool) {
	usual, known := s.usualAt(when)
	if !known {
		return forecast{}, false
	}
	ahead := max(0, float64(when.Sub(now))/float64(SlotLength))
	ratio := s.ratio + (s.present(now)-s.ratio)*math.Pow(momentFades, ahead)
	ratio = 1 + (ratio-1)*math.Pow(dayFades, ahead)
	slot := WeekSlot(when)
	far := float64(s.deviation[slot]) * min(1, ahead/farSlots)
	off := meanToStandard * math.Hypot(s.wobble, far)
	mean := usual * ratio
	return forecast{mean, max(off, leastDeviation*math.Sqrt(mean))}, true
}

// soon forecasts the demand at the time when a group that is formed now would
// serve. A rise that the usual day does not know is taken to go on until then.
func (s *series) soon(now time.Time, lead time.Duration, asked float64) forecast {
	f, known := s.at(now.Add(lead), now)
	if !known {
		return forecast{asked, math.Sqrt(asked)}
	}
	rise := s.present(now) - s.before(now)
	if rise > surge {
		usual, _ := s.usualAt(now)
		f.mean += usual * rise * float64(lead) / float64(SlotLength)
	}
	return f
}

// before returns how the last slot compared with the usual one.
func (s *series) before(now time.Time) float64 {
	slot := WeekSlot(now.Add(-SlotLength))
	usual, known := s.usual(slot)
	r, ended := s.ended(slot)
	if !known || !ended || usual <= minUsual {
		return s.present(now)
	}
	return bounded(r.mean / usual)
}

// around returns what is expected soon and up to span after that, and what was
// observed in the span before now. A replica goes only when each of them can do
// without it.
func (s *series) around(now time.Time, lead, span time.Duration, asked float64) []forecast {
	all := []forecast{s.soon(now, lead, asked), s.observed(now, s.level)}
	for ahead := stepAhead; ahead <= lead+span; ahead += stepAhead {
		if f, known := s.at(now.Add(ahead), now); known {
			all = append(all, f)
		}
	}
	for back := SlotLength; back <= span; back += SlotLength {
		if r, ok := s.ended(WeekSlot(now.Add(-back))); ok {
			all = append(all, s.observed(now, r.mean))
		}
	}
	return all
}

// observed is a demand that was there, with the deviation of the observations;
// without a history it is as uncertain as a forecast without one.
func (s *series) observed(now time.Time, demand float64) forecast {
	if _, known := s.usualAt(now); !known {
		return forecast{demand, math.Sqrt(demand)}
	}
	return forecast{demand, max(meanToStandard*s.wobble, leastDeviation*math.Sqrt(demand))}
}

func (s *series) ended(slot int) (past, bool) {
	for _, r := range s.recent {
		if r.slot == slot {
			return r, true
		}
	}
	return past{}, false
}
