package intake

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"chervilloom/internal/clock"
	"chervilloom/internal/memory"
)

const (
	// maxBatch is the most connections that are handed on together. The next ones follow when each
	// of them has had its first turn on the processor, after whatever else is runnable: the requests
	// that were read before go first.
	maxBatch = 16
	// slowBatch and fastBatch are the times for the first turns of a batch beyond and below which the
	// next one is half and twice as large, so that requests don't wait longer on slow processors.
	slowBatch = 25 * time.Millisecond
	fastBatch = 10 * time.Millisecond
	// behindTime is how long the node counts as behind after it has turned connections away.
	behindTime = time.Second
	// logInterval is the minimum interval between two log lines about connections turned away.
	logInterval = time.Second
)

// Listener accepts the connections of clients and turns away those that the node can't serve. It
// implements net.Listener.
type Listener struct {
	*net.TCPListener
	Clock clock.Clock
	Log   *slog.Logger
	// MaxPending is the maximum number of connections that wait to be served; 0: maxBacklog.
	MaxPending int
	ConnLimiter

	metrics metrics

	mu         sync.Mutex
	backlog    Backlog[int]  // of sockets
	allStarted sync.Cond     // signalled when unstarted becomes 0
	unstarted  int           // connections handed on that have not had a turn on the processor yet
	full       bool          // a batch was handed on and some of it is unstarted
	batch      int           // size of a batch
	batchBegan clock.Instant // when the first connection of the current batch was handed on
	behindAt   clock.Instant // when connections were last turned away as excess; 0: never
	closed     bool
	turnedAway int // since loggedAt
	loggedAt   clock.Instant
}

type metrics struct {
	turnedAway *prometheus.CounterVec
	wait       prometheus.Histogram
}

// Reasons for which a connection is turned away, as labels.
const (
	reasonBehind = "behind" // the node serves fewer than arrive
	reasonOpen   = "open"   // MaxOpen connections are open
)

// Listen opens the TCP socket of a listener for clients. At most backlog connections wait in the
// kernel's queue; 0: as many as the kernel allows. Keep-alive probes are set up only for the connections
// that are handed on to the server: those that are turned away should cost few system calls.
func Listen(ctx context.Context, addr string, backlog int) (*net.TCPListener, error) {
	c := net.ListenConfig{KeepAlive: -1, Control: memory.SetReceiveBuffer}
	ln, err := c.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := ln.(*net.TCPListener)
	if backlog > 0 {
		if err := setBacklog(tcp, backlog); err != nil {
			return nil, errors.Join(err, ln.Close())
		}
	}
	return tcp, nil
}

// setBacklog sets the length of a listening socket's queue.
func setBacklog(ln *net.TCPListener, backlog int) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) })
	return errors.Join(err, listenErr)
}

// Init prepares the listener and registers its metrics; reg may be nil.
func (l *Listener) Init(reg prometheus.Registerer) *Listener {
	l.allStarted.L = &l.mu
	l.backlog.Max = l.MaxPending
	l.ConnLimiter.init(l.Clock, l.Log, reg)
	l.ConnLimiter.onStart = l.started
	l.batch = maxBatch
	l.metrics = metrics{
		turnedAway: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_intake_turned_away_total", Help: "Connections of clients that were closed unread, by reason.",
		}, []string{"reason"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chervilloom_intake_wait_seconds", Help: "Time from accepting a client's connection to its first turn on the processor: the delay of the node itself.",
			Buckets: []float64{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2},
		}),
	}
	if reg != nil {
		reg.MustRegister(l.metrics.turnedAway, l.metrics.wait,
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "chervilloom_intake_waiting", Help: "Connections of clients that wait to be served.",
			}, func() float64 { return float64(l.waiting()) }),
			prometheus.NewGaugeFunc(prometheus.GaugeOpts{
				Name: "chervilloom_intake_open", Help: "Open connections of clients.",
			}, func() float64 { return float64(l.Open()) }))
	}
	return l
}

func (l *Listener) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog.Len()
}

// Keeps reports whether a client may keep its connection for further requests. Otherwise it should be
// asked to close it: clients then spread over other nodes, and idle connections leave room for
// new ones.
func (l *Listener) Keeps(c net.Conn) bool {
	l.mu.Lock()
	isBehind := l.behindAt != 0 && l.Clock.Now().Sub(l.behindAt) < behindTime
	l.mu.Unlock()
	return !isBehind && l.ConnLimiter.keep(c)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, accepted, err := l.next()
		if err != nil {
			return nil, err
		}
		if c != nil {
			if conn := l.handOn(c, accepted); conn != nil {
				return conn, nil
			}
		}
	}
}

// next returns the connection to hand on next, and when it was accepted. It returns nil if there is
// none in the backlog any more.
func (l *Listener) next() (*net.TCPConn, clock.Instant, error) {
	if l.mayAcceptDirectly() {
		c, err := l.AcceptTCP()
		now := l.Clock.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.backlog.CountStart(now)
		return c, now, err
	}
	if !l.awaitTurns() {
		return nil, 0, net.ErrClosed
	}
	l.pull()
	l.mu.Lock()
	fd, accepted, ok := l.backlog.Next(l.Clock.Now())
	l.mu.Unlock()
	if !ok {
		return nil, 0, nil
	}
	c, err := tcpConn(fd)
	if err != nil {
		l.Log.Warn("accepted connection can't be used; it is closed", "err", err)
	}
	return c, accepted, nil
}

