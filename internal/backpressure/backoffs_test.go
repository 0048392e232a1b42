package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// Guards against requests within a rest, whatever answers overtake each other.
func TestNoRequestsWithinARest(t *testing.T) {
	const (
		perSecond = 60
		mayArrive = 2
		runs      = 30 * time.Second
	)
	type window struct {
		begin, end clock.Instant
		requests   int
	}
	for i := range 10 * *worldSeeds {
		seed := *worldSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			later := map[clock.Instant][]func(){}
			var now clock.Instant
			after := func(f func()) {
				at := now.Add(time.Duration(1+rng.IntN(30)) * worldStep)
				later[at] = append(later[at], f)
			}
			bs := newBackoffs("n")
			var windows []*window
			shedding, taken, arrivals := false, 0, 0
			arrive := func(sent clock.Instant) {
				arrivals++
				for _, w := range windows {
					if now >= w.begin && now < w.end {
						if w.requests++; w.requests > mayArrive {
							t.Fatalf("%d requests within a rest, at %v", w.requests, now.Sub(worldStart))
						}
					}
				}
				var asked time.Duration
				if shedding {
					asked = time.Duration(rng.IntN(4000)) * time.Millisecond
					windows = append(windows, &window{begin: now.Add(toldAfter), end: now.Add(asked)})
				} else {
					taken++
				}
				after(func() { bs.answered("e", asked, sent, now) })
			}
			for now = worldStart; now < worldStart.Add(runs); now = now.Add(worldStep) {
				for _, f := range later[now] {
					f()
				}
				if rng.Float64() < worldStep.Seconds()/3 {
					shedding = !shedding
				}
				if rng.Float64() > perSecond*worldStep.Seconds() || !bs.allows("e", now) {
					continue
				}
				bs.take("e", now)
				sent := now
				after(func() { arrive(sent) })
			}
			if taken == 0 {
				t.Errorf("none of %d requests was taken", arrivals)
			}
		})
	}
}

// Guards against a crowd of requests at an endpoint whose rest is over.
func TestOneRequestTriesAnEndpointAfterItsRest(t *testing.T) {
	is := is.New(t)
	bs := newBackoffs("n")
	now := worldStart
	is.True(bs.answered("e", 2*time.Second, now, now))
	late := now.Add(10 * time.Millisecond)
	is.True(!bs.answered("e", 0, now, late)) // an answer to a request of before
	is.True(!bs.allows("e", late))
	now = now.Add(2*time.Second + maxBackoffJitter)
	is.True(bs.allows("e", now))
	bs.take("e", now)
	is.True(!bs.allows("e", now))
	is.True(bs.retryAfter("e", now) > 0)
	bs.answered("e", 0, now, now.Add(time.Millisecond))
	is.True(bs.allows("e", now.Add(time.Millisecond)))
}

// Guards against an endpoint that leaves and is used again when its entry comes back.
func TestLeavingIsFinalForALife(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(worldStart)
	g := New(Options{Node: "n", Clock: now})
	g.Answered("e~1", Signals{Leaving: true}, worldStart)
	g.Answered("e~1", Signals{}, worldStart) // overtaken
	is.True(!g.Allows("e~1") && !g.Take("e~1"))
	now.Advance(time.Minute)
	g.Sweep(func(ID) bool { return false })
	is.True(!g.Allows("e~1"))
	is.True(g.Allows("e~2")) // the next life
	for range 3 {
		now.Advance(leavingMemory)
		g.Sweep(func(ID) bool { return true })
		is.True(!g.Allows("e~1"))
	}
}
