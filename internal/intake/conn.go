package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"chervilloom/internal/clock"
	"chervilloom/internal/memory"
	"chervilloom/internal/outcome"
)

const (
	// headSlack is what a head may exceed its limit by, since it is read in blocks.
	headSlack = 4 << 10
	// freeHead is the memory of a head that isn't reserved; usual heads need less.
	freeHead = 4 << 10
	// fieldMemory is the memory of a header field beside its text, in bytes: the parsed form and the
	// one that is sent on.
	fieldMemory = 200
	// headRoomWait is how long a head waits for memory while stalled clients are closed for it.
	headRoomWait = 50 * time.Millisecond
	// headLingerTime is how long bytes are dropped after a refused head, so that the refusal reaches
	// a client that still sends.
	headLingerTime = 500 * time.Millisecond
	// progressBytes is what a client sends of a body before it counts as going on.
	progressBytes = 1 << 10
	// writeTimeout is how long a client may take nothing of its response.
	writeTimeout = 15 * time.Second
)

// ErrEvicted means that the connection was closed to free its slot or its memory.
var ErrEvicted = errors.New("intake: the connection was closed for other clients, because its client had stalled")

// errRefused ends the reading of a head that was answered by this package. net/http answers nothing
// after an error of this type.
var errRefused = &net.OpError{Op: "read", Err: errors.New("intake: the head was refused")}

// conn is an open connection of a client. It bounds the head of each request and knows what the
// connection waits for.
type conn struct {
	*net.TCPConn
	owner     owner
	accepted  clock.Instant
	firstTurn sync.Once
	closing   sync.Once
	isKept    bool // may be idle between requests; guarded by its ConnLimiter

	mu         sync.Mutex
	waits      waiting
	since      clock.Instant // since when the client has done nothing of what is awaited
	received   int           // bytes of the current head, or of the body since the last progress
	total      int           // bytes received of the current request
	reserved   memory.Reservation
	isExtended bool // the deadline of the current head was extended
	isEvicted  bool
	isClosed   bool
	isHijacked bool      // used by a handler alone, with its own limits
	writeUntil time.Time // the deadline for writing
}

// owner is the listener of a connection.
type owner interface {
	now() clock.Instant
	limits() Limits
	budget() *memory.Budget
	started(c *conn)
	ended(c *conn)
	recordClosed(reason string)
}

// Limits bound the requests of a client.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

func newConn(c *net.TCPConn, o owner, accepted clock.Instant) *conn {
	out := &conn{TCPConn: c, owner: o, accepted: accepted, waits: forFirstByte, since: o.now()}
	out.reserved.Budget = o.budget()
	return out
}

// connInfo returns what the connection waits for.
func (c *conn) connInfo() connInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return connInfo{waits: c.waits, since: c.since, held: c.total, isEvicted: c.isEvicted}
}

// await records that the connection waits for something else from now on.
func (c *conn) await(w waiting) {
	now := c.owner.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits, c.since, c.received = w, now, 0
	if w == forNextRequest {
		c.total, c.isExtended = 0, false
		c.release()
	}
}

// release returns the memory of the current head. c.mu is held.
func (c *conn) release() {
	if c.reserved.Budget != nil {
		c.reserved.Release()
	}
}

// TrackState is the ConnState hook of servers whose listener is one of this package.
func TrackState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.await(forServer)
	case http.StateIdle:
		c.await(forNextRequest)
	case http.StateHijacked:
		c.await(forServer)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.isHijacked = true
		_ = c.TCPConn.SetWriteDeadline(time.Time{}) // fails only on a closed connection
	}
}

// BeginBody and EndBody enclose the reading of a request's body.
func (c *conn) BeginBody() { c.await(forBody) }

// EndBody ends what BeginBody began.
func (c *conn) EndBody() { c.await(forServer) }

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	c.firstTurn.Do(func() { c.owner.started(c) })
	n, err := c.TCPConn.Read(p)
	if err != nil {
		return c.failedRead(p, err)
	}
	now := c.owner.now()
	c.mu.Lock()
	if c.isHijacked {
		c.mu.Unlock()
		return n, nil
	}
	c.total += n
	switch c.waits {
	case forFirstByte, forNextRequest:
		c.waits, c.since, c.received = forHead, now, 0
		fallthrough
	case forHead:
		tooLong := c.received >= c.owner.limits().HeaderBytes+headSlack
		c.received += n
		c.mu.Unlock()
		if tooLong {
			return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, "", reasonTooLong)
		}
		if !c.reserveHead(p[:n]) {
			return 0, c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n", reasonMemory)
		}
		return n, nil
	case forBody:
		if c.received += n; c.received >= progressBytes {
			c.received, c.since = 0, now
		}
	}
	c.mu.Unlock()
	return n, nil
}