// tcpConn returns the connection of an accepted socket, which it takes over.
func tcpConn(fd int) (*net.TCPConn, error) {
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	c, err := net.FileConn(f) // duplicates the descriptor
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		c.Close()
		return nil, errNoTCP
	}
	return tcp, nil
}

// errNoTCP means that an accepted socket is not a TCP connection.
var errNoTCP = errors.New("intake: the accepted socket is not a TCP connection")

// mayAcceptDirectly reports whether no connection waits and a batch is not full.
func (l *Listener) mayAcceptDirectly() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog.Len() == 0 && !l.full
}

// awaitTurns waits, once a batch has been handed on, until each of its connections has had a turn.
// It returns false if the listener is closed.
func (l *Listener) awaitTurns() bool {
	l.mu.Lock()
	waits := l.full
	for l.full && !l.closed {
		l.allStarted.Wait()
	}
	closed := l.closed
	l.mu.Unlock()
	if waits {
		runtime.Gosched() // what became runnable meanwhile goes first
	}
	return !closed
}

// pull accepts all pending connections into the backlog and turns away its excess. They stay bare
// sockets until they are handed on, so that turning one away costs two system calls.
func (l *Listener) pull() {
	raw, err := l.SyscallConn()
	if err != nil {
		return // closed
	}
	var excess []int
	now := l.Clock.Now()
	l.mu.Lock()
	err = raw.Control(func(listening uintptr) {
		for !l.closed {
			fd, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.EINTR) {
				continue
			}
			if err != nil { // none is pending, or no descriptor is left
				return
			}
			if oldest, full := l.backlog.Add(fd, now); full {
				excess = append(excess, oldest)
			}
		}
	})
	excess = append(excess, l.backlog.Excess(now)...)
	l.mu.Unlock()
	if err != nil {
		l.Log.Debug("pending connections are not accepted", "err", err)
	}
	l.closeSockets(excess)
	l.recordTurnedAway(reasonBehind, len(excess))
}

// closeSockets closes accepted sockets unread.
func (l *Listener) closeSockets(fds []int) {
	for _, fd := range fds {
		if err := unix.Close(fd); err != nil {
			l.Log.Debug("accepted socket not closed", "err", err)
		}
	}
}

// recordTurnedAway counts connections that were closed unread and logs a line at times.
func (l *Listener) recordTurnedAway(reason string, n int) {
	if n == 0 {
		return
	}
	l.metrics.turnedAway.WithLabelValues(reason).Add(float64(n))
	now := l.Clock.Now()
	l.mu.Lock()
	l.turnedAway += n
	if reason == reasonBehind {
		l.behindAt = now
	}
	count, waiting := l.turnedAway, l.backlog.Len()
	isDue := l.loggedAt == 0 || now.Sub(l.loggedAt) >= logInterval
	if isDue {
		l.turnedAway, l.loggedAt = 0, now
	}
	l.mu.Unlock()
	if isDue {
		l.Log.Warn("connections turned away", "reason", reason, "count", count, "waiting", waiting, "open", l.OpenByState())
	}
}

// handOn returns the connection for the server, or nil if it was turned away.
func (l *Listener) handOn(c *net.TCPConn, accepted clock.Instant) net.Conn {
	handed, ok := l.admit(c, accepted)
	if !ok {
		c.Close()
		l.recordTurnedAway(reasonOpen, 1)
		return nil
	}
	l.mu.Lock()
	if l.unstarted++; l.unstarted == 1 && !l.full {
		l.batchBegan = l.Clock.Now()
	}
	l.full = l.full || l.unstarted >= l.batch
	l.mu.Unlock()
	if err := c.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true}); err != nil {
		l.Log.Debug("no keep-alive probes for a client", "err", err)
	}
	return handed
}

// Close implements net.Listener. Connections that wait are closed unread.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	waiting := l.backlog.TakeAll()
	l.allStarted.Broadcast()
	l.mu.Unlock()
	l.closeSockets(waiting)
	return l.TCPListener.Close()
}

// started is called when the connection's goroutine runs.
func (l *Listener) started(c *conn) {
	now := l.Clock.Now()
	l.metrics.wait.Observe(now.Sub(c.accepted).Seconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unstarted--; l.unstarted > 0 {
		return
	}
	if l.full {
		l.adaptBatch(now.Sub(l.batchBegan))
	}
	l.full = false
	l.allStarted.Signal()
}

// adaptBatch sets the size of the next batch by the time that the last one took. l.mu is held.
func (l *Listener) adaptBatch(took time.Duration) {
	switch {
	case took > slowBatch:
		l.batch = max(1, l.batch/2)
	case took < fastBatch:
		l.batch = min(maxBatch, 2*l.batch)
	}
}
