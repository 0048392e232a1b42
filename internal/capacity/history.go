package capacity

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Division of the week into slots.
const (
	SlotLength   = 15 * time.Minute
	SlotsPerDay  = int(24 * time.Hour / SlotLength)
	SlotsPerWeek = 7 * SlotsPerDay
)

const (
	weekGain      = 0.35 // weight of a new week in a slot's mean
	outlierGain   = 0.10 // the same for an outlier such as a holiday
	dayGain       = 0.3  // weight of a new slot in the day's ratio to the baseline
	levelGain     = 0.25 // weight of an observation in the level, at one per minute
	deviationGain = 0.02 // weight of an observation in the level's deviation
	outlierFactor = 1.6  // factor above or below the mean from which a slot is an outlier
	recentSlots   = 8
	minBaseline   = 0.05 // baseline below which ratios are not used
	maxDemand     = 1e6  // concurrent requests; larger values are invalid
)

// WeekSlot returns the slot of the week that contains t; slot 0 starts on Sunday
// at 00:00.
func WeekSlot(t time.Time) int {
	minutes := t.Hour()*60 + t.Minute()
	return int(t.Weekday())*SlotsPerDay + minutes/int(SlotLength/time.Minute)
}

// History holds statistics of the past demand for each spec. The holder of the
// zone's duty records observations in it and saves it in the platform's object
// store.
type History struct {
	specs map[string]*series
}

// series is the history of one spec: for each slot of the week a mean and the mean
// deviation from the forecast, the newest slots, and the day's ratio to the
// baseline.
type series struct {
	mean           [SlotsPerWeek]float32
	deviation      [SlotsPerWeek]float32
	weeksObserved  [SlotsPerWeek]uint8 // number of weeks observed, at most 255
	dayRatio       float64             // the day's demand over the baseline; 1 if unknown
	level          float64             // smoothed demand
	levelDeviation float64             // mean deviation of observations from level
	recent         [recentSlots]slotMean
	newestIndex    int // index in recent of the newest slot
	current        openSlot
}

// slotMean is the mean demand of a slot that has ended.
type slotMean struct {
	slot int
	mean float64
}

// openSlot accumulates the observations of the current slot.
type openSlot struct {
	slot int
	n    int
	sum  float64
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{specs: make(map[string]*series)} }

// Observe records the demand for a spec (requests running and waiting) in a slot
// of the week. The observations of a slot count as their mean, which enters the
// statistics with the first observation of another slot. Call Observe about once a
// minute: the smoothing constants assume that interval. Values out of range are
// ignored, so that they do not distort the statistics.
func (h *History) Observe(spec string, weekSlot int, demand float64) {
	if weekSlot < 0 || weekSlot >= SlotsPerWeek || !isWithin(demand, maxDemand) {
		return
	}
	s, ok := h.specs[spec]
	if !ok {
		s = newSeries()
		h.specs[spec] = s
	}
	if s.current.n > 0 && s.current.slot != weekSlot {
		s.closeSlot()
	}
	s.current.slot = weekSlot
	s.current.n++
	s.current.sum += demand
	s.smooth(demand)
}

// smooth updates the level and its deviation; the first observation sets the level.
func (s *series) smooth(demand float64) {
	if s.level == 0 {
		s.level = demand
		return
	}
	s.levelDeviation += deviationGain * (math.Abs(demand-s.level) - s.levelDeviation)
	s.level += levelGain * (demand - s.level)
}

func newSeries() *series {
	s := &series{dayRatio: 1}
	for i := range s.recent {
		s.recent[i].slot = -1
	}
	return s
}

// closeSlot merges the slot that has ended into the statistics.
func (s *series) closeSlot() {
	slot, mean := s.current.slot, s.current.sum/float64(s.current.n)
	s.newestIndex = (s.newestIndex + 1) % recentSlots
	s.recent[s.newestIndex] = slotMean{slot: slot, mean: mean}
	s.current = openSlot{}
	baseline, known := s.baseline(slot)
	if known && baseline > minBaseline {
		s.updateDeviation(slot, mean, baseline)
		s.dayRatio *= math.Pow(clampRatio(mean/baseline)/s.dayRatio, dayGain)
	}
	if s.weeksObserved[slot] == 0 {
		s.mean[slot] = float32(mean)
	} else {
		s.mean[slot] += gainFor(mean, float64(s.mean[slot])) * (float32(mean) - s.mean[slot])
	}
	s.weeksObserved[slot] = uint8(min(int(s.weeksObserved[slot])+1, 255))
}

// updateDeviation updates a slot's deviation with the difference between the
// observed demand and the baseline multiplied by the day's ratio.
func (s *series) updateDeviation(slot int, mean, baseline float64) {
	deviation := float32(math.Abs(mean - baseline*s.dayRatio))
	if s.weeksObserved[slot] <= 1 {
		s.deviation[slot] = deviation
		return
	}
	s.deviation[slot] += weekGain * (deviation - s.deviation[slot])
}