// failedRead returns the result of a read that failed. Bytes that arrived within the limits, but that
// this process comes to read only after them, are read.
func (c *conn) failedRead(p []byte, err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	c.mu.Lock()
	waits, evicted := c.waits, c.isEvicted
	extends := waits.isForHead() && !evicted && !c.isExtended && c.unread() > 0
	c.isExtended = c.isExtended || extends
	c.mu.Unlock()
	switch {
	case evicted:
		// net/http answers nothing after an error of this type: 400 would be final for the client.
		return 0, &net.OpError{Op: "read", Err: fmt.Errorf("%w: %w", ErrEvicted, err)}
	case extends:
		if err := c.TCPConn.SetReadDeadline(time.Now().Add(c.owner.limits().HeaderTimeout)); err != nil {
			return 0, err
		}
		return c.Read(p)
	case waits == forFirstByte || waits == forHead:
		c.owner.recordClosed(waits.String())
	}
	return 0, err
}

// reserveHead reserves memory for a block of a head beyond freeHead. It reports whether there is some.
func (c *conn) reserveHead(block []byte) bool {
	if c.reserved.Budget == nil {
		return true
	}
	cost := int64(len(block))
	for _, b := range block {
		if b == '\n' {
			cost += fieldMemory
		}
	}
	c.mu.Lock()
	isFirst := c.received == len(block)
	c.mu.Unlock()
	if isFirst {
		cost -= freeHead
	}
	if cost <= 0 {
		return true
	}
	// Reserved under a lock of its own: Await may evict this very connection.
	r := memory.Reservation{Budget: c.reserved.Budget}
	if !r.Await(cost, headRoomWait) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved.Take(&r)
	if c.isClosed {
		c.release()
	}
	return true
}

// refuse answers a head that is not read to its end and drops what follows for headLingerTime.
func (c *conn) refuse(status int, fields, reason string) error {
	c.owner.recordClosed(reason)
	c.await(forClose)
	text := http.StatusText(status)
	err := errors.Join(
		c.TCPConn.SetWriteDeadline(time.Now().Add(headLingerTime)),
		c.write(fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
			status, text, outcome.Header+": "+string(outcome.NotRun)+"\r\n", fields, len(text), text)),
		c.TCPConn.CloseWrite(),
		c.TCPConn.SetReadDeadline(time.Now().Add(headLingerTime)),
	)
	for buf := make([]byte, 1<<10); err == nil; {
		_, err = c.TCPConn.Read(buf)
	}
	return errRefused
}

func (c *conn) write(text string) error {
	_, err := c.TCPConn.Write([]byte(text))
	return err
}

// Write implements io.Writer. A client that takes nothing of its response for writeTimeout is cut off.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	if c.isHijacked {
		c.mu.Unlock()
		return c.TCPConn.Write(p)
	}
	if c.writeUntil.Sub(now) < writeTimeout/2 {
		c.writeUntil = now.Add(writeTimeout)
		_ = c.TCPConn.SetWriteDeadline(c.writeUntil) // fails only on a closed connection
	}
	before := c.waits
	if before == forServer {
		c.waits, c.since = forReader, c.owner.now()
	}
	c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	c.mu.Lock()
	if c.waits == forReader {
		c.waits = before
	}
	c.mu.Unlock()
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that all writes have a deadline.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// WriteTo implements io.WriterTo, so that all reads are bounded.
func (c *conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, struct{ io.Reader }{c}) }

// SetWriteDeadline implements net.Conn. The connection sets its own deadlines for writing unless it is
// hijacked.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHijacked {
		return nil
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. While a request is awaited the limits of the moment apply
// instead of t, and an evicted connection keeps its deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	limits := c.owner.limits()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEvicted {
		return nil
	}
	if !t.IsZero() && t.After(now) {
		switch c.waits {
		case forFirstByte, forHead:
			t = now.Add(limits.HeaderTimeout)
		case forNextRequest:
			t = now.Add(limits.IdleTimeout)
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite ends the direction to the client. The connection waits for the client to close its own.
func (c *conn) CloseWrite() error {
	c.await(forClose)
	return c.TCPConn.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.firstTurn.Do(func() { c.owner.started(c) })
	err := c.TCPConn.Close()
	c.closing.Do(func() {
		c.mu.Lock()
		c.isClosed = true
		c.release()
		c.mu.Unlock()
		c.owner.ended(c)
	})
	return err
}

// evict ends a connection whose client has stalled. It reports whether it does: a connection with
// unread bytes waits for this process, and not for its client. A request whose body is awaited is still
// answered.
func (c *conn) evict() bool {
	c.mu.Lock()
	if c.isEvicted || c.isClosed || c.waits.isForRequest() && c.unread() > 0 {
		c.mu.Unlock()
		return false
	}
	c.isEvicted = true
	closes := c.waits == forReader || c.waits == forClose
	if !closes {
		_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
	c.mu.Unlock()
	if closes {
		_ = c.Close() // its request, if there is one, fails with its next write
	}
	return true
}

// unread returns the number of bytes that have arrived and are not read.
func (c *conn) unread() int {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
		return 0
	}
	return n
}
