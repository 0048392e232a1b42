package intake

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/memory"
)

// Reasons for which an open connection is closed, as labels, beside those for which it is closed while
// it waits for something.
const (
	reasonTooLong = "too_long" // a head exceeds the limit
	reasonMemory  = "memory"   // there is no memory for a head
)

const (
	// evictBatch is the number of connections that are chosen together, since a choice looks at all.
	evictBatch = 16
	// evictedShare is the number of evicted connections that may still be open beyond the maximum, as a
	// share of it.
	evictedShare = 0.25
	// closedLogInterval is the minimum interval between two log lines about closed connections.
	closedLogInterval = 10 * time.Second
)

// ConnLimiter bounds the open connections of a listener. At the maximum, a new connection replaces one
// whose client has stalled.
type ConnLimiter struct {
	Name    string // of the listener, in logs and metrics
	MaxOpen int    // maximum number of open connections; 0: no limit
	// Limits returns the limits that are in force; nil: DefaultLimits.
	Limits func() Limits
	// Budget is the memory for heads; nil: not bounded.
	Budget *memory.Budget

	clock   clock.Clock
	log     *slog.Logger
	onStart func(*conn) // nil: nothing
	closed  *prometheus.CounterVec

	mu       sync.Mutex
	open     map[*conn]struct{}
	evicted  int // of open
	kept     int // of open: may be idle between requests
	closings map[string]int
	loggedAt clock.Instant
}

// DefaultLimits apply where the operator sets none.
var DefaultLimits = Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}

func (l *ConnLimiter) init(clk clock.Clock, log *slog.Logger, reg prometheus.Registerer) {
	l.clock, l.log, l.open, l.closings = clk, log, map[*conn]struct{}{}, map[string]int{}
	l.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name:        "chervilloom_intake_closed_total",
		Help:        "Connections that were closed because their client stalled or exceeded a limit, by listener and reason.",
		ConstLabels: prometheus.Labels{"listener": l.Name},
	}, []string{"reason"})
	if reg == nil {
		return
	}
	reg.MustRegister(l.closed)
	for w := forFirstByte; w <= forClose; w++ {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "chervilloom_intake_waiting_for",
			Help:        "Open connections by listener and by what they wait for.",
			ConstLabels: prometheus.Labels{"listener": l.Name, "state": w.String()},
		}, func() float64 { return float64(l.OpenByState()[w.String()]) }))
	}
}

// Open returns the number of open connections.
func (l *ConnLimiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// OpenByState returns the number of open connections by what they wait for.
func (l *ConnLimiter) OpenByState() map[string]int {
	_, infos := l.infos()
	out := map[string]int{}
	for _, h := range infos {
		out[h.waits.String()]++
	}
	return out
}

// admit adds a new connection. It returns false if there is no room for it.
func (l *ConnLimiter) admit(c *net.TCPConn, accepted clock.Instant) (*conn, bool) {
	if !l.hasRoom() {
		l.evictStalled()
		if !l.hasRoom() {
			return nil, false
		}
	}
	out := newConn(c, l, accepted)
	l.mu.Lock()
	l.open[out] = struct{}{}
	l.mu.Unlock()
	return out, true
}

func (l *ConnLimiter) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.MaxOpen <= 0 || len(l.open)-min(l.evicted, l.maxEvicted()) < l.MaxOpen
}

// maxEvicted returns how many evicted connections may still be open beyond MaxOpen.
func (l *ConnLimiter) maxEvicted() int { return int(evictedShare * float64(l.MaxOpen)) }

const (
	// crowdedShare is the share of the maximum beyond which no client may keep its connection.
	crowdedShare = 0.75
	// keptShare is the share of the maximum that idle connections may take.
	keptShare = 0.5
)

// keep reports whether a connection may be idle between requests.
func (l *ConnLimiter) keep(nc net.Conn) bool {
	c, ok := nc.(*conn)
	if !ok || l.MaxOpen <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if float64(len(l.open)) > crowdedShare*float64(l.MaxOpen) {
		return false
	}
	if !c.isKept && float64(l.kept) < keptShare*float64(l.MaxOpen) {
		c.isKept = true
		l.kept++
	}
	return c.isKept
}

// evictStalled closes stalled connections, so that new ones find room.
func (l *ConnLimiter) evictStalled() {
	l.mu.Lock()
	left := min(evictBatch, l.maxEvicted()+1-l.evicted)
	l.mu.Unlock()
	if left <= 0 {
		return
	}
	conns, infos := l.infos()
	l.evict(conns, longestStalled(infos, l.now(), l.limits().IdleTimeout), func(int) bool {
		left--
		return left > 0
	})
}

// EvictForMemory closes connections with stalled requests that hold the missing bytes.
func (l *ConnLimiter) EvictForMemory(missing int64) {
	conns, infos := l.infos()
	l.evict(conns, largestStalled(infos, l.now()), func(i int) bool {
		missing -= int64(infos[i].held)
		return missing > 0
	})
}

func (l *ConnLimiter) infos() ([]*conn, []connInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns, infos := make([]*conn, 0, len(l.open)), make([]connInfo, 0, len(l.open))
	for c := range l.open {
		conns, infos = append(conns, c), append(infos, c.connInfo())
	}
	return conns, infos
}

// evict closes the chosen connections in their order, until more returns false for one that it has
// closed.
func (l *ConnLimiter) evict(conns []*conn, chosen []int, more func(index int) bool) {
	for _, i := range chosen {
		l.mu.Lock()
		l.evicted++
		l.mu.Unlock()
		reason := conns[i].connInfo().waits.String()
		if conns[i].evict() {
			l.recordClosed(reason)
			if !more(i) {
				return
			}
			continue
		}
		l.mu.Lock()
		l.evicted--
		l.mu.Unlock()
	}
}

// ConnLimiter implements owner.

func (l *ConnLimiter) now() clock.Instant { return l.clock.Now() }

func (l *ConnLimiter) limits() Limits {
	if l.Limits == nil {
		return DefaultLimits
	}
	return l.Limits()
}

func (l *ConnLimiter) budget() *memory.Budget { return l.Budget }

func (l *ConnLimiter) started(c *conn) {
	if l.onStart != nil {
		l.onStart(c)
	}
}

func (l *ConnLimiter) ended(c *conn) {
	evicted := c.connInfo().isEvicted
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	if c.isKept {
		l.kept--
	}
	if evicted {
		l.evicted--
	}
}

// recordClosed counts a connection that is closed and logs a line at times.
func (l *ConnLimiter) recordClosed(reason string) {
	l.closed.WithLabelValues(reason).Inc()
	now := l.now()
	l.mu.Lock()
	l.closings[reason]++
	isDue := l.loggedAt == 0 || now.Sub(l.loggedAt) >= closedLogInterval
	var counts map[string]int
	if isDue {
		counts, l.closings, l.loggedAt = l.closings, map[string]int{}, now
	}
	open := len(l.open)
	l.mu.Unlock()
	if isDue {
		l.log.Warn("connections of stalled clients closed", "listener", l.Name, "reasons", counts, "open", open)
	}
}
