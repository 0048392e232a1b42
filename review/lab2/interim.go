package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// interim lets a server of the plain service announce some answers with an interim response (status
// 102), which HTTP/1.1 allows before any answer. No client may get a success that isn't the
// server's whole answer.
func interim(l *lab) error {
	var answers atomic.Int64 // of i-p0
	for i := range 2 {
		e := l.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", "a")
		e.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			l.note("server %s runs %s", e.ID, id)
			w.Header().Set("X-Request-Id", id)
			// The sheets let up to half of the servers spoil up to 3 in 100 of their answers.
			if l.trouble && e.ID == "i-p0" && answers.Add(1)%34 == 0 {
				l.note("server %s sends an interim response to %s", e.ID, id)
				w.WriteHeader(http.StatusProcessing)
			}
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("X-Server-Stamp", "stamp-of-"+e.ID)
			_, _ = io.WriteString(w, "the whole body of "+id)
			l.note("server %s has answered %s with 200", e.ID, id)
		})
	}
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
	l.parallel(900, 6, func(i int) {
		n := l.nodes[i%2]
		if i%4 < 2 {
			l.ask(n, fmt.Sprintf("receipt-%d", i), "POST", "/receipt/x")
		} else {
			l.ask(n, fmt.Sprintf("lookup-%d", i), "GET", "/lookup/x")
		}
	})
	return nil
}

// ask sends a request on a connection of its own and judges the final answer.
func (l *lab) ask(n *node, id, method, path string) {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		l.note("%s: %v", id, err)
		return
	}
	defer c.Close()
	l.note("client sends %s %s %s", id, method, path)
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", method, path, id)
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	in := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			l.note("%s: no answer: %v", id, err)
			return
		}
		body, err := io.ReadAll(resp.Body)
		stamp := resp.Header.Get("X-Server-Stamp")
		l.note("%s: status %d, X-Server-Stamp %q, body %q, end: %v", id, resp.StatusCode, stamp, body, err)
		if resp.StatusCode/100 == 1 {
			continue
		}
		if resp.StatusCode/100 == 2 && err == nil && (stamp == "" || string(body) != "the whole body of "+id) {
			l.broken("MIXED: %s got status %d with X-Server-Stamp %q and body %q", id, resp.StatusCode, stamp, body)
		}
		return
	}
}
