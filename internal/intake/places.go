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
	// evictedShare is the share of the places that may still be taken by evicted connections.
	evictedShare = 0.25
	// closedLogInterval is the minimum interval between two log lines about closed connections.
	closedLogInterval = 10 * time.Second
)

// Places are the open connections of a listener. When all are taken, a newcomer gets the place of a
// connection whose client has stalled.
type Places struct {
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

func (p *Places) init(clk clock.Clock, log *slog.Logger, reg prometheus.Registerer) {
	p.clock, p.log, p.open, p.closings = clk, log, map[*conn]struct{}{}, map[string]int{}
	p.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name:        "chervilloom_intake_closed_total",
		Help:        "Connections that were closed because their client stalled or exceeded a limit, by listener and reason.",
		ConstLabels: prometheus.Labels{"listener": p.Name},
	}, []string{"reason"})
	if reg == nil {
		return
	}
	reg.MustRegister(p.closed)
	for w := forFirstByte; w <= forClose; w++ {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name:        "chervilloom_intake_waiting_for",
			Help:        "Open connections by listener and by what they wait for.",
			ConstLabels: prometheus.Labels{"listener": p.Name, "state": w.String()},
		}, func() float64 { return float64(p.OpenByState()[w.String()]) }))
	}
}

// Open returns the number of open connections.
func (p *Places) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// OpenByState returns the number of open connections by what they wait for.
func (p *Places) OpenByState() map[string]int {
	_, holders := p.holders()
	out := map[string]int{}
	for _, h := range holders {
		out[h.waits.String()]++
	}
	return out
}

// admit gives a new connection a place. It returns false if there is none.
func (p *Places) admit(c *net.TCPConn, accepted clock.Instant) (*conn, bool) {
	if !p.hasPlace() {
		p.evictStalled()
		if !p.hasPlace() {
			return nil, false
		}
	}
	out := newConn(c, p, accepted)
	p.mu.Lock()
	p.open[out] = struct{}{}
	p.mu.Unlock()
	return out, true
}

func (p *Places) hasPlace() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.MaxOpen <= 0 || len(p.open)-min(p.evicted, p.maxEvicted()) < p.MaxOpen
}

// maxEvicted returns how many evicted connections may still be open beside those that have a place.
func (p *Places) maxEvicted() int { return int(evictedShare * float64(p.MaxOpen)) }

const (
	// crowdedShare is the share of the places beyond which no client may keep its connection.
	crowdedShare = 0.75
	// keptShare is the share of the places that idle connections may take.
	keptShare = 0.5
)

// keep reports whether a connection may be idle between requests.
func (p *Places) keep(nc net.Conn) bool {
	c, ok := nc.(*conn)
	if !ok || p.MaxOpen <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if float64(len(p.open)) > crowdedShare*float64(p.MaxOpen) {
		return false
	}
	if !c.isKept && float64(p.kept) < keptShare*float64(p.MaxOpen) {
		c.isKept = true
		p.kept++
	}
	return c.isKept
}

// evictStalled closes connections for newcomers.
func (p *Places) evictStalled() {
	p.mu.Lock()
	left := min(evictBatch, p.maxEvicted()+1-p.evicted)
	p.mu.Unlock()
	if left <= 0 {
		return
	}
	conns, holders := p.holders()
	p.evict(conns, longestStalled(holders, p.now(), p.limits().IdleTimeout), func(int) bool {
		left--
		return left > 0
	})
}

// EvictForMemory closes connections with stalled requests that hold the missing bytes.
func (p *Places) EvictForMemory(missing int64) {
	conns, holders := p.holders()
	p.evict(conns, largestStalled(holders, p.now()), func(i int) bool {
		missing -= int64(holders[i].held)
		return missing > 0
	})
}

func (p *Places) holders() ([]*conn, []holder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns, holders := make([]*conn, 0, len(p.open)), make([]holder, 0, len(p.open))
	for c := range p.open {
		conns, holders = append(conns, c), append(holders, c.holder())
	}
	return conns, holders
}

// evict closes the chosen connections in their order, until more returns false for one that it has
// closed.
func (p *Places) evict(conns []*conn, chosen []int, more func(index int) bool) {
	for _, i := range chosen {
		p.mu.Lock()
		p.evicted++
		p.mu.Unlock()
		reason := conns[i].holder().waits.String()
		if conns[i].evict() {
			p.recordClosed(reason)
			if !more(i) {
				return
			}
			continue
		}
		p.mu.Lock()
		p.evicted--
		p.mu.Unlock()
	}
}

// The following implement owner.

func (p *Places) now() clock.Instant { return p.clock.Now() }

func (p *Places) limits() Limits {
	if p.Limits == nil {
		return DefaultLimits
	}
	return p.Limits()
}

func (p *Places) budget() *memory.Budget { return p.Budget }

func (p *Places) started(c *conn) {
	if p.onStart != nil {
		p.onStart(c)
	}
}

func (p *Places) ended(c *conn) {
	evicted := c.holder().isEvicted
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
	if c.isKept {
		p.kept--
	}
	if evicted {
		p.evicted--
	}
}

// recordClosed counts a connection that is closed and logs a line at times.
func (p *Places) recordClosed(reason string) {
	p.closed.WithLabelValues(reason).Inc()
	now := p.now()
	p.mu.Lock()
	p.closings[reason]++
	isDue := p.loggedAt == 0 || now.Sub(p.loggedAt) >= closedLogInterval
	var counts map[string]int
	if isDue {
		counts, p.closings, p.loggedAt = p.closings, map[string]int{}, now
	}
	open := len(p.open)
	p.mu.Unlock()
	if isDue {
		p.log.Warn("connections of stalled clients closed", "listener", p.Name, "reasons", counts, "open", open)
	}
}
