package capacity

import (
	"math"
	"time"
)

const (
	currentRatioDecay        = 0.8  // factor per slot on the difference of the current ratio from the day's
	dayRatioDecay            = 0.98 // factor per slot on the difference of the day's ratio from 1
	fullDeviationSlots       = 4.0  // slots ahead from which a slot's full deviation applies
	standardPerMeanDeviation = 1.25 // standard deviation of a normal distribution over its mean deviation
	minDeviationFactor       = 0.2  // times the square root of the demand, for random arrivals
	surgeThreshold           = 0.2  // rise of the ratio within a slot that exceeds noise
	forecastStep             = 10 * time.Minute
)

// forecast is an expected demand and its standard deviation.
type forecast struct{ mean, deviation float64 }

// capped returns the forecast limited to a demand. Demand beyond the capacity of
// the maximum number of replicas does not change a decision.
func (f forecast) capped(limit float64) forecast {
	return forecast{min(f.mean, limit), min(f.deviation, limit)}
}

// seriesOf returns the series of a spec, an empty one for an unknown spec.
func (h *History) seriesOf(spec string) *series {
	if s, ok := h.specs[spec]; ok {
		return s
	}
	return newSeries()
}

// baselineAt returns the baseline demand at a wall time, interpolated between the
// midpoints of slots, and whether a baseline is known.
func (s *series) baselineAt(t time.Time) (float64, bool) {
	slot := WeekSlot(t)
	baseline, known := s.baseline(slot)
	if !known {
		return 0, false
	}
	fromMidpoint := float64(t.Sub(t.Truncate(SlotLength)))/float64(SlotLength) - 0.5
	neighbour, weight := slot+1, fromMidpoint
	if fromMidpoint < 0 {
		neighbour, weight = slot-1, -fromMidpoint
	}
	neighbourBaseline, known := s.baseline((neighbour + SlotsPerWeek) % SlotsPerWeek)
	if !known {
		return baseline, true
	}
	return baseline + weight*(neighbourBaseline-baseline), true
}

// currentRatio returns the ratio of the current demand to the baseline, the day's
// ratio if either is unknown.
func (s *series) currentRatio(now time.Time) float64 {
	baseline, known := s.baselineAt(now)
	if !known || baseline <= minBaseline || s.level <= 0 {
		return s.dayRatio
	}
	return clampRatio(s.level / baseline)
}

// forecastAt forecasts the demand at a wall time: the baseline at that time
// multiplied by a ratio. The later the time, the closer the ratio is to the day's
// instead of the current one, and then to 1. It returns false if no baseline is known.
func (s *series) forecastAt(when, now time.Time) (forecast, bool) {
	baseline, known := s.baselineAt(when)
	if !known {
		return forecast{}, false
	}
	slotsAhead := max(0, float64(when.Sub(now))/float64(SlotLength))
	ratio := s.dayRatio + (s.currentRatio(now)-s.dayRatio)*math.Pow(currentRatioDecay, slotsAhead)
	ratio = 1 + (ratio-1)*math.Pow(dayRatioDecay, slotsAhead)
	slot := WeekSlot(when)
	slotDeviation := float64(s.deviation[slot]) * min(1, slotsAhead/fullDeviationSlots)
	deviation := standardPerMeanDeviation * math.Hypot(s.levelDeviation, slotDeviation)
	mean := baseline * ratio
	return forecast{mean, max(deviation, minDeviationFactor*math.Sqrt(mean))}, true
}

// forecastAfterLead forecasts the demand at the time when a group formed now would
// serve. A rise that the baseline does not include is extrapolated to that time.
func (s *series) forecastAfterLead(now time.Time, lead time.Duration, currentDemand float64) forecast {
	f, known := s.forecastAt(now.Add(lead), now)
	if !known {
		return forecast{currentDemand, math.Sqrt(currentDemand)}
	}
	rise := s.currentRatio(now) - s.previousRatio(now)
	if rise > surgeThreshold {
		baseline, _ := s.baselineAt(now)
		f.mean += baseline * rise * float64(lead) / float64(SlotLength)
	}
	return f
}

// previousRatio returns the ratio of the previous slot's demand to its baseline,
// the current ratio if either is unknown.
func (s *series) previousRatio(now time.Time) float64 {
	slot := WeekSlot(now.Add(-SlotLength))
	baseline, known := s.baseline(slot)
	r, found := s.endedSlot(slot)
	if !known || !found || baseline <= minBaseline {
		return s.currentRatio(now)
	}
	return clampRatio(r.mean / baseline)
}

// retentionForecasts returns the forecasts for the lead time and up to span after
// it, and the demand observed within span before now. A replica is removed only
// if none of them requires it.
func (s *series) retentionForecasts(now time.Time, lead, span time.Duration, currentDemand float64) []forecast {
	all := []forecast{s.forecastAfterLead(now, lead, currentDemand), s.observedForecast(now, s.level)}
	for ahead := forecastStep; ahead <= lead+span; ahead += forecastStep {
		if f, known := s.forecastAt(now.Add(ahead), now); known {
			all = append(all, f)
		}
	}
	for back := SlotLength; back <= span; back += SlotLength {
		if r, ok := s.endedSlot(WeekSlot(now.Add(-back))); ok {
			all = append(all, s.observedForecast(now, r.mean))
		}
	}
	return all
}

// observedForecast returns an observed demand with the deviation of the
// observations; without a baseline, with that of a forecast without one.
func (s *series) observedForecast(now time.Time, demand float64) forecast {
	if _, known := s.baselineAt(now); !known {
		return forecast{demand, math.Sqrt(demand)}
	}
	return forecast{demand, max(standardPerMeanDeviation*s.levelDeviation, minDeviationFactor*math.Sqrt(demand))}
}

func (s *series) endedSlot(slot int) (slotMean, bool) {
	for _, r := range s.recent {
		if r.slot == slot {
			return r, true
		}
	}
	return slotMean{}, false
}
