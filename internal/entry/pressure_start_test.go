package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/clock"
	"chervilloom/internal/news"
	"chervilloom/internal/standin/pressure"
)

// pressurePlay simulates clients that ask a fleet for twenty times as many requests as an endpoint
// accepts, while the nodes' processes are killed and start again.
type pressurePlay struct {
	*world
	t        *testing.T
	rng      *rand.Rand
	endpoint backpressure.ID
	coldRate float64 // of the endpoint; 0: it isn't cold
	monitor  pressure.Monitor
	arrivals []clock.Instant
}

var signalHeaders = pressure.HeaderNames{Limit: "Limit", RetryAfter: "Retry-After", Leaving: "Leaving", NotRun: "Not-Run", NotRunValue: "1"}

// connectMessages lets the nodes exchange messages.
func (p *pressurePlay) connectMessages() {
	for _, x := range p.nodes {
		if x.sendsInWorld {
			continue
		}
		x.sendsInWorld = true
		x.send = func(m news.Message, to ...string) {
			for _, addr := range to {
				p.mu.Lock()
				y := p.nodes[addr]
				isReached := y != nil && p.reaches(x, y)
				p.mu.Unlock()
				if isReached {
					y.handleMessage(m)
				}
			}
		}
	}
}

// request lets a random node serve one request if it can.
func (p *pressurePlay) request(vms []string) {
	vm := vms[p.rng.IntN(len(vms))]
	n := p.nodes[vm]
	if n == nil || !n.acceptsKeys() || !n.roster.current.Load().IsLoaded() || !n.backpressureGuard.TakeCold(p.endpoint, p.coldRate) {
		return
	}
	sentAt := p.clock.Now()
	p.arrivals = append(p.arrivals, sentAt)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("X-Request-Id", vm+"."+strconv.Itoa(len(p.arrivals)))
	w := httptest.NewRecorder()
	p.monitor.Serve(w, r, signalHeaders, pressure.GracePeriods{Limit: 2 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	var s backpressure.Signals
	if err := s.ParseLimit(w.Header().Get(signalHeaders.Limit)); err != nil {
		p.t.Fatal(err)
	}
	if err := s.ParseRetryAfter(w.Header()[signalHeaders.RetryAfter]); err != nil {
		p.t.Fatal(err)
	}
	n.backpressureGuard.RecordAnswer(p.endpoint, s, sentAt)
}

// run sends requests for a while. Every interval a share of the nodes is killed and starts again.
func (p *pressurePlay) run(length time.Duration, rate float64, interval time.Duration, share float64) {
	const step = 50 * time.Millisecond
	p.startAll(true)
	p.connectMessages()
	var vms, down []string
	for vm := range p.nodes {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	pending, began := 0.0, time.Now()
	nextKill, nextSweep, restartAt := began.Add(interval), began.Add(sweepInterval), time.Time{}
	for time.Since(began) < length {
		time.Sleep(step)
		if now := time.Now(); now.After(nextKill) && len(down) == 0 {
			nextKill, restartAt = now.Add(interval), now.Add(restartDelay)
			for _, i := range p.rng.Perm(len(vms))[:int(share*float64(len(vms)))] {
				down = append(down, vms[i])
			}
			p.killNodes(down)
		}
		if len(down) > 0 && time.Now().After(restartAt) {
			for _, vm := range down {
				p.startVM(vm)
			}
			p.connectMessages()
			down = nil
		}
		if time.Now().After(nextSweep) {
			nextSweep = nextSweep.Add(sweepInterval)
			for _, x := range p.nodes {
				x.backpressureGuard.Sweep(x.isListed)
			}
		}
		for pending += rate * step.Seconds(); pending >= 1; pending-- {
			p.request(vms)
		}
	}
	p.stopAll()
}

// Guards against more requests than an endpoint accepts from processes that have just started: they
// know neither the other nodes nor what the endpoint has told the processes before them.
func TestStartingNodesKeepToEndpointLimits(t *testing.T) {
	const (
		limit    = 2.0 // requests a second
		backoff  = 3 * time.Second
		demand   = 20 * limit
		coldOver = 1.5
		coldMore = 5
	)
	for _, c := range []struct {
		name     string
		signals  pressure.Signals
		coldRate float64
	}{{"limit", pressure.Signals{Limit: limit}, 0}, {"backoff", pressure.Signals{RetryAfter: backoff}, 0}, {"cold", pressure.Signals{}, limit}} {
		for _, f := range []struct {
			zones, perZone int
			length         time.Duration
			seeds          uint64
		}{{3, 2, 20 * time.Second, 5}, {3, 24, 8 * time.Second, 10}, {5, 197, 6 * time.Second, 1}} {
			for _, kills := range []struct {
				interval time.Duration
				share    float64
			}{{time.Hour, 0}, {1500 * time.Millisecond, 0.5}, {4 * time.Second, 1}} {
				for seed := range f.seeds {
					t.Run(fmt.Sprintf("%s, %d nodes, %v killed every %v, seed %d", c.name, f.zones*f.perZone, kills.share, kills.interval, seed), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							w := newWorld(f.zones, f.perZone, 64)
							p := &pressurePlay{world: w, t: t, rng: rand.New(rand.NewPCG(seed, 2)), endpoint: backpressure.ID(w.store.endpoints[0].ID), coldRate: c.coldRate}
							p.monitor.SetSignals(c.signals)
							p.run(f.length, demand, kills.interval, kills.share)
							inSecond, inWindow := 0, 0
							for _, at := range p.arrivals {
								inSecond = max(inSecond, countAfter(p.arrivals, at.Add(-time.Second))-countAfter(p.arrivals, at))
								inWindow = max(inWindow, countAfter(p.arrivals, at.Add(-4*time.Second))-countAfter(p.arrivals, at))
							}
							t.Logf("%d requests, at most %d in a second and %d in 4 s", len(p.arrivals), inSecond, inWindow)
							if bound := c.coldRate*coldOver + coldMore; c.coldRate > 0 && float64(inSecond) > bound {
								t.Errorf("%d requests in one second at a cold endpoint, %v allowed", inSecond, bound)
							}
							for _, v := range p.monitor.Violations() {
								t.Error(v)
							}
						})
					})
				}
			}
		}
	}
}
