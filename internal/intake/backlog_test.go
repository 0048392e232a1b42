package intake

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// arrival is a client's connection in a simulated series.
type arrival struct{ at clock.Instant }

// play simulates a node that serves perSecond connections a second while rate arrive, and that runs
// for run of each period only. It returns what became of the connections of the last second.
type play struct {
	rate, perSecond int
	run, period     time.Duration
	duration        time.Duration
}

type result struct {
	served, turnedAway, arrived int
	longestWait                 time.Duration // of connections that were served
	longestTurnedAway           time.Duration
}

func (p play) simulate(seed uint64) result {
	const tick = 100 * time.Microsecond
	rng := rand.New(rand.NewPCG(seed, 1))
	var b Backlog[arrival]
	var pending []arrival // in the kernel's queue
	var r result
	work := 0.0
	for t := time.Duration(0); t < p.duration; t += tick {
		now := clock.Instant(time.Hour + t)
		counts := t >= p.duration-time.Second
		for n := float64(p.rate) * tick.Seconds(); n > 0; n-- {
			if rng.Float64() < n {
				pending = append(pending, arrival{now})
				if counts {
					r.arrived++
				}
			}
		}
		if t%p.period >= p.run {
			continue
		}
		work = min(work+float64(p.perSecond)*tick.Seconds()*float64(p.period)/float64(p.run), 2)
		for work >= 1 {
			for _, a := range pending {
				if old, full := b.Add(a, now); full {
					r.turnAway(counts, now.Sub(old.at))
				}
			}
			pending = nil
			for _, a := range b.Excess(now) {
				r.turnAway(counts, now.Sub(a.at))
			}
			a, _, ok := b.Next(now)
			if !ok {
				break
			}
			work--
			if counts {
				r.served++
				r.longestWait = max(r.longestWait, now.Sub(a.at))
			}
		}
	}
	return r
}

func (r *result) turnAway(counts bool, waited time.Duration) {
	if counts {
		r.turnedAway++
		r.longestTurnedAway = max(r.longestTurnedAway, waited)
	}
}

// Guards against a node that serves less the more connections arrive, that lets clients wait which it
// turns away in the end, or that turns connections away which it could serve.
func TestBacklogServesWhatTheNodeBears(t *testing.T) {
	const perSecond = 500
	for name, share := range map[string]struct{ run, period time.Duration }{
		"steady": {time.Second, time.Second}, "fine quota": {2 * time.Millisecond, 10 * time.Millisecond}, "coarse quota": {20 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			for _, load := range []float64{0.2, 0.5, 1, 2, 4, 20} {
				for seed := range uint64(5) {
					r := play{int(load * perSecond), perSecond, share.run, share.period, 4 * time.Second}.simulate(seed)
					is.True(float64(r.served) >= 0.9*float64(min(r.arrived, perSecond)))
					is.True(r.longestWait <= maxWait+share.period)
					is.True(r.longestTurnedAway <= maxWait+2*(share.period-share.run)+5*time.Second/perSecond)
					if load <= 0.5 {
						is.Equal(r.turnedAway, 0)
					}
					if t.Failed() {
						t.Fatalf("load %v, seed %d: %+v", load, seed, r)
					}
				}
			}
		})
	}
}

// Guards against clients that are turned away because they all come at the same moment, as after a
// loss of all nodes or a freeze of this one.
func TestBurstIsServed(t *testing.T) {
	is := is.New(t)
	var b Backlog[int]
	now := clock.Instant(time.Hour)
	const burst = 400
	for i := range burst {
		_, full := b.Add(i, now)
		is.True(!full)
	}
	for served := 0; served < burst; served++ { // 1,000 a second
		is.Equal(len(b.Excess(now)), 0)
		_, _, ok := b.Next(now)
		is.True(ok)
		now = now.Add(time.Millisecond / 2)
	}
	is.Equal(b.Len(), 0)
}

// Guards against a backlog that takes all descriptors.
func TestBacklogIsBounded(t *testing.T) {
	is := is.New(t)
	var b Backlog[int]
	for i := range maxBacklog {
		_, full := b.Add(i, 1)
		is.True(!full)
	}
	oldest, full := b.Add(maxBacklog, 1)
	is.True(full)
	is.Equal(oldest, 0)
	is.Equal(b.Len(), maxBacklog)
	is.Equal(len(b.TakeAll()), maxBacklog)
	is.Equal(b.Len(), 0)
}
