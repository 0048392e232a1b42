package capacity

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// The slots of a week.
const (
	SlotLength  = 15 * time.Minute
	SlotsPerDay = int(24 * time.Hour / SlotLength)
	WeekSlots   = 7 * SlotsPerDay
)

const (
	usualGain   = 0.35 // weight of a new week in a slot's average
	unusualGain = 0.10 // of a slot far from the average: a holiday, a race day
	dayGain     = 0.3  // weight of a new slot in today's ratio to the usual
	levelGain   = 0.25 // of an observation, at one a minute
	wobbleGain  = 0.02
	unusual     = 1.6 // times over or under the average
	recentSlots = 8
	minUsual    = 0.05 // demand under which a ratio says nothing
	maxDemand   = 1e6  // requests at once
)

// WeekSlot returns the slot of the week that t lies in, 0 at Sunday 00:00.
func WeekSlot(t time.Time) int {
	minutes := t.Hour()*60 + t.Minute()
	return int(t.Weekday())*SlotsPerDay + minutes/int(SlotLength/time.Minute)
}

// History is what past weeks tell of the demand for each spec. The owner of the
// capacity duty observes into it and keeps it in the platform's object store.
type History struct {
	specs map[string]*series
}

// series is the history of one spec: for each slot of the week an average and
// the mean deviation from the forecast, the newest slots, and how today
// compares with the usual day.
type series struct {
	mean      [WeekSlots]float32
	deviation [WeekSlots]float32
	weeks     [WeekSlots]uint8 // observed, up to 255
	ratio     float64          // today over usual; 1 when nothing is known
	level     float64          // the newest observations, smoothed
	wobble    float64          // their mean deviation from level
	recent    [recentSlots]past
	newest    int // index in recent
	open      running
}

// past is a slot that has ended.
type past struct {
	slot int
	mean float64
}

// running is the slot that is being observed.
type running struct {
	slot int
	n    int
	sum  float64
}

// NewHistory returns a history that knows nothing.
func NewHistory() *History { return &History{specs: make(map[string]*series)} }

// Observe takes the demand for a spec (requests running and waiting) in a slot
// of the week. Any number of observations of a slot count as their mean; the
// slot is learned when the first observation of another one comes. Observe about
// once a minute: the newest observations are smoothed at that pace.
func (h *History) Observe(spec string, weekSlot int, demand float64) {
	if weekSlot < 0 || weekSlot >= WeekSlots || !within(demand, maxDemand) {
		return // a measure that cannot be true must not be learned
	}
	s, ok := h.specs[spec]
	if !ok {
		s = newSeries()
		h.specs[spec] = s
	}
	if s.open.n > 0 && s.open.slot != weekSlot {
		s.learn()
	}
	s.open.slot = weekSlot
	s.open.n++
	s.open.sum += demand
	s.follow(demand)
}

// follow smooths the newest observations. The first one sets the level.
func (s *series) follow(demand float64) {
	if s.level == 0 {
		s.level = demand
		return
	}
	s.wobble += wobbleGain * (math.Abs(demand-s.level) - s.wobble)
	s.level += levelGain * (demand - s.level)
}

func newSeries() *series {
	s := &series{ratio: 1}
	for i := range s.recent {
		s.recent[i].slot = -1
	}
	return s
}

// learn folds the slot that has ended into the averages.
func (s *series) learn() {
	slot, got := s.open.slot, s.open.sum/float64(s.open.n)
	s.newest = (s.newest + 1) % recentSlots
	s.recent[s.newest] = past{slot: slot, mean: got}
	s.open = running{}
	usual, known := s.usual(slot)
	if known && usual > minUsual {
		s.learnDeviation(slot, got, usual)
		s.ratio *= math.Pow(bounded(got/usual)/s.ratio, dayGain)
	}
	if s.weeks[slot] == 0 {
		s.mean[slot] = float32(got)
	} else {
		s.mean[slot] += gainOf(got, float64(s.mean[slot])) * (float32(got) - s.mean[slot])
	}
	s.weeks[slot] = uint8(min(int(s.weeks[slot])+1, 255))
}

