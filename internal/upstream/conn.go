// Package upstream manages the connections to endpoints. It sends each request only once:
// the transport of net/http resends a request when a reused connection breaks, which could
// run the request twice and bypass the retry budget.
package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"chervilloom/internal/clock"
)

// Request is a request to an endpoint as sent on the wire.
type Request struct {
	Method string
	Target string // path and query, byte for byte as the client sent them
	Host   string
	Header http.Header
	Body   [][]byte // in parts
}

// bodySize returns the length of the body in bytes.
func (r *Request) bodySize() int {
	size := 0
	for _, part := range r.Body {
		size += len(part)
	}
	return size
}

// Conn is a connection to an endpoint. It is used by one request at a time.
type Conn struct {
	net.Conn
	Peer      Peer // the node that passes the connection on
	addr      string
	in        *boundedReader
	buf       *bufio.Reader // reads in
	idleLimit time.Duration // maximum idle time
	idleSince clock.Instant
	peeking   sync.Mutex // held by HasUnread
	isReset   bool       // HasUnread has consumed the error of a reset; guarded by peeking
	used      bool       // has been used for a request
	unusable  bool       // must not be reused for another request
}

// newConn returns a connection to the endpoint at addr.
func newConn(nc net.Conn, peer Peer, addr string) *Conn {
	in := &boundedReader{Reader: nc}
	return &Conn{Conn: nc, Peer: peer, addr: addr, in: in, buf: bufio.NewReaderSize(in, readBufferBytes), idleLimit: defaultIdleLimit}
}

// maxHeaderBytes bounds the header of a response, in bytes.
const maxHeaderBytes = 64 << 10

// errHeaderTooLong means that an endpoint sent more than maxHeaderBytes without ending its header.
var errHeaderTooLong = errors.New("upstream: the header of the response exceeds 64 KiB; look at the endpoint's log")

