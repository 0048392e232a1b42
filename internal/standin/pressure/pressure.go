// Package pressure lets a stand-in endpoint limit the requests that it takes. It counts what
// arrives, and from whom, and tells whether callers kept to what they had been told.
package pressure

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names are the headers of a wire.
type Names struct {
	Limit string // requests a second from all callers together
}

// Words are what the endpoint says in its answers.
type Words struct {
	Limit float64 // requests a second; 0: none is named
}

// The bounds that callers must keep.
const (
	window    = 4 * time.Second
	overLimit = 1.5 // of what the limit allows in a window
	slack     = 5   // requests
	// toldAfter is how long after an answer its caller must act by it.
	toldAfter = 500 * time.Millisecond
)

// Endpoint is the part of a stand-in that says and counts. The zero value says nothing.
// It is safe for concurrent use.
type Endpoint struct {
	mu       sync.Mutex
	words    Words
	since    time.Time            // when the limit was first named
	told     map[string]time.Time // who was told the limit, and when first
	recent   []arrival
	arrivals int
	broken   []string
}

type arrival struct {
	at   time.Time
	from string
}

// Bounds are the times of the deployment that the checks need.
type Bounds struct {
	Stable time.Duration // from the first naming of a limit until it must hold
}

// Say changes what the endpoint says from now on.
func (e *Endpoint) Say(w Words) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.Limit != e.words.Limit {
		e.since, e.told, e.recent = time.Now(), map[string]time.Time{}, nil
	}
	e.words = w
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

// Serve adds the endpoint's words to the answer to a request, which next serves. The
// caller's name is the request's id up to a dot.
func (e *Endpoint) Serve(w http.ResponseWriter, r *http.Request, n Names, b Bounds, next http.HandlerFunc) {
	from, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), ".")
	words := e.arrive(from, time.Now(), b)
	if words.Limit > 0 {
		w.Header().Set(n.Limit, strconv.FormatFloat(words.Limit, 'f', -1, 64))
	}
	next(w, r)
}

// arrive counts a request, checks it, and notes what its caller is told.
func (e *Endpoint) arrive(from string, now time.Time, b Bounds) Words {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	e.checkLimit(from, now, b)
	e.note(from, now)
	return e.words
}

func (e *Endpoint) checkLimit(from string, now time.Time, b Bounds) {
	if e.words.Limit == 0 {
		return
	}
	if at, ok := e.told[from]; ok && now.Sub(at) >= toldAfter {
		e.recent = append(e.recent, arrival{now, from})
	}
	for len(e.recent) > 0 && now.Sub(e.recent[0].at) > window {
		e.recent = e.recent[1:]
	}
	allowed := overLimit*e.words.Limit*window.Seconds() + slack
	if now.Sub(e.since) >= b.Stable && float64(len(e.recent)) > allowed {
		e.broken = append(e.broken, fmt.Sprintf("%d requests in %v at a limit of %v a second; allowed %.0f", len(e.recent), window, e.words.Limit, allowed))
	}
}

func (e *Endpoint) note(from string, now time.Time) {
	if _, ok := e.told[from]; !ok && e.words.Limit > 0 {
		e.told[from] = now
	}
}