// learnDeviation learns how far a slot was from what was expected on that day.
func (s *series) learnDeviation(slot int, got, usual float64) {
	off := float32(math.Abs(got - usual*s.ratio))
	if s.weeks[slot] <= 1 {
		s.deviation[slot] = off
		return
	}
	s.deviation[slot] += usualGain * (off - s.deviation[slot])
}

// gainOf lets a holiday change the usual day little.
func gainOf(got, usual float64) float32 {
	if usual > minUsual && (got > unusual*usual || got < usual/unusual) {
		return unusualGain
	}
	return usualGain
}

func bounded(ratio float64) float64 { return min(max(ratio, 0.2), 5) }

// usual returns the average of a slot; of a slot never seen, that of the same
// time on the other days.
func (s *series) usual(slot int) (float64, bool) {
	if s.weeks[slot] > 0 {
		return float64(s.mean[slot]), true
	}
	sum, n := 0.0, 0
	for day := range 7 {
		if i := day*SlotsPerDay + slot%SlotsPerDay; s.weeks[i] > 0 {
			sum += float64(s.mean[i])
			n++
		}
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), true
}

// stored is the form of a series in the object store. Floats are packed as
// little-endian float32.
type stored struct {
	Mean      []byte    `cbor:"1,keyasint"`
	Deviation []byte    `cbor:"2,keyasint"`
	Weeks     []byte    `cbor:"3,keyasint"`
	Ratio     float64   `cbor:"4,keyasint"`
	Recent    []float64 `cbor:"5,keyasint"` // slot and mean, oldest first
	Wobble    float64   `cbor:"6,keyasint"`
}

const storedVersion = 1

type storedHistory struct {
	Version int               `cbor:"0,keyasint"`
	Specs   map[string]stored `cbor:"1,keyasint"`
}

var errStored = errors.New("capacity: the stored history cannot be read; delete the object to start with none")

// Marshal returns the history as CBOR. The slot being observed is left out.
func (h *History) Marshal() ([]byte, error) {
	out := storedHistory{Version: storedVersion, Specs: make(map[string]stored, len(h.specs))}
	for name, s := range h.specs {
		out.Specs[name] = s.store()
	}
	return cbor.Marshal(out)
}

// Unmarshal reads what Marshal wrote.
func Unmarshal(data []byte) (*History, error) {
	var in storedHistory
	if err := cbor.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", errStored, err)
	}
	if in.Version != storedVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", errStored, in.Version, storedVersion)
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

func (s *series) store() stored {
	st := stored{
		Mean: pack(s.mean[:]), Deviation: pack(s.deviation[:]),
		Weeks: append([]byte(nil), s.weeks[:]...), Ratio: s.ratio, Wobble: s.wobble,
	}
	for k := 1; k <= recentSlots; k++ {
		r := s.recent[(s.newest+k)%recentSlots]
		st.Recent = append(st.Recent, float64(r.slot), r.mean)
	}
	return st
}

func (st *stored) load() (*series, error) {
	s := newSeries()
	if len(st.Weeks) != WeekSlots || len(st.Recent) != 2*recentSlots {
		return nil, errStored
	}
	if !within(st.Ratio, maxDemand) || !within(st.Wobble, maxDemand) {
		return nil, errStored
	}
	if !unpack(s.mean[:], st.Mean) || !unpack(s.deviation[:], st.Deviation) {
		return nil, errStored
	}
	copy(s.weeks[:], st.Weeks)
	s.ratio, s.wobble = bounded(st.Ratio), st.Wobble
	for k := range recentSlots {
		if !within(st.Recent[2*k+1], maxDemand) {
			return nil, errStored
		}
		s.recent[k] = past{slot: int(st.Recent[2*k]), mean: st.Recent[2*k+1]}
	}
	s.newest = recentSlots - 1
	return s, nil
}

func pack(v []float32) []byte {
	b := make([]byte, 0, 4*len(v))
	for _, x := range v {
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(x))
	}
	return b
}

func unpack(into []float32, b []byte) bool {
	if len(b) != 4*len(into) {
		return false
	}
	for i := range into {
		x := math.Float32frombits(binary.LittleEndian.Uint32(b[4*i:]))
		if !within(float64(x), maxDemand) {
			return false
		}
		into[i] = x
	}
	return true
}

// within reports whether x is a number from 0 to most; NaN is not.
func within(x, most float64) bool { return x >= 0 && x <= most }
