package tunnel

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
)

// pipe copies bytes between the connections to a node and to an endpoint.
type pipe struct {
	clock          clock.Clock
	log            *slog.Logger
	node, endpoint net.Conn
	lastActive     atomic.Int64 // clock.Instant of the last copied bytes
	isAnswered     atomic.Bool  // the last bytes came from the endpoint
}

// quietFor returns how long the pipe has copied nothing.
func (p *pipe) quietFor(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(p.lastActive.Load()))
}

// run copies in both directions until one side closes its connection, and then closes both.
func (p *pipe) run() {
	p.lastActive.Store(int64(p.clock.Now()))
	var both sync.WaitGroup
	both.Go(func() { p.copy(p.endpoint, p.node) })
	p.copy(p.node, p.endpoint)
	both.Wait()
}

// copy copies from src to dst until src ends. A connection that ends by a reset is reset on the
// other side too: a response without a length that is cut off must not look complete.
func (p *pipe) copy(dst, src net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			p.lastActive.Store(int64(p.clock.Now()))
			p.isAnswered.Store(src == p.endpoint)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				p.abort()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			p.close()
			return
		case err != nil:
			p.abort()
			return
		}
	}
}

// close closes both connections. The other node then opens another one for its next request.
func (p *pipe) close() {
	p.node.Close()
	p.endpoint.Close()
}

// abort resets both connections.
func (p *pipe) abort() {
	for _, c := range []net.Conn{p.node, p.endpoint} {
		if tcp, ok := c.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
				p.log.Warn("tunnel can't be reset; it is closed instead", "err", err)
			}
		}
		c.Close()
	}
}
