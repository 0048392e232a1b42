package links

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/lateness"
)

const (
	// checkTimeout is the timeout of a check's connection. A round trip takes up to 6 ms.
	checkTimeout = 200 * time.Millisecond
	// checkInterval is the interval between two rounds of checks while links are lost.
	checkInterval = 250 * time.Millisecond
	// checksPerRound is the number of endpoints that are checked in a round.
	checksPerRound = 2
	// maxChecks is the number of checks of silent endpoints at a time.
	maxChecks = 4
	// recentSuccess is the age up to which a sign of life of any endpoint shows that the node has
	// its links, so that a silent endpoint needs no check.
	recentSuccess = 100 * time.Millisecond
	// probesPerRound is the number of endpoints that are probed when all links may be lost. Some
	// of them may have crashed, too.
	probesPerRound = 4
	// probeInterval is the minimum interval between the starts of two rounds.
	probeInterval = 250 * time.Millisecond
)

// Monitor keeps the Health of a node's links and checks lost ones until they work again.
type Monitor struct {
	Clock clock.Clock
	Log   *slog.Logger
	// Lateness extends timeouts while this node is late; nil: never.
	Lateness *lateness.Monitor
	// Dial opens a direct connection to an endpoint.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Verify finds out who can connect to an endpoint and records the state of the link.
	Verify func(ctx context.Context, addr string) Finding
	// Listed returns the addresses of the endpoints that requests may use.
	Listed func() []string
	// OnAllLost is called when all links are considered lost; may be nil.
	OnAllLost func()

	metrics *metrics
	wake    chan struct{}
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	work    sync.WaitGroup // checks of silent endpoints

	mu       sync.Mutex
	health   *Health
	checking map[string]bool // endpoints whose check is in progress
	probing  bool            // a round of probes is in progress
	probedAt clock.Instant   // when the latest round began; 0: never
}

type metrics struct {
	lost     prometheus.Gauge
	changes  *prometheus.CounterVec
	failures *prometheus.CounterVec
	relayed  *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		lost: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_links_lost", Help: "1 while this node considers all of its links to endpoints lost.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_links_changes_total", Help: "Losses and returns of all links to endpoints.",
		}, []string{"change"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_links_failures_total", Help: "Direct connections to endpoints that could not be opened, by how they failed.",
		}, []string{"how"}),
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_links_relayed_total", Help: "Attempts to connect to an endpoint through another node, by result.",
		}, []string{"result"}),
	}
	if reg != nil {
		reg.MustRegister(m.lost, m.changes, m.failures, m.relayed)
	}
	return m
}

// Init prepares the monitor and registers its metrics; reg may be nil.
func (m *Monitor) Init(reg prometheus.Registerer) *Monitor {
	m.health, m.checking = NewHealth(), map[string]bool{}
	m.metrics, m.wake = newMetrics(reg), make(chan struct{}, 1)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Close ends the checks in progress and waits for them.
func (m *Monitor) Close() {
	m.cancel()
	m.work.Wait()
}

// AreAllLost reports whether all links are considered lost.
func (m *Monitor) AreAllLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.AreAllLost()
}

// IsLost reports whether a new connection to the endpoint will probably fail.
func (m *Monitor) IsLost(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.IsLost(addr)
}

// IsSilent reports whether open connections to the endpoint will probably hang.
func (m *Monitor) IsSilent(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.IsSilent(addr)
}

// IsConfirmedLost reports whether another node reached the endpoint while this one did not.
func (m *Monitor) IsConfirmedLost(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.IsConfirmedLost(addr)
}

// RecordResponse records a response on a direct connection.
func (m *Monitor) RecordResponse() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RecordResponse(m.Clock.Now())
}

// RecordConnect records a direct connection that was opened.
func (m *Monitor) RecordConnect(addr string) {
	m.mu.Lock()
	change := m.health.RecordConnect(addr, m.Clock.Now())
	m.mu.Unlock()
	m.apply(change, addr)
}