// gainFor returns the weight of a new observation in a slot's mean. An outlier such
// as a holiday gets a small weight, so that it hardly changes the baseline.
func gainFor(observed, mean float64) float32 {
	if mean > minBaseline && (observed > outlierFactor*mean || observed < mean/outlierFactor) {
		return outlierGain
	}
	return weekGain
}

func clampRatio(ratio float64) float64 { return min(max(ratio, 0.2), 5) }

// baseline returns the mean of a slot; for a slot never observed, the average of
// the same time on the other days. It returns false if none was observed.
func (s *series) baseline(slot int) (float64, bool) {
	if s.weeksObserved[slot] > 0 {
		return float64(s.mean[slot]), true
	}
	sum, n := 0.0, 0
	for day := range 7 {
		if i := day*SlotsPerDay + slot%SlotsPerDay; s.weeksObserved[i] > 0 {
			sum += float64(s.mean[i])
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), true
}

// storedSeries is the encoding of a series in the object store. Mean and Deviation
// are packed as little-endian float32.
type storedSeries struct {
	Mean           []byte    `cbor:"1,keyasint"`
	Deviation      []byte    `cbor:"2,keyasint"`
	Weeks          []byte    `cbor:"3,keyasint"`
	Ratio          float64   `cbor:"4,keyasint"`
	Recent         []float64 `cbor:"5,keyasint"` // slot and mean, oldest first
	LevelDeviation float64   `cbor:"6,keyasint"`
}

const storedVersion = 1

type storedHistory struct {
	Version int                     `cbor:"0,keyasint"`
	Specs   map[string]storedSeries `cbor:"1,keyasint"`
}

var errInvalidHistory = errors.New("capacity: the stored history is invalid; delete the object to start with an empty one")

// Marshal returns the history as CBOR, without the slot that has not ended.
func (h *History) Marshal() ([]byte, error) {
	out := storedHistory{Version: storedVersion, Specs: make(map[string]storedSeries, len(h.specs))}
	for name, s := range h.specs {
		out.Specs[name] = s.store()
	}
	return cbor.Marshal(out)
}

// Unmarshal decodes the output of Marshal.
func Unmarshal(data []byte) (*History, error) {
	var in storedHistory
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidHistory, err)
	}
	if in.Version != storedVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", errInvalidHistory, in.Version, storedVersion)
	}
	h := NewHistory()
	for name, st := range in.Specs {
		s, err := st.load()
		if err != nil {
			return nil, fmt.Errorf("%w: spec %q", err, name)
		}
		h.specs[name] = s
	}
	return h, nil
}

func (s *series) store() storedSeries {
	st := storedSeries{
		Mean: packFloats(s.mean[:]), Deviation: packFloats(s.deviation[:]),
		Weeks: append([]byte(nil), s.weeksObserved[:]...), Ratio: s.dayRatio, LevelDeviation: s.levelDeviation,
	}
	for k := 1; k <= recentSlots; k++ {
		r := s.recent[(s.newestIndex+k)%recentSlots]
		st.Recent = append(st.Recent, float64(r.slot), r.mean)
	}
	return st
}

func (st *storedSeries) load() (*series, error) {
	s := newSeries()
	if len(st.Weeks) != SlotsPerWeek || len(st.Recent) != 2*recentSlots {
		return nil, errInvalidHistory
	}
	if !isWithin(st.Ratio, maxDemand) || !isWithin(st.LevelDeviation, maxDemand) {
		return nil, errInvalidHistory
	}
	if !unpackFloats(s.mean[:], st.Mean) || !unpackFloats(s.deviation[:], st.Deviation) {
		return nil, errInvalidHistory
	}
	copy(s.weeksObserved[:], st.Weeks)
	s.dayRatio, s.levelDeviation = clampRatio(st.Ratio), st.LevelDeviation
	for k := range recentSlots {
		if !isWithin(st.Recent[2*k+1], maxDemand) {
			return nil, errInvalidHistory
		}
		s.recent[k] = slotMean{slot: int(st.Recent[2*k]), mean: st.Recent[2*k+1]}
	}
	s.newestIndex = recentSlots - 1
	return s, nil
}

func packFloats(v []float32) []byte {
	b := make([]byte, 0, 4*len(v))
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(x))
	}
	return b
}

func unpackFloats(into []float32, b []byte) bool {
	if len(b) != 4*len(into) {
		return false
	}
	for i := range into {
		x := math.Float32frombits(binary.LittleEndian.Uint32(b[4*i:]))
		if !isWithin(float64(x), maxDemand) {
			return false
		}
		into[i] = x
	}
	return true
}

// isWithin reports whether x is between 0 and limit; it is false for NaN.
func isWithin(x, limit float64) bool { return x >= 0 && x <= limit }