// boundedReader fails with errHeaderTooLong once a header exceeds its bound.
type boundedReader struct {
	io.Reader
	inHeader bool
	left     int // bytes that the header may still have
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if !r.inHeader {
		return r.Reader.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// concurrentBodyBytes is the size in bytes above which a body is sent concurrently with reading
// the response. An endpoint may respond before it has read a long body; if the body were sent
// first, the write could block and the response would never be read.
const concurrentBodyBytes = 16 << 10

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent: it has not run.
	ErrNotSent = errors.New("upstream: the request was not sent; it has not run")
	// ErrNoResponse means that at least a part of the request was sent and no response was
	// received: the request may have run.
	ErrNoResponse = errors.New("upstream: the request was sent and not answered; it may have run")
	// ErrPeerGone means that the node that passes a connection on ended it, or that the link to
	// that node is lost. It says nothing about the endpoint.
	ErrPeerGone = errors.New("upstream: the node that passes the connection on has gone; look at that node's log")
)

// Send writes the request and reads the header of the response. The response body must be
// read to its end before the connection is reused. Abort may end the exchange at any time.
// Send fails with ErrNoResponse.
func (c *Conn) Send(r *Request) (*http.Response, error) {
	bodySent, err := c.write(r)
	if err != nil {
		c.unusable = true
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	c.in.inHeader, c.in.left = true, maxHeaderBytes
	resp, err := http.ReadResponse(c.buf, &http.Request{Method: r.Method})
	c.in.inHeader = false
	if err != nil {
		c.unusable = true
		return nil, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		c.unusable = true
		resp.Body = &bodyToEnd{ReadCloser: resp.Body, conn: c, sent: bodySent}
		return resp, nil
	}
	select {
	case err := <-bodySent:
		c.unusable = c.unusable || err != nil
	default:
		// The endpoint responded before the body was sent. It would read the rest of
		// the body in place of the next request.
		c.unusable = true
	}
	c.unusable = c.unusable || resp.Close
	return resp, nil
}

// errBodyNotSent means that a response ended with its connection before the request was sent.
var errBodyNotSent = errors.New("upstream: the endpoint ended the connection before the request was sent; its response may be cut off")

// errReset means that a response ended with a reset of its connection.
var errReset = fmt.Errorf("upstream: the response is cut off: %w", syscall.ECONNRESET)

// bodyToEnd is a response body that ends with its connection. The kernel reports a reset once: after a
// failed write or HasUnread has got the error, a read returns io.EOF.
type bodyToEnd struct {
	io.ReadCloser
	conn    *Conn
	sent    <-chan error // result of sending the request; nil: it is in sendErr
	sendErr error
}

// Read implements io.Reader.
func (b *bodyToEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.sent != nil {
		_ = b.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
		b.sendErr, b.sent = <-b.sent, nil
	}
	switch {
	case b.sendErr != nil:
		return n, fmt.Errorf("%w: %w", errBodyNotSent, b.sendErr)
	case b.conn.wasReset():
		return n, errReset
	}
	return n, err
}

// write sends the request, a long body in a separate goroutine. The channel receives the
// result when the body has been sent.
func (c *Conn) write(r *Request) (<-chan error, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	size := r.bodySize()
	if size > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("\r\n")
	done := make(chan error, 1)
	if size <= concurrentBodyBytes {
		for _, part := range r.Body {
			b.Write(part)
		}
		_, err := io.WriteString(c.Conn, b.String())
		done <- err
		return done, err
	}
	if _, err := io.WriteString(c.Conn, b.String()); err != nil {
		return nil, err
	}
	go func() {
		var err error
		for i := 0; i < len(r.Body) && err == nil; i++ {
			_, err = c.Conn.Write(r.Body[i])
		}
		done <- err
	}()
	return done, nil
}

const (
	// maxDrainBytes and maxDrainTime bound what is read of a body that nobody needs, to keep the
	// connection. A new one is cheaper than more.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 20 * time.Millisecond
)

// Drain reads the rest of a body that is not needed, so that the connection can be reused. If the
// body is too long or too slow, the connection becomes unusable.
func (c *Conn) Drain(resp *http.Response) {
	if resp.ContentLength > maxDrainBytes || c.SetReadDeadline(time.Now().Add(maxDrainTime)) != nil {
		c.unusable = true
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrainBytes+1))
	if err != nil || n > maxDrainBytes || c.SetReadDeadline(time.Time{}) != nil {
		c.unusable = true
	}
}

// Abort makes all pending and later reads and writes fail immediately.
func (c *Conn) Abort() { _ = c.SetDeadline(time.Unix(1, 0)) } // fails only on a closed connection

// IsNew reports whether the connection has not been used for a request yet.
func (c *Conn) IsNew() bool { return !c.used }

// MarkUnusable prevents the connection from being reused.
func (c *Conn) MarkUnusable() { c.unusable = true }

// mayBeReused reports whether the connection's own state allows another request. A connection
// through another node knows whether that node ends it.
func (c *Conn) mayBeReused() bool {
	nc, ok := c.Conn.(interface{ IsReusable() bool })
	return !c.unusable && c.buf.Buffered() == 0 && (!ok || nc.IsReusable())
}

// isReusable reports whether an idle connection is open and has no data to read. If the endpoint
// has closed it, the next request would be lost; unread data belongs to no request and would
// be taken for the response to the next one.
func (c *Conn) isReusable() bool {
	if !c.mayBeReused() {
		return false
	}
	_, err := peek(c.Conn)
	return errors.Is(err, unix.EAGAIN)
}

// HasUnread reports whether bytes of the endpoint have arrived that have not been read. It may be
// called while another goroutine reads.
func (c *Conn) HasUnread() bool {
	c.peeking.Lock()
	defer c.peeking.Unlock()
	n, err := peek(c.Conn)
	if err != nil && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, errNoSocket) {
		c.isReset = true
	}
	return err == nil && n > 0
}

// wasReset reports whether HasUnread has consumed the error of a reset. It waits for a call in progress.
func (c *Conn) wasReset() bool {
	c.peeking.Lock()
	defer c.peeking.Unlock()
	return c.isReset
}

// IsPeerClosed reports whether the peer has closed or reset the connection, as far as this VM
// has received that. It consumes no data of the connection.
func IsPeerClosed(c net.Conn) bool {
	n, err := peek(c)
	switch {
	case err == nil:
		return n == 0 // end of the stream; unread data is the next request
	case errors.Is(err, unix.EAGAIN), errors.Is(err, errNoSocket):
		return false
	}
	return true
}

// SetReset sets whether the kernel resets a connection when it is closed, also by the end of this
// process. Bytes that the peer has not received are lost then.
func SetReset(c net.Conn, reset bool) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	var optErr error
	err = raw.Control(func(fd uintptr) { optErr = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger) })
	return errors.Join(err, optErr)
}

// errNoSocket means that a connection has no file descriptor.
var errNoSocket = errors.New("upstream: the connection is not a socket")

// peek returns the number of unread bytes of a connection, at most one, without blocking. It
// fails with EAGAIN if there are none, and returns 0 at the end of the stream.
func peek(c net.Conn) (int, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

// idleLimitFrom returns how long the endpoint keeps an idle connection open according to its
// Keep-Alive header, minus idleMargin.
func idleLimitFrom(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdleLimit
}

const (
	// idleMargin is subtracted from an endpoint's limit: a request that is sent while
	// the endpoint closes the connection is lost.
	idleMargin = 500 * time.Millisecond
	// defaultIdleLimit is the limit if the endpoint sends none.
	defaultIdleLimit = 2 * time.Second
)
