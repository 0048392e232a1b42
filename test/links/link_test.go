package links

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

// mode is the state of a node's links to the endpoints.
type mode int

const (
	up        mode = iota
	hang           // open connections fall silent, new ones get no answer
	reset          // open connections are reset, new ones are refused
	refuseNew      // open connections work, new ones are refused
	oneWay         // nothing comes back: requests still arrive, new connections get no answer
	paused         // open and new connections fall silent and go on later
	modes
)

func (m mode) String() string {
	return [...]string{"up", "hang", "reset", "refuse new", "one way", "paused"}[m]
}

// link is one node's link to all endpoints. Each connection passes a relay in the test's process.
type link struct {
	t  *testing.T
	ln net.Listener

	dialing sync.Mutex // held from a dial to its accept, which belong together

	mu     sync.Mutex
	mode   mode
	change chan struct{} // closed and replaced when the mode changes
	conns  map[net.Conn]struct{}
	spared map[string]bool // addresses that the current mode doesn't affect
}

func newLink(t *testing.T) *link {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{t: t, ln: ln, change: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { ln.Close(); l.set(reset) })
	return l
}

// set changes the mode of the link to all endpoints but those at the spared addresses.
func (l *link) set(m mode, spared ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.spared = m, map[string]bool{}
	for _, addr := range spared {
		l.spared[addr] = true
	}
	close(l.change)
	l.change = make(chan struct{})
	if m == reset {
		for c := range l.conns {
			abort(c)
		}
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// stateFor returns the mode of the link to an endpoint and a channel that is closed when it changes.
func (l *link) stateFor(addr string) (mode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.spared[addr] {
		return up, l.change
	}
	return l.mode, l.change
}

// dial opens a connection to an endpoint over the link.
func (l *link) dial(ctx context.Context, addr string) (net.Conn, error) {
	for {
		m, changed := l.stateFor(addr)
		switch m {
		case up:
			return l.connect(addr)
		case reset, refuseNew:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

func (l *link) connect(addr string) (net.Conn, error) {
	endpoint, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	l.dialing.Lock()
	defer l.dialing.Unlock()
	node, err := net.Dial("tcp", l.ln.Addr().String())
	if err != nil {
		return nil, err
	}
	relay, err := l.ln.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conns[relay], l.conns[endpoint] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(addr, endpoint, relay, hang, paused) })
	both.Go(func() { l.pump(addr, relay, endpoint, hang, paused, oneWay) })
	go func() {
		both.Wait()
		l.mu.Lock()
		delete(l.conns, relay)
		delete(l.conns, endpoint)
		l.mu.Unlock()
	}()
	return node, nil
}

// pump copies what it reads from src to dst, and holds it back in the given modes. A reset of one
// side resets the other.
func (l *link) pump(addr string, dst, src net.Conn, blocked ...mode) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 16<<10)
	for {
		n, err := src.Read(buf)
		l.awaitUnblocked(addr, blocked)
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				abort(src)
				return
			}
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			abort(dst)
			return
		}
	}
}

func (l *link) awaitUnblocked(addr string, blocked []mode) {
	for {
		m, changed := l.stateFor(addr)
		wait := false
		for _, b := range blocked {
			wait = wait || b == m
		}
		if !wait {
			return
		}
		<-changed
	}
}
