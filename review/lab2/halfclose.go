package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// halfClose lets clients leave: each sends a whole request, ends its direction of the connection and
// takes what still comes. None of them may get a success that no server gave, and no stream may look
// complete before its last piece.
func halfClose(l *lab) error {
	const events = 40
	n, err := l.prepareStreams()
	if err != nil {
		return err
	}
	// The sheets let a fifth of the clients leave.
	l.parallel(150, 6, func(i int) {
		leaves := l.trouble && i%5 == 4
		switch i % 3 {
		case 0:
			l.leave(n, fmt.Sprintf("receipt-%d", i), "POST", "/receipt/x", "", leaves, 20*time.Millisecond, 0)
		case 1:
			l.leave(n, fmt.Sprintf("lookup-%d", i), "GET", "/lookup/x", "", leaves, 20*time.Millisecond, 0)
		case 2:
			header := fmt.Sprintf("X-Model: m\r\nX-Token-Counts: 100,%d\r\n", events*7)
			l.leave(n, fmt.Sprintf("text-%d", i), "POST", "/text/x", header, leaves, 150*time.Millisecond, events)
		}
	})
	return nil
}

// prepareStreams starts two nodes, engines and a plain service whose answers take a while.
func (l *lab) prepareStreams() (*node, error) {
	for i := range 8 {
		l.fleet.AddEngine(fmt.Sprintf("i-e%d", i), "engines", "a", "d0")
	}
	for i := range 2 {
		e := l.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", "a")
		e.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			l.note("server %s runs %s", e.ID, id)
			time.Sleep(100 * time.Millisecond)
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Server-Stamp", "stamp-of-"+e.ID)
			_, _ = io.WriteString(w, "the whole body of "+id)
		})
	}
	l.writeDocument(3)
	go l.heartbeats()
	for i := range 2 {
		if _, err := l.startNode(fmt.Sprintf("front-a-%d", i), "a"); err != nil {
			return nil, err
		}
	}
	for _, n := range l.nodes {
		if err := l.awaitReady(n); err != nil {
			return nil, err
		}
	}
	err := eventually("two groups serve", 15*time.Second, func() bool { return len(l.fleet.OpenHeads("m")) == 2 })
	time.Sleep(3 * time.Second)
	return l.nodes[0], err
}

// leave sends a request on a connection of its own, ends the client's direction after a while if the
// client is to leave, and judges the answer.
func (l *lab) leave(n *node, id, method, path, header string, leaves bool, after time.Duration, events int) {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		l.note("%s: %v", id, err)
		return
	}
	defer c.Close()
	l.note("client sends %s %s %s", id, method, path)
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n%sContent-Length: 0\r\n\r\n", method, path, id, header)
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	if leaves {
		go func() {
			time.Sleep(after)
			l.note("client of %s ends its direction", id)
			_ = c.(*net.TCPConn).CloseWrite()
		}()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		l.note("%s: no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	stamp := resp.Header.Get("X-Server-Stamp")
	l.note("%s: status %d, X-Server-Stamp %q, %d bytes, end: %v", id, resp.StatusCode, stamp, len(body), err)
	if resp.StatusCode/100 != 2 || err != nil {
		return
	}
	if stamp == "" {
		l.broken("MIXED: %s got status %d without X-Server-Stamp, %d bytes", id, resp.StatusCode, len(body))
		return
	}
	if events > 0 {
		if got := countEvents(body); got < events {
			l.broken("ORDER: %s ended as complete after %d of %d events", id, got, events)
		}
	}
}

func countEvents(body []byte) int {
	n := 0
	for i := 1; i < len(body); i++ {
		if body[i] == '\n' && body[i-1] == '\n' {
			n++
		}
	}
	return n
}
