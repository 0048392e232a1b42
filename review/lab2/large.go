package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// large lets one of six plain servers turn slow (five times its usual time, for 6.5 s) while clients ask for
// answers of some megabytes on kept connections. No connection may be closed without the answer of a
// sound server.
func large(l *lab) error {
	const (
		servers  = 6
		parts    = 40
		usual    = 5 * time.Millisecond // for a part
		slowness = 5
	)
	part := bytes.Repeat([]byte("answer, "), 8<<10) // 64 KiB
	var slow atomic.Bool
	for i := range servers {
		e := l.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", "a")
		e.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			id, pause := r.Header.Get("X-Request-Id"), usual
			if e.ID == "i-p0" && slow.Load() {
				pause *= slowness
			}
			l.note("server %s runs %s", e.ID, id)
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Server-Stamp", "stamp-of-"+e.ID)
			w.Header().Set("X-Server-Load", "1,0,6")
			w.Header().Set("Content-Length", fmt.Sprint(parts*len(part)))
			for n := range parts {
				time.Sleep(pause)
				if _, err := w.Write(part); err != nil {
					l.note("server %s: the connection of %s broke after %d of %d parts: %v", e.ID, id, n, parts, err)
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
			l.note("server %s has answered %s", e.ID, id)
		})
	}
	l.attempts = 3
	l.writeDocument(3)
	go l.heartbeats()
	for i := range 2 {
		if _, err := l.startNode(fmt.Sprintf("front-a-%d", i), "a"); err != nil {
			return err
		}
	}
	for _, n := range l.nodes {
		if err := l.awaitReady(n); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	slow.Store(l.trouble)
	time.AfterFunc(6500*time.Millisecond, func() { slow.Store(false) })
	var lost atomic.Int64
	l.parallel(6, 6, func(i int) {
		k := &keptConn{l: l, n: l.nodes[i%2]}
		for n := range 25 {
			if !k.ask(fmt.Sprintf("lookup-%d-%d", i, n), parts*len(part)) {
				lost.Add(1)
			}
		}
	})
	closed := lost.Load()
	l.note("connections that were closed without the whole answer of a sound server: %d", closed)
	if closed > 3 {
		l.broken("LOST: %d kept connections were closed without the answer of a sound server", closed)
	}
	return nil
}

// keptConn is a client that keeps its connection.
type keptConn struct {
	l  *lab
	n  *node
	c  net.Conn
	in *bufio.Reader
}

// ask sends a request and reports whether its connection stayed open for the answer.
func (k *keptConn) ask(id string, size int) bool {
	if k.c == nil {
		c, err := net.Dial("tcp", k.n.front)
		if err != nil {
			k.l.note("%s: %v", id, err)
			return true
		}
		k.c, k.in = c, bufio.NewReader(c)
	}
	_ = k.c.SetDeadline(time.Now().Add(6 * time.Second))
	k.l.note("client sends %s", id)
	_, _ = fmt.Fprintf(k.c, "GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", id)
	resp, err := http.ReadResponse(k.in, &http.Request{Method: http.MethodGet})
	n := int64(0)
	status := 0
	if err == nil {
		status = resp.StatusCode
		n, err = io.Copy(io.Discard, resp.Body)
	}
	k.l.note("%s: status %d, %d of %d bytes, end: %v", id, status, n, size, err)
	if err != nil || resp.Close {
		k.c.Close()
		k.c = nil
	}
	return err == nil
}
