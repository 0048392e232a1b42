package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"chervilloom/internal/upstream"
)

// A frame is a header of two bytes, big endian, and the bytes that it announces. The numbers that
// are no length stand for events.
const (
	frameHeaderBytes = 2

	frameEnd     = 0      // the endpoint has ended its connection properly
	frameReset   = 0xffff // the endpoint's connection broke
	frameLeaving = 0xfffe // the node that passes the connection on shuts down
)

// errEndpointReset means that the endpoint's connection to the other node broke.
var errEndpointReset = fmt.Errorf("tunnel: the endpoint's connection to the node that passes it on broke: %w", syscall.ECONNRESET)

// putFrameHeader writes the header of a frame, or an event, to the start of buf.
func putFrameHeader(buf []byte, n int) { binary.BigEndian.PutUint16(buf, uint16(n)) }

// framedConn is a connection through another node that sends frames.
type framedConn struct {
	net.Conn
	header    [frameHeaderBytes]byte
	have      int         // bytes of the next header that were read
	left      int         // bytes of the current frame that were not read
	end       error       // how the endpoint's connection ended; nil: it is open
	isLeaving atomic.Bool // the other node shuts down
	answered  atomic.Bool // the last bytes came from the endpoint
}

// SyscallConn implements syscall.Conn, so that unread bytes can be looked for.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}

// IsReusable reports whether the connection may carry another request. It must not be called while
// another goroutine reads.
func (c *framedConn) IsReusable() bool {
	return c.end == nil && !c.isLeaving.Load() && c.left == 0 && c.have == 0
}

// errLeaving means that nothing was sent, because the other node shuts down.
var errLeaving = errors.New("tunnel: the node that passes the connection on shuts down; use another connection")

// Write sends bytes to the endpoint. Once the other node shuts down, it fails before the first byte of
// another request: a client that can't ask IsReusable then opens another connection.
func (c *framedConn) Write(p []byte) (int, error) {
	if c.isLeaving.Load() && c.answered.Load() {
		return 0, errLeaving
	}
	c.answered.Store(false)
	return c.Conn.Write(p)
}

// Read reads bytes of the endpoint. It fails with io.EOF only if the endpoint has ended the
// connection, and with upstream.ErrPeerGone if the other node has done so.
func (c *framedConn) Read(p []byte) (int, error) {
	for {
		if c.end != nil {
			return 0, c.end
		}
		n, err := c.Conn.Read(p)
		if n = c.unframe(p[:n]); n > 0 || len(p) == 0 {
			c.answered.Store(true)
			return n, nil // a failure comes again
		}
		switch {
		case c.end != nil:
		case errors.Is(err, io.EOF):
			return 0, upstream.ErrPeerGone
		case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.ETIMEDOUT):
			return 0, fmt.Errorf("%w: %w", upstream.ErrPeerGone, err)
		case err != nil:
			return 0, err
		}
	}
}

// unframe removes the headers from the bytes of p and returns the number of those that are left.
func (c *framedConn) unframe(p []byte) int {
	out := 0
	for in := 0; in < len(p) && c.end == nil; {
		if c.left > 0 {
			n := copy(p[out:], p[in:min(len(p), in+c.left)])
			in, out, c.left = in+n, out+n, c.left-n
			continue
		}
		c.header[c.have] = p[in]
		in, c.have = in+1, c.have+1
		if c.have < frameHeaderBytes {
			continue
		}
		c.have = 0
		switch n := binary.BigEndian.Uint16(c.header[:]); n {
		case frameEnd:
			c.end = io.EOF
		case frameReset:
			c.end = errEndpointReset
		case frameLeaving:
			c.isLeaving.Store(true)
		default:
			c.left = int(n)
		}
	}
	return out
}
