package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// crowd lets many clients open connections and send the first bytes of a head, while ordinary ones send
// a receipt some time after they have connected. Ordinary ones may be refused, but no success that isn't a
// server's may reach them.
func crowd(l *lab) error {
	var runs sync.Map // the server that ran a request, by its id
	for i := range 2 {
		e := l.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", "a")
		e.SetHandler(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			runs.Store(id, e.ID)
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("X-Request-Id", id)
			w.Header().Set("X-Server-Stamp", "stamp-of-"+e.ID)
			_, _ = io.WriteString(w, "the whole body of "+id)
		})
	}
	l.writeDocument(3)
	go l.heartbeats()
	for i := range 2 {
		n, err := l.startNode(fmt.Sprintf("front-a-%d", i), "a")
		if err != nil {
			return err
		}
		if err := l.awaitReady(n); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var all sync.WaitGroup
	if l.trouble {
		for k := range 40 {
			all.Go(func() {
				n := l.nodes[k%2]
				var held []net.Conn
				for {
					select {
					case <-stop:
						for _, c := range held {
							c.Close()
						}
						return
					default:
					}
					c, err := net.DialTimeout("tcp", n.front, 200*time.Millisecond)
					if err != nil {
						time.Sleep(time.Millisecond)
						continue
					}
					_, _ = io.WriteString(c, "GET /lookup/x HT")
					if held = append(held, c); len(held) > 100 {
						held[0].Close()
						held = held[1:]
					}
				}
			})
		}
	}
	var whole, refused, empty atomic.Int64
	end := time.Now().Add(90 * time.Second)
	for w := range 500 {
		all.Go(func() {
			n := l.nodes[w%2]
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("receipt-%d-%d", w, i)
				c, err := net.DialTimeout("tcp", n.front, time.Second)
				if err != nil {
					continue
				}
				time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond) // within header_timeout_ms
				_, _ = fmt.Fprintf(c, "POST /receipt/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token k1\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", id)
				_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
				switch {
				case err != nil || resp.StatusCode != http.StatusOK:
					refused.Add(1)
				case resp.Header.Get("X-Server-Stamp") == "":
					empty.Add(1)
					body, err := io.ReadAll(resp.Body)
					server, ran := runs.Load(id)
					l.broken("MIXED: %s got status 200 without X-Server-Stamp; header %v, body %q, end %v; run by then: %v %v", id, resp.Header, body, err, ran, server)
				default:
					whole.Add(1)
				}
				c.Close()
			}
		})
	}
	time.Sleep(time.Until(end))
	close(stop)
	all.Wait()
	ran := 0
	runs.Range(func(any, any) bool { ran++; return true })
	l.note("ordinary clients sent %d receipts, servers ran %d", whole.Load()+refused.Load()+empty.Load(), ran)
	l.note("answered %d, refused or closed %d, a success of no server %d", whole.Load(), refused.Load(), empty.Load())
	return nil
}
