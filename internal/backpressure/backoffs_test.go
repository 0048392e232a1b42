package backpressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// Guards against requests during a backoff when answers arrive out of order.
func TestNoRequestsDuringBackoff(t *testing.T) {
	const (
		perSecond       = 60
		allowedArrivals = 2
		duration        = 30 * time.Second
	)
	type window struct {
		begin, end clock.Instant
		requests   int
	}
	for i := range 10 * *simSeeds {
		seed := *simSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 11))
			scheduled := map[clock.Instant][]func(){}
			var now clock.Instant
			schedule := func(f func()) {
				at := now.Add(time.Duration(1+rng.IntN(30)) * simStep)
				scheduled[at] = append(scheduled[at], f)
			}
			bs := newBackoffs("n")
			var windows []*window
			shedding, accepted, arrivals := false, 0, 0
			arrive := func(sent clock.Instant) {
				arrivals++
				for _, w := range windows {
					if now >= w.begin && now < w.end {
						if w.requests++; w.requests > allowedArrivals {
							t.Fatalf("%d requests during a backoff, at %v", w.requests, now.Sub(simStart))
						}
					}
				}
				var requested time.Duration
				if shedding {
					requested = time.Duration(rng.IntN(4000)) * time.Millisecond
					windows = append(windows, &window{begin: now.Add(reactionTime), end: now.Add(requested)})
				} else {
					accepted++
				}
				schedule(func() { bs.recordAnswer("e", requested, sent, now) })
			}
			for now = simStart; now < simStart.Add(duration); now = now.Add(simStep) {
				for _, f := range scheduled[now] {
					f()
				}
				if rng.Float64() < simStep.Seconds()/3 {
					shedding = !shedding
				}
				if rng.Float64() > perSecond*simStep.Seconds() || !bs.isAllowed("e", now) {
					continue
				}
				bs.recordSend("e", now)
				sent := now
				schedule(func() { arrive(sent) })
			}
			if accepted == 0 {
				t.Errorf("none of %d requests was accepted", arrivals)
			}
		})
	}
}

// Guards against a burst of requests to an endpoint whose backoff has ended.
func TestOneTrialRequestAfterBackoff(t *testing.T) {
	is := is.New(t)
	bs := newBackoffs("n")
	now := simStart
	is.True(bs.recordAnswer("e", 2*time.Second, now, now))
	late := now.Add(10 * time.Millisecond)
	is.True(!bs.recordAnswer("e", 0, now, late)) // an answer to an earlier request
	is.True(!bs.isAllowed("e", late))
	now = now.Add(2*time.Second + maxBackoffJitter)
	is.True(bs.isAllowed("e", now))
	bs.recordSend("e", now)
	is.True(!bs.isAllowed("e", now))
	is.True(bs.retryAfter("e", now) > 0)
	bs.recordAnswer("e", 0, now, now.Add(time.Millisecond))
	is.True(bs.isAllowed("e", now.Add(time.Millisecond)))
}

// Guards against a leaving endpoint that is used again when its entry reappears.
func TestLeavingIsFinalForEndpointLifetime(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(simStart)
	g := New(Options{Node: "n", Clock: now})
	g.RecordAnswer("e~1", Signals{Leaving: true}, simStart)
	g.RecordAnswer("e~1", Signals{}, simStart) // an earlier answer that arrives late
	is.True(!g.Allows("e~1") && !g.Take("e~1"))
	now.Advance(time.Minute)
	g.Sweep(func(ID) bool { return false })
	is.True(!g.Allows("e~1"))
	is.True(g.Allows("e~2")) // the endpoint's next lifetime
	for range 3 {
		now.Advance(leavingMemory)
		g.Sweep(func(ID) bool { return true })
		is.True(!g.Allows("e~1"))
	}
}
