package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// coldServer is a plain server that may become cold.
type coldServer struct {
	l        *lab
	id, addr string

	mu       sync.Mutex
	sequence int
	born     time.Time
	warmAt   time.Time
	arrivals []time.Time // of requests while it was cold
}

func (l *lab) newColdServer(id string) (*coldServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &coldServer{l: l, id: id, addr: ln.Addr().String(), born: time.Now()}
	go func() { _ = http.Serve(ln, s) }()
	s.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.beat()
		}
	}()
	return s, nil
}

// beat writes the server's entry.
func (s *coldServer) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.l.store.Put("servers", s.id, map[string]any{
		"service": "plain", "address": s.addr, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "sequence": s.sequence,
		"cold_remaining_ms": max(0, time.Until(s.warmAt).Milliseconds()), "born": s.born.UnixMilli(),
	})
}

// turnCold makes the server cold for a while. Its entry says so at once.
func (s *coldServer) turnCold(cold time.Duration) {
	s.mu.Lock()
	s.warmAt = time.Now().Add(cold)
	s.mu.Unlock()
	s.beat()
	s.l.note("server %s is cold for %v; its entry says so", s.id, cold)
}

// ServeHTTP runs a request.
func (s *coldServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	s.mu.Lock()
	if now.Before(s.warmAt) {
		s.arrivals = append(s.arrivals, now)
	}
	s.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	s.l.note("server %s runs %s", s.id, id)
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp-of-"+s.id)
	w.Header().Set("X-Server-Load", "1,0,6")
	_, _ = io.WriteString(w, "the whole body of "+id)
}

// mostInASecond returns the most arrivals in a second while the server was cold, and its start.
func (s *coldServer) mostInASecond() (most int, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.arrivals, time.Time.Compare)
	for i, from := range s.arrivals {
		n := 0
		for _, a := range s.arrivals[i:] {
			if a.Sub(from) < time.Second {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	return most, at
}

const (
	coldPerS  = 14.0 // of the sheet's service that has such a rate
	coldOver  = 1.5
	coldSlack = 5.0
)

// cold lets plain servers become cold, one after the other, while clients send lookups. While it is cold it may get no more
// requests in a second than the rule allows.
func cold(l *lab) error {
	const (
		perSecond = 79 // the sheet's plain requests in a burst
		seconds   = 28
	)
	var servers []*coldServer
	for i := range 2 {
		s, err := l.newColdServer(fmt.Sprintf("i-p%d", i))
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	l.coldPerS = coldPerS
	l.writeDocument(3)
	for i := range 4 {
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
		for i := range 4 { // at different moments of a read of the list
			time.AfterFunc(time.Duration(4000+6250*i)*time.Millisecond, func() { servers[i%2].turnCold(4500 * time.Millisecond) })
		}
	}
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := range perSecond * seconds {
		<-tick.C
		all.Go(func() { l.ask(l.nodes[i%4], fmt.Sprintf("lookup-%d", i), "GET", "/lookup/x") })
	}
	all.Wait()
	for _, s := range servers {
		most, at := s.mostInASecond()
		l.note("most requests in a second at %s while it was cold: %d, from %.3f", s.id, most, at.Sub(l.started).Seconds())
		if allowed := coldPerS*coldOver + coldSlack; float64(most) > allowed {
			l.broken("FAILBACK: a cold server got %d requests in a second, allowed are %v", most, allowed)
		}
	}
	return nil
}
