package balance

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Guards against paces that are invalid, against old reports that keep a recovered group unused,
// and against normal variations of the gap that count as slowness.
func TestEffectivePace(t *testing.T) {
	is := is.New(t)
	const usual = 80 * time.Millisecond
	for _, tc := range []struct {
		reported float64
		gap      time.Duration
		want     float64
	}{
		{0, 0, 1}, {-4, 0, 1}, {math.NaN(), 0, 1}, {math.Inf(1), 0, 1}, {0.5, 0, 1}, {4, 0, 4}, {4, -time.Second, 4},
		{1, 140 * time.Millisecond, 1}, {1, 960 * time.Millisecond, 12}, {2, 140 * time.Millisecond, 2},
		{12, 60 * time.Millisecond, 1.5}, {12, 30 * time.Millisecond, 1}, {math.NaN(), 960 * time.Millisecond, 12},
	} {
		is.Equal(EffectivePace(tc.reported, tc.gap, usual), tc.want)
	}
	is.Equal(EffectivePace(4, time.Second, 0), 4.0)
}

// Guards against requests to full, suspect, failing or slow endpoints while others are free, and
// against requests that leave the zone although it will serve them in time.
func TestPredictedChoiceKeepsTheBounds(t *testing.T) {
	is := is.New(t)
	b := Bounds{RemotePenalty: 0.15, QueueShare: -0.04, UnreadWeight: 0.25, SampleSize: 2}
	need := Need{First: 300 * time.Millisecond, Pause: 200 * time.Millisecond}
	at := func(load float64, first time.Duration) Predicted {
		return Predicted{Candidate: Candidate{Load: load, Slots: 34, Local: true}, First: first, Pause: 100 * time.Millisecond, Pace: 1}
	}
	good, late, full, suspect, tried, avoid, slow, slowLate, remote := at(20, 200*time.Millisecond), at(1, time.Second),
		at(33, 0), at(0, 0), at(0, 0), at(0, 0), at(0, 0), at(0, 2*time.Second), at(18, 0)
	suspect.Suspect, tried.Tried, avoid.Avoid, slow.Pace, slowLate.Pace, remote.Local = true, true, true, 2, 12, false
	trial := slowLate
	trial.Trial = true
	pauses := at(0, 0)
	pauses.Pause = time.Second
	for seed := range 200 {
		choose := func(cands ...Predicted) int {
			i, _ := PickPredicted(cands, b, need, seed)
			return i
		}
		is.Equal(choose(good, late, full, suspect, tried, avoid, slow, remote), 0)
		is.Equal(choose(late, slow, good, pauses), 2)
		is.Equal(choose(late, slow), 1)     // slow but in time
		is.Equal(choose(late, slowLate), 0) // nothing in time
		is.Equal(choose(full, slowLate), 1)
		is.Equal(choose(full, suspect, avoid), 2)
		is.Equal(choose(good, trial), 1)
		is.Equal(choose(late, remote), 1)
		_, reason := PickPredicted([]Predicted{full, suspect}, b, need, seed)
		is.Equal(reason, AllFull)
		_, reason = PickPredicted([]Predicted{suspect, tried}, b, need, seed)
		is.Equal(reason, NoCandidate)
		_, reason = PickPredicted(nil, b, need, seed)
		is.Equal(reason, NoCandidate)
	}
	full.Unconfirmed = 20
	i, _ := PickPredicted([]Predicted{full}, b, need, 1)
	is.Equal(i, 0) // full only by an unconfirmed load
}

// Guards against a gap that only lengthens once the next event has arrived, which takes a second
// at a group that became 12 times slower.
func TestPendingEventLengthensGap(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	tr := &Tracker{Clock: c, Silence: func(roster.ID) time.Duration { return time.Minute }}
	k := tr.Start("h", nil)
	k.RecordEvent()
	is.Equal(tr.ReportInFlight()[0].Gap, 0) // one event is no gap
	for range 10 {
		c.Advance(70 * time.Millisecond)
		k.RecordEvent()
	}
	is.Equal(tr.ReportInFlight()[0].Gap, 70)
	c.Advance(400 * time.Millisecond)
	is.Equal(tr.ReportInFlight()[0].Gap, 400)
	k.RecordEvent()
	k.End()
	c.Advance(time.Second)
	tr.Start("h", nil)
	is.Equal(tr.ReportInFlight()[0].Gap, 155) // still valid
	c.Advance(2 * time.Second)
	is.Equal(tr.ReportInFlight()[0].Gap, 0)
}
