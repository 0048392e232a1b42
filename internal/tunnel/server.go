package tunnel

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/upstream"
)

const (
	// connectTimeout is the timeout of a connection to an endpoint. A round trip takes up to
	// 6 ms, and the requesting node waits 300 ms for the result, part of which has passed.
	connectTimeout = 150 * time.Millisecond
	// MaxTunnels bounds the tunnels through a node: each takes two descriptors and 8 KiB of
	// buffers. Nodes of other zones take what is beyond.
	MaxTunnels = 512
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 4 << 10
	// quietTime is how long a tunnel of a node that understands no frames must be without traffic
	// to count as unused while this node shuts down. A sound endpoint may fall silent for a second
	// or so.
	quietTime = 3 * time.Second
)

// Server connects other nodes to endpoints. It handles CONNECT requests.
type Server struct {
	Clock clock.Clock
	Log   *slog.Logger
	// Dial opens a direct connection to an endpoint and records whether the link works.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// HasLinks reports whether this node has links to endpoints, as far as it knows.
	HasLinks func() bool
	// HasOtherLinks finds out whether it has links to endpoints other than the one at addr.
	HasOtherLinks func(ctx context.Context, addr string) bool
	// HasNoLink reports whether another node reached the endpoint at addr while this one did not.
	HasNoLink func(addr string) bool
	// IsListed reports whether an address is that of a listed endpoint.
	IsListed func(addr string) bool
	// IsLeaving reports whether the node shuts down.
	IsLeaving func() bool

	results *prometheus.CounterVec
	open    atomic.Int64 // tunnels, including those that are being connected

	mu      sync.Mutex
	tunnels map[*pipe]struct{}
	leaving bool // AnnounceLeaving was called
	closed  bool
	work    sync.WaitGroup
}

// Init prepares the server and registers its metrics; reg may be nil.
func (s *Server) Init(reg prometheus.Registerer) *Server {
	s.tunnels = map[*pipe]struct{}{}
	s.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "chervilloom_tunnel_requests_total", Help: "Connections to endpoints that other nodes requested, by result.",
	}, []string{"result"})
	if reg != nil {
		reg.MustRegister(s.results, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "chervilloom_tunnel_open", Help: "Connections of other nodes to endpoints through this node.",
		}, func() float64 { return float64(s.open.Load()) }))
	}
	return s
}

// ServeHTTP connects the requesting node to an endpoint. The connection is always a direct one:
// a tunnel never passes a third node.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer s.open.Add(-1)
	if s.open.Add(1) > MaxTunnels {
		s.refuse(w, reasonFull)
		return
	}
	endpoint, why := s.connect(r.Context(), r.Host)
	if why != "" {
		s.refuse(w, why)
		return
	}
	isFramed := r.Header.Get(headerFrames) == framesV1
	node, err := hijack(w, isFramed)
	if err != nil {
		endpoint.Close()
		s.Log.Warn("tunnel not opened", "from", r.RemoteAddr, "endpoint", r.Host, "err", err)
		return
	}
	s.results.WithLabelValues("connected").Inc()
	log := s.Log.With("from", r.RemoteAddr, "endpoint", r.Host, "local", endpoint.LocalAddr().String())
	log.Debug("tunnel opened", "frames", isFramed)
	p := &pipe{clock: s.Clock, log: log, node: node, endpoint: endpoint, isFramed: isFramed}
	if s.add(p) {
		p.run()
		s.remove(p)
	}
}

// connect opens the connection to an endpoint, or returns why it could not.
func (s *Server) connect(ctx context.Context, addr string) (net.Conn, reason) {
	switch {
	case s.IsLeaving():
		return nil, reasonLeaving
	case !s.HasLinks():
		return nil, reasonNoLinks
	case !s.IsListed(addr):
		return nil, reasonUnknown
	case s.HasNoLink(addr):
		return nil, reasonNoLink
	}
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.Dial(dialCtx, addr)
	switch {
	case err == nil:
		return conn, ""
	case !s.HasOtherLinks(ctx, addr):
		return nil, reasonNoLinks // this node's links may just have been lost
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, reasonRefused
	}
	return nil, reasonUnreachable
}

func (s *Server) refuse(w http.ResponseWriter, why reason) {
	s.results.WithLabelValues(string(why)).Inc()
	w.Header().Set(headerReason, string(why))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hijack takes the connection over from the HTTP server and confirms the tunnel.
func hijack(w http.ResponseWriter, isFramed bool) (net.Conn, error) {
	conn, _, err := http.NewResponseController(w).Hijack() // the other node sends nothing before the response
	if err != nil {
		return nil, err
	}
	if err := upstream.SetTimeouts(conn); err != nil {
		conn.Close()
		return nil, err
	}
	header := ""
	if isFramed {
		header = headerFrames + ": " + framesV1 + "\r\n"
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+header+"\r\n"); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// add registers a tunnel. It returns false, and closes the tunnel, if the server is closed.
func (s *Server) add(p *pipe) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		p.abort()
		return false
	}
	s.tunnels[p] = struct{}{}
	s.work.Add(1)
	if s.leaving {
		p.announceLeaving()
	}
	return true
}

func (s *Server) remove(p *pipe) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, p)
	s.work.Done()
}

// OpenCount returns the number of tunnels, including those that are being connected.
func (s *Server) OpenCount() int { return int(s.open.Load()) }

// AnnounceLeaving tells the other nodes that this one shuts down: they close a tunnel as soon as no
// request uses it. Only they know when a response is complete.
func (s *Server) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for p := range s.tunnels {
		p.announceLeaving()
	}
}

// AwaitUnused waits until the other nodes have closed their tunnels or ctx ends.
func (s *Server) AwaitUnused(ctx context.Context) {
	const pollInterval = 50 * time.Millisecond
	for s.resetQuiet() > 0 && clock.Sleep(ctx, pollInterval) {
	}
}

// resetQuiet resets the tunnels that were silent for quietTime and whose nodes can't be told that
// this one shuts down. It returns the number of the others.
func (s *Server) resetQuiet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, inUse := s.Clock.Now(), 0
	for p := range s.tunnels {
		if p.isFramed || p.quietFor(now) < quietTime {
			inUse++
			continue
		}
		p.abort()
	}
	return inUse
}

// Close ends all tunnels and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for p := range s.tunnels {
		p.abort()
	}
	s.mu.Unlock()
	s.work.Wait()
}