// RecordFailure records a direct connection that could not be opened.
func (m *Monitor) RecordFailure(f Failure) {
	how := "refused"
	if f.Hung {
		how = "timeout"
	}
	m.metrics.failures.WithLabelValues(how).Inc()
	m.mu.Lock()
	change := m.health.RecordFailure(f, m.Clock.Now())
	m.mu.Unlock()
	if change == Suspected {
		m.startProbes()
	}
	m.apply(change, f.Addr)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// RecordEndpointDown records that another node can't connect to the endpoint either.
func (m *Monitor) RecordEndpointDown(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.health.RecordEndpointDown(addr)
}

// HasOtherLinks reports whether the node has links to endpoints other than the one at addr: one of
// them gave a sign of life lately, or accepts a connection now.
func (m *Monitor) HasOtherLinks(ctx context.Context, addr string) bool {
	m.mu.Lock()
	recent := m.hasRecentSuccess()
	m.mu.Unlock()
	if recent {
		return true
	}
	others := slices.DeleteFunc(m.Listed(), func(other string) bool { return other == addr })
	return len(others) > 0 && m.probe(ctx, others[rand.IntN(len(others))])
}

func (m *Monitor) hasRecentSuccess() bool {
	last := m.health.LastSuccess()
	return last != 0 && m.Clock.Now().Sub(last) < recentSuccess
}

// startProbes starts a round of probes that tell whether the links are lost or only some endpoints
// are down, unless there was one lately.
func (m *Monitor) startProbes() {
	listed := m.Listed()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if m.ctx.Err() != nil || m.probing || m.probedAt != 0 && now.Sub(m.probedAt) < probeInterval {
		return
	}
	m.probing, m.probedAt = true, now
	addrs := m.selectProbes(listed)
	m.work.Go(func() { m.runProbes(addrs) })
}

// runProbes probes the endpoints and records if none of them was reached.
func (m *Monitor) runProbes(addrs []string) {
	var probes sync.WaitGroup
	var reached atomic.Bool
	for _, addr := range addrs {
		probes.Go(func() {
			if m.probe(m.ctx, addr) {
				reached.Store(true)
			}
		})
	}
	probes.Wait()
	m.mu.Lock()
	m.probing = false
	change := Unchanged
	if !reached.Load() && m.ctx.Err() == nil {
		change = m.health.RecordProbesFailed(m.Clock.Now())
	}
	m.mu.Unlock()
	m.apply(change, "")
}

// selectProbes returns random listed endpoints to probe, those without a failure if there are any.
// m.mu is held.
func (m *Monitor) selectProbes(listed []string) []string {
	others := slices.DeleteFunc(slices.Clone(listed), m.health.IsLost)
	if len(others) == 0 {
		others = slices.Clone(listed)
	}
	rand.Shuffle(len(others), func(i, k int) { others[i], others[k] = others[k], others[i] })
	return others[:min(len(others), probesPerRound)]
}

// apply logs a change of the state of all links and passes it on.
func (m *Monitor) apply(c Change, addr string) {
	if c == Unchanged || c == Suspected {
		return
	}
	m.mu.Lock()
	failed, confirmed := m.health.evidence(m.Clock.Now())
	lost, silent := len(m.health.links), m.Clock.Now().Sub(m.health.LastSuccess())
	m.mu.Unlock()
	if c == Regained {
		m.metrics.lost.Set(0)
		m.metrics.changes.WithLabelValues("regained").Inc()
		m.Log.Info("links to endpoints regained", "endpoint", addr, "still_lost", lost)
		return
	}
	m.metrics.lost.Set(1)
	m.metrics.changes.WithLabelValues("lost").Inc()
	m.Log.Warn("links to endpoints lost", "endpoint", addr, "failed", failed, "reached_by_peers", confirmed,
		"listed", len(m.Listed()), "last_success_ms_ago", silent.Milliseconds())
	if m.OnAllLost != nil {
		m.OnAllLost()
	}
}

// Finding is who can connect to an endpoint.
type Finding int

// The findings.
const (
	Nobody    Finding = iota // neither this node nor another one that has links, or that is unknown
	ThisNode                 // this node directly
	OtherNode                // another node, but not this one: the link is lost
)

// Check finds out who can connect to an endpoint that has fallen silent or broken a connection, and
// calls done with the result: at once if another sign of life shows that this node has its links,
// never if too many checks are running.
func (m *Monitor) Check(addr string, done func(Finding)) {
	m.mu.Lock()
	if m.hasRecentSuccess() {
		m.mu.Unlock()
		done(ThisNode)
		return
	}
	if m.ctx.Err() != nil || m.checking[addr] || len(m.checking) >= maxChecks {
		m.mu.Unlock()
		return
	}
	m.checking[addr] = true
	m.work.Go(func() { m.check(addr, done) })
	m.mu.Unlock()
}

func (m *Monitor) check(addr string, done func(Finding)) {
	found := m.Verify(m.ctx, addr)
	m.mu.Lock()
	delete(m.checking, addr)
	m.mu.Unlock()
	if m.ctx.Err() == nil {
		done(found)
	}
}

// probe opens a direct connection to an endpoint, closes it and records the result.
func (m *Monitor) probe(ctx context.Context, addr string) bool {
	dialCtx, cancel := m.Lateness.WithTimeout(ctx, checkTimeout)
	defer cancel()
	started := m.Clock.Now()
	conn, err := m.Dial(dialCtx, addr)
	if ctx.Err() != nil {
		return false // the node stops
	}
	if err != nil {
		m.RecordFailure(Failure{Addr: addr, StartedAt: started, Hung: dialCtx.Err() != nil})
		return false
	}
	conn.Close()
	m.RecordConnect(addr)
	return true
}

// Run checks lost links until ctx ends. It wakes up only while links are lost.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.wake:
		}
		for m.hasLost() {
			jitter := time.Duration(rand.Int64N(int64(checkInterval / 2)))
			if !clock.Sleep(ctx, checkInterval*3/4+jitter) {
				return nil
			}
			m.checkAll(ctx, m.addrsToCheck())
		}
	}
}

// hasLost reports whether any link is considered lost.
func (m *Monitor) hasLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.health.AreAllLost() || len(m.health.links) > 0
}

// checkAll checks endpoints at the same time and waits for the results. While not all links are
// lost, other nodes tell whether it is the endpoint that is down.
func (m *Monitor) checkAll(ctx context.Context, addrs []string) {
	check := func(addr string) { m.Verify(ctx, addr) }
	if m.AreAllLost() {
		check = func(addr string) { m.probe(ctx, addr) }
	}
	var checks sync.WaitGroup
	for _, addr := range addrs {
		checks.Go(func() { check(addr) })
	}
	checks.Wait()
}

// addrsToCheck returns the endpoints of the next round of checks, random ones among those over
// whose links connections failed, or among all while every link is considered lost.
func (m *Monitor) addrsToCheck() []string {
	listed := m.Listed()
	isListed := make(map[string]bool, len(listed))
	for _, addr := range listed {
		isListed[addr] = true
	}
	m.mu.Lock()
	m.health.Retain(func(addr string) bool { return isListed[addr] })
	out := m.health.Lost()
	if m.health.AreAllLost() {
		out = listed
	}
	m.mu.Unlock()
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out[:min(len(out), checksPerRound)]
}
