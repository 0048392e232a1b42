// Package pressure lets a stand-in endpoint limit the requests that it takes, turn them away
// for a while and say that it leaves. It counts what arrives, and from whom, and tells
// whether callers kept to what they had been told.
package pressure

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names are the headers of a wire.
type Names struct {
	Limit      string // requests a second from all callers together
	RetryAfter string // seconds for which a caller that is turned away shall send nothing
	Leaving    string // the endpoint leaves, with the value 1
	// NotRun promises that a request didn't run, with the value Promise.
	NotRun, Promise string
}

// Signals are what the endpoint says in its answers.
type Signals struct {
	Limit      float64       // requests a second; 0: none is named
	RetryAfter time.Duration // requests are turned away with this Retry-After; 0: they are served
	Leaving    bool
}

// The bounds that callers must keep.
const (
	window    = 4 * time.Second
	overLimit = 1.5 // of what the limit allows in a window
	slack     = 5   // requests
	// toldAfter is how long after an answer its caller must act by it.
	toldAfter = 500 * time.Millisecond
	inBackoff = 2 // requests within a backoff
)

// Endpoint is the part of a stand-in that says and counts. The zero value says nothing.
// It is safe for concurrent use.
type Endpoint struct {
	mu       sync.Mutex
	signals  Signals
	since    time.Time            // when the limit was first named
	told     map[string]time.Time // who was told the limit, and when first
	recent   []arrival
	leaving  map[string]time.Time // who was told that the endpoint leaves, and when first
	backoffs []backoff
	arrivals int
	broken   []string
}

type arrival struct {
	at   time.Time
	from string
}

// backoff is the time in which a caller that was turned away should send nothing.
type backoff struct {
	from       string
	begin, end time.Time
	requests   int
}

// Bounds are the times of the deployment that the checks need.
type Bounds struct {
	Stable time.Duration // from the first naming of a limit until it must hold
	Drain  time.Duration // from the word that the endpoint leaves until nothing may come
}

// Set changes what the endpoint says from now on.
func (e *Endpoint) Set(s Signals) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Limit != e.signals.Limit {
		e.since, e.told, e.recent = time.Now(), map[string]time.Time{}, nil
	}
	if !s.Leaving || e.leaving == nil {
		e.leaving = map[string]time.Time{}
	}
	e.signals = s
}

// Excuse forgets what a caller was told: it was paused, and acts by what it knew before.
func (e *Endpoint) Excuse(from string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.told, from)
	delete(e.leaving, from)
	e.recent = slices.DeleteFunc(e.recent, func(a arrival) bool { return a.from == from })
	e.backoffs = slices.DeleteFunc(e.backoffs, func(r backoff) bool { return r.from == from })
}

// Arrivals returns how many requests came.
func (e *Endpoint) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// Broken returns what callers did that they had been told not to.
func (e *Endpoint) Broken() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.broken...)
}

// Serve adds the endpoint's signals to the answer to a request, and turns it away if the
// endpoint asks for a backoff; next serves it otherwise. The caller's name is the request's
// id up to a dot. It is told when the answer's head is written: one that breaks off before
// tells it nothing.
func (e *Endpoint) Serve(w http.ResponseWriter, r *http.Request, n Names, b Bounds, next http.HandlerFunc) {
	from, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), ".")
	signals := e.arrive(from, time.Now(), b)
	if signals.Limit > 0 {
		w.Header().Set(n.Limit, strconv.FormatFloat(signals.Limit, 'f', -1, 64))
	}
	if signals.Leaving {
		w.Header().Set(n.Leaving, "1")
	}
	told := sync.OnceFunc(func() { e.note(from, signals, time.Now()) })
	if signals.RetryAfter == 0 {
		next(&headWatcher{w, told}, r)
		told()
		return
	}
	w.Header().Set(n.NotRun, n.Promise)
	w.Header().Set(n.RetryAfter, strconv.FormatFloat(signals.RetryAfter.Seconds(), 'f', -1, 64))
	told()
	w.WriteHeader(http.StatusServiceUnavailable)
}

// headWatcher calls written before an answer's head goes out.
type headWatcher struct {
	http.ResponseWriter
	written func()
}

func (h *headWatcher) WriteHeader(status int) {
	h.written()
	h.ResponseWriter.WriteHeader(status)
}

func (h *headWatcher) Write(b []byte) (int, error) {
	h.written()
	return h.ResponseWriter.Write(b)
}

func (h *headWatcher) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// arrive counts and checks a request, and returns what its answer says.
func (e *Endpoint) arrive(from string, now time.Time, b Bounds) Signals {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	e.checkLimit(from, now, b)
	e.checkBackoffs(from, now)
	if at, ok := e.leaving[from]; ok && now.Sub(at) > b.Drain {
		e.broken = append(e.broken, fmt.Sprintf("a request from %s %v after it was told that the endpoint leaves", from, now.Sub(at)))
	}
	return e.signals
}

func (e *Endpoint) checkLimit(from string, now time.Time, b Bounds) {
	if e.signals.Limit == 0 {
		return
	}
	if at, ok := e.told[from]; ok && now.Sub(at) >= toldAfter {
		e.recent = append(e.recent, arrival{now, from})
	}
	for len(e.recent) > 0 && now.Sub(e.recent[0].at) > window {
		e.recent = e.recent[1:]
	}
	allowed := overLimit*e.signals.Limit*window.Seconds() + slack
	if now.Sub(e.since) >= b.Stable && float64(len(e.recent)) > allowed {
		e.broken = append(e.broken, fmt.Sprintf("%d requests in %v at a limit of %v a second; allowed %.0f", len(e.recent), window, e.signals.Limit, allowed))
	}
}

func (e *Endpoint) checkBackoffs(from string, now time.Time) {
	open := e.backoffs[:0]
	for _, r := range e.backoffs {
		if now.After(r.end) {
			continue
		}
		if r.from == from && !now.Before(r.begin) {
			r.requests++
			if r.requests == inBackoff+1 {
				e.broken = append(e.broken, fmt.Sprintf("%d requests from %s within a backoff", r.requests, from))
			}
		}
		open = append(open, r)
	}
	e.backoffs = open
}

// note notes what a caller is told, unless the endpoint has changed its mind since.
func (e *Endpoint) note(from string, s Signals, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.told[from]; !ok && s.Limit > 0 && s.Limit == e.signals.Limit {
		e.told[from] = now
	}
	if _, ok := e.leaving[from]; !ok && s.Leaving && e.signals.Leaving {
		e.leaving[from] = now
	}
	if s.RetryAfter > 0 {
		e.backoffs = append(e.backoffs, backoff{from: from, begin: now.Add(toldAfter), end: now.Add(s.RetryAfter)})
	}
}
