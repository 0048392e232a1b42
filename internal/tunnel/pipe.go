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
	"chervilloom/internal/upstream"
)

// pipe copies bytes between the connections to a node and to an endpoint.
type pipe struct {
	clock          clock.Clock
	log            *slog.Logger
	node, endpoint net.Conn
	isFramed       bool         // the node understands frames
	lastActive     atomic.Int64 // clock.Instant of the last copied bytes
	toNode         sync.Mutex   // guards writes of frames to the node
	sending        sync.Mutex   // held during writes to the endpoint
	sendFailed     bool         // guarded by sending
}

// quietFor returns how long the pipe has copied nothing.
func (p *pipe) quietFor(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(p.lastActive.Load()))
}

// run copies in both directions until one side closes its connection, and then closes both.
func (p *pipe) run() {
	p.lastActive.Store(int64(p.clock.Now()))
	if !p.isFramed {
		// The kernel resets the connection if this process is killed.
		p.setReset(p.node, true)
	}
	var both sync.WaitGroup
	both.Go(p.copyRequests)
	p.copyResponses()
	both.Wait()
}

// copyRequests copies from the node to the endpoint until the node ends its connection.
func (p *pipe) copyRequests() {
	buf := make([]byte, bufferBytes)
	for {
		n, err := p.node.Read(buf)
		if n > 0 {
			p.lastActive.Store(int64(p.clock.Now()))
			if p.send(buf[:n]) != nil {
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

// send writes bytes of a request to the endpoint.
func (p *pipe) send(b []byte) error {
	p.sending.Lock()
	defer p.sending.Unlock()
	_, err := p.endpoint.Write(b)
	p.sendFailed = p.sendFailed || err != nil
	return err
}

// isSent reports, once the endpoint's connection has ended, whether all writes to it succeeded. The
// kernel reports a reset once: after a failed write has got the error, a read returns io.EOF.
func (p *pipe) isSent() bool {
	_ = p.endpoint.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	p.sending.Lock()
	defer p.sending.Unlock()
	return !p.sendFailed
}

// copyResponses copies from the endpoint to the node until the endpoint ends its connection, and
// tells the node how it did.
func (p *pipe) copyResponses() {
	buf := make([]byte, bufferBytes)
	for {
		n, err := p.endpoint.Read(buf[frameHeaderBytes:])
		if n > 0 {
			p.lastActive.Store(int64(p.clock.Now()))
			if p.writeToNode(buf[:frameHeaderBytes+n]) != nil {
				p.abort()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && p.isSent():
			p.endResponses(frameEnd)
			return
		case errors.Is(err, net.ErrClosed): // the node ended the tunnel
			return
		case err != nil:
			p.endResponses(frameReset)
			return
		}
	}
}

// writeToNode sends bytes of the endpoint, which stand behind space for a header.
func (p *pipe) writeToNode(frame []byte) error {
	if !p.isFramed {
		_, err := p.node.Write(frame[frameHeaderBytes:])
		return err
	}
	putFrameHeader(frame, len(frame)-frameHeaderBytes)
	p.toNode.Lock()
	defer p.toNode.Unlock()
	_, err := p.node.Write(frame)
	return err
}

// sendEvent sends an event to a node that understands frames. Failures are left to the copying
// goroutines.
func (p *pipe) sendEvent(event int) {
	var frame [frameHeaderBytes]byte
	putFrameHeader(frame[:], event)
	p.toNode.Lock()
	defer p.toNode.Unlock()
	_, _ = p.node.Write(frame[:])
}

// announceLeaving tells a node that understands frames that this one shuts down. It doesn't wait for
// a node that doesn't read.
func (p *pipe) announceLeaving() {
	if p.isFramed {
		go p.sendEvent(frameLeaving) // ends with the tunnel at the latest
	}
}

// endResponses ends the tunnel after the endpoint has ended its connection. A node that understands
// no frames is told of a break by a reset: a response without a length must not look complete.
func (p *pipe) endResponses(event int) {
	p.log.Debug("tunnel ended by the endpoint", "properly", event == frameEnd)
	switch {
	case p.isFramed:
		p.sendEvent(event)
		p.close()
	case event == frameEnd:
		p.close()
	default:
		p.abort()
	}
}

// close closes both connections. The other node then opens another one for its next request.
func (p *pipe) close() {
	p.setReset(p.node, false)
	p.node.Close()
	p.endpoint.Close()
}

// abort resets both connections.
func (p *pipe) abort() {
	for _, c := range []net.Conn{p.node, p.endpoint} {
		p.setReset(c, true)
		c.Close()
	}
}

// setReset sets whether a connection is reset when it is closed, by this process or by its end.
func (p *pipe) setReset(c net.Conn, reset bool) {
	if err := upstream.SetReset(c, reset); err != nil && !errors.Is(err, net.ErrClosed) {
		p.log.Warn("the way to close a tunnel can't be set; a response that is cut off may look complete", "err", err)
	}
}
