package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilloom/platform/platformtest"
)

const (
	poisonBody = "crash"
	// stableWindow is the time after the third crash from which retries count.
	stableWindow = 3 * time.Second
	// serverBack is how long a crashed server is away: "some seconds".
	serverBack = 2 * time.Second
)

// poison lets a request that crashes the servers that run it come again, with the same path, caller and
// body, at any machine. Its query differs: the callers add the number of their try. From the stable
// window after it has crashed the third server it may reach servers in three more retries.
func poison(l *lab) error {
	for i := range 4 {
		l.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", "a")
	}
	l.writeDocument(3)
	go l.heartbeats()
	for i := range 3 {
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
	if l.trouble {
		l.fleet.AddPoisonRequest(platformtest.PoisonRequest{Body: poisonBody, ReplacementDelay: serverBack})
	}
	const (
		length      = 30 * time.Second
		poisonEvery = 400 * time.Millisecond
		soundEvery  = 50 * time.Millisecond
	)
	var (
		all    sync.WaitGroup
		third  time.Time // when the third crash was seen
		late   []string  // retries after the stable window
		sounds = time.NewTicker(soundEvery)
		tries  = time.NewTicker(poisonEvery)
		end    = time.After(length)
	)
	defer sounds.Stop()
	defer tries.Stop()
	for i, over := 0, false; !over; i++ {
		if crashes := len(l.fleet.Crashed(poisonBody)); third.IsZero() && crashes >= 3 {
			third = time.Now()
			l.note("the request has crashed %d servers", crashes)
		}
		select {
		case <-end:
			over = true
		case <-sounds.C:
			all.Go(func() { l.post(l.nodes[i%3], fmt.Sprintf("sound-%d", i), fmt.Sprintf("/lookup/s%d", i), "sound") })
		case <-tries.C:
			id, path := fmt.Sprintf("poison-%d", i), "/lookup/report"
			if os.Getenv("QUERY") != "same" {
				path += fmt.Sprintf("?try=%d", i)
			}
			if !third.IsZero() && time.Since(third) > stableWindow {
				late = append(late, id)
			}
			all.Go(func() { l.post(l.nodes[i%3], id, path, poisonBody) })
		}
	}
	all.Wait()
	reached := 0
	for _, id := range late {
		if runs := l.fleet.Runs(id); len(runs) > 0 {
			reached++
			l.note("retry %s ran at %v", id, runs)
		}
	}
	l.note("crashes: %d; retries later than the stable window after the third: %d, of which %d reached servers", len(l.fleet.Crashed(poisonBody)), len(late), reached)
	if l.trouble && third.IsZero() {
		return fmt.Errorf("%w: fewer than three servers crashed", errSetup)
	}
	if l.trouble && reached > 3 {
		l.broken("BUDGET: a request that crashes servers reached them in %d retries later than %v after it had crashed the third", reached, stableWindow)
	}
	return nil
}

// post sends a request on a connection of its own and notes the answer.
func (l *lab) post(n *node, id, path, body string) { l.postWith(n, id, path, "", body) }

// postWith sends a request with further header fields and returns the status of a whole answer, or 0.
func (l *lab) postWith(n *node, id, path, header, body string) int {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		l.note("%s: %v", id, err)
		return 0
	}
	defer c.Close()
	l.note("client sends %s POST %s %q", id, path, body)
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n%sContent-Length: %d\r\n\r\n%s", path, id, header, len(body), body)
	_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		l.note("%s: no answer: %v", id, err)
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	l.note("%s: status %d, end: %v", id, resp.StatusCode, err)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}
