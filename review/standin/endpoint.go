package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// endpoint is a stand-in for a plain server. It speaks what PROTOCOL.md says and registers itself.
type endpoint struct {
	lab           *lab
	id, zone      string
	service, addr string
	// handle serves one request and reports whether the connection stays open.
	handle func(c net.Conn, r *http.Request, body []byte) (keep bool)

	// state adds what a model server says of itself to its entry; nil: a plain server.
	state func(entry map[string]any)

	ln       *net.TCPListener
	mu       sync.Mutex
	paused   bool
	resumed  sync.Cond
	ended    bool
	sequence uint64
	conns    map[net.Conn]bool
}

// startEndpoint starts a server and its heartbeats.
func (l *lab) startEndpoint(id, service, zone string, handle func(*endpoint, net.Conn, *http.Request, []byte) bool) *endpoint {
	return l.startEndpointAt("127.0.0.1:0", id, service, zone, handle)
}

// startEndpointAt starts a server at a given address.
func (l *lab) startEndpointAt(addr, id, service, zone string, handle func(*endpoint, net.Conn, *http.Request, []byte) bool) *endpoint {
	e := l.newEndpoint(addr, id, service, zone, handle)
	l.runEndpoint(e)
	return e
}

// newEndpoint opens a server's listener.
func (l *lab) newEndpoint(addr, id, service, zone string, handle func(*endpoint, net.Conn, *http.Request, []byte) bool) *endpoint {
	ln, err := net.Listen("tcp", addr)
	l.must(err)
	e := &endpoint{lab: l, id: id, zone: zone, service: service, addr: ln.Addr().String(), ln: ln.(*net.TCPListener), conns: map[net.Conn]bool{}}
	e.resumed.L = &e.mu
	e.handle = func(c net.Conn, r *http.Request, body []byte) bool { return handle(e, c, r, body) }
	return e
}

// runEndpoint serves connections and writes the server's entry at each heartbeat.
func (l *lab) runEndpoint(e *endpoint) {
	go e.accept()
	e.register()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			e.mu.Lock()
			ended := e.ended
			e.mu.Unlock()
			if ended {
				return
			}
			e.register()
		}
	}()
	l.logf("server %s of %s starts at %s", e.id, e.service, e.addr)
}

// crash ends the server. Its entry lapses after three heartbeats.
func (e *endpoint) crash() {
	e.lab.logf("server %s crashes", e.id)
	e.mu.Lock()
	e.ended = true
	e.ln.Close()
	for c := range e.conns {
		c.Close()
	}
	e.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() {
		e.lab.logf("the entry of server %s lapses", e.id)
		e.lab.store.Delete("servers", e.id)
	})
}

// register writes the server's entry, as its heartbeat does.
func (e *endpoint) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.sequence,
	}
	if e.state != nil {
		entry["slots"] = 26
		e.state(entry)
	}
	e.lab.store.Put("servers", e.id, entry)
}

// accept serves connections, none while the server is paused.
func (e *endpoint) accept() {
	for {
		e.mu.Lock()
		for e.paused {
			e.resumed.Wait()
		}
		e.mu.Unlock()
		c, err := e.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // dropNewConnections has set a deadline
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// dropNewConnections makes the queue of new connections full: opening packets are dropped, and their
// senders send them again after a second. It returns when that is so. The returned function ends it.
func (e *endpoint) dropNewConnections() (end func()) {
	e.mu.Lock()
	e.paused = true
	e.mu.Unlock()
	e.lab.must(e.ln.SetDeadline(time.Unix(1, 0)))
	time.Sleep(5 * time.Millisecond)
	e.setBacklog(0)
	filler, err := net.Dial("tcp", e.addr) // takes the only place in the queue
	e.lab.must(err)
	return func() {
		e.setBacklog(512)
		e.lab.must(e.ln.SetDeadline(time.Time{}))
		e.mu.Lock()
		e.paused = false
		e.resumed.Broadcast()
		e.mu.Unlock()
		filler.Close()
	}
}

// asNetError is errors.As for a network error.
func asNetError(err error, target *net.Error) bool { return errors.As(err, target) }

// setBacklog sets the length of the queue of new connections.
func (e *endpoint) setBacklog(n int) {
	raw, err := e.ln.SyscallConn()
	e.lab.must(err)
	var listenErr error
	e.lab.must(raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }))
	e.lab.must(listenErr)
}

// isMisdirected reports whether a request is meant for another server, and answers it then.
func (e *endpoint) isMisdirected(c net.Conn, r *http.Request) bool {
	want := r.Header.Get("X-Expect-Instance")
	if want == "" || want == e.id {
		return false
	}
	id := r.Header.Get("X-Request-Id")
	e.lab.logf("server %s turns %s away with 421: it was meant for %s", e.id, id, want)
	_, _ = io.WriteString(c, misdirected(e.id, id)) // the node may have left
	return true
}

// misdirected returns the answer to a request that is meant for another server.
func misdirected(serverID, id string) string {
	return "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id + "\r\nX-Not-Run: 1\r\nX-Instance-Id: " + serverID + "\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
}

// serve handles the requests of a connection.
func (e *endpoint) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.handle(c, r, body) {
			return
		}
	}
}
