// Package pressure adds backpressure signals to a stand-in endpoint: a rate limit, a
// backoff and a leaving notice. It counts the requests of each caller and reports the
// callers that do not comply with the signals they received.
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

// HeaderNames are the names of the response headers that carry the signals.
type HeaderNames struct {
	Limit      string // requests per second from all callers together
	RetryAfter string // seconds for which a refused caller must not send requests
	Leaving    string // the endpoint is leaving; its value is 1
	// NotRun declares that a request did not run; its value is NotRunValue.
	NotRun, NotRunValue string
}

// Signals are the backpressure signals in the endpoint's answers.
type Signals struct {
	Limit      float64       // requests per second; 0 sends no limit
	RetryAfter time.Duration // refuse all requests with this Retry-After; 0 serves them
	Leaving    bool
}

// Limits that callers must comply with.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5 // allowed multiple of the rate limit within a window
	limitSlack     = 5   // requests allowed in addition
	// complianceDelay is the time from an answer until its caller must comply with it.
	complianceDelay = 500 * time.Millisecond
	maxInBackoff    = 2 // requests of a caller allowed during a backoff
)

// Monitor sends the signals of a stand-in and checks that callers comply with them.
// The zero value sends no signals. It is safe for concurrent use.
type Monitor struct {
	mu              sync.Mutex
	signals         Signals
	limitSince      time.Time            // when the limit was set
	limitReceived   map[string]time.Time // when each caller first received the limit
	recentArrivals  []arrival            // within the window, from callers that must comply with the limit
	leavingReceived map[string]time.Time // when each caller first received the leaving notice
	backoffs        []backoff
	arrivals        int
	violations      []string
}

type arrival struct {
	at     time.Time
	caller string
}

// backoff is the period in which a refused caller should not send requests.
type backoff struct {
	caller     string
	begin, end time.Time
	requests   int // received in the period
}

// GracePeriods are the grace periods of the deployment that the checks allow for.
type GracePeriods struct {
	Limit   time.Duration // from the setting of a limit until callers together must comply
	Leaving time.Duration // from the leaving notice until no request may arrive
}

// SetSignals changes the signals of the answers from now on. A new limit, or the end of
// leaving, discards the record of the callers that received the previous signal.
func (e *Monitor) SetSignals(s Signals) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Limit != e.signals.Limit {
		e.limitSince, e.limitReceived, e.recentArrivals = time.Now(), map[string]time.Time{}, nil
	}
	if !s.Leaving || e.leavingReceived == nil {
		e.leavingReceived = map[string]time.Time{}
	}
	e.signals = s
}

// ForgetCaller discards the signals and backoffs recorded for a caller, and its requests in
// the window. Tests call it for a caller that was paused, which after resuming acts on
// outdated signals.
func (e *Monitor) ForgetCaller(caller string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.limitReceived, caller)
	delete(e.leavingReceived, caller)
	e.recentArrivals = slices.DeleteFunc(e.recentArrivals, func(a arrival) bool { return a.caller == caller })
	e.backoffs = slices.DeleteFunc(e.backoffs, func(r backoff) bool { return r.caller == caller })
}

// Arrivals returns the number of requests received.
func (e *Monitor) Arrivals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.arrivals
}

// Violations returns a description of each violation of a signal by a caller.
func (e *Monitor) Violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.violations...)
}

// Serve adds the signals to the answer to a request. If RetryAfter is set, it refuses
// the request with status 503, else next serves it. The caller's name is the
// X-Request-Id up to the first dot. The caller counts as informed once the response
// header is written or next returns; an answer that is aborted before carries no signal.
func (e *Monitor) Serve(w http.ResponseWriter, r *http.Request, n HeaderNames, b GracePeriods, next http.HandlerFunc) {
	caller, _, _ := strings.Cut(r.Header.Get("X-Request-Id"), ".")
	signals := e.recordArrival(caller, time.Now(), b)
	if signals.Limit > 0 {
		w.Header().Set(n.Limit, strconv.FormatFloat(signals.Limit, 'f', -1, 64))
	}
	if signals.Leaving {
		w.Header().Set(n.Leaving, "1")
	}
	recordOnce := sync.OnceFunc(func() { e.recordSignals(caller, signals, time.Now()) })
	if signals.RetryAfter == 0 {
		next(&headerWatcher{w, recordOnce}, r)
		recordOnce()
		return
	}
	w.Header().Set(n.NotRun, n.NotRunValue)
	w.Header().Set(n.RetryAfter, strconv.FormatFloat(signals.RetryAfter.Seconds(), 'f', -1, 64))
	recordOnce()
	w.WriteHeader(http.StatusServiceUnavailable)
}

// headerWatcher calls onWrite before the response header or body is written.
type headerWatcher struct {
	http.ResponseWriter
	onWrite func()
}

func (h *headerWatcher) WriteHeader(status int) {
	h.onWrite()
	h.ResponseWriter.WriteHeader(status)
}

func (h *headerWatcher) Write(b []byte) (int, error) {
	h.onWrite()
	return h.ResponseWriter.Write(b)
}

func (h *headerWatcher) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// recordArrival counts and checks a request, and returns the signals for its answer.
func (e *Monitor) recordArrival(caller string, now time.Time, b GracePeriods) Signals {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	e.checkLimit(caller, now, b)
	e.checkBackoffs(caller, now)
	if at, ok := e.leavingReceived[caller]; ok && now.Sub(at) > b.Leaving {
		e.violations = append(e.violations, fmt.Sprintf("a request from %s arrived %v after the leaving notice", caller, now.Sub(at)))
	}
	return e.signals
}

// checkLimit records a violation if callers that received the limit exceed it together.
// A caller's requests count from complianceDelay after it first received the limit.
func (e *Monitor) checkLimit(caller string, now time.Time, b GracePeriods) {
	if e.signals.Limit == 0 {
		return
	}
	if at, ok := e.limitReceived[caller]; ok && now.Sub(at) >= complianceDelay {
		e.recentArrivals = append(e.recentArrivals, arrival{now, caller})
	}
	for len(e.recentArrivals) > 0 && now.Sub(e.recentArrivals[0].at) > limitWindow {
		e.recentArrivals = e.recentArrivals[1:]
	}
	allowed := limitTolerance*e.signals.Limit*limitWindow.Seconds() + limitSlack
	if now.Sub(e.limitSince) >= b.Limit && float64(len(e.recentArrivals)) > allowed {
		e.violations = append(e.violations, fmt.Sprintf("%d requests in %v at a rate limit of %v per second; at most %.0f are allowed", len(e.recentArrivals), limitWindow, e.signals.Limit, allowed))
	}
}

// checkBackoffs records a violation if the caller sends more than maxInBackoff requests
// during one of its backoffs, and drops the backoffs that are over.
func (e *Monitor) checkBackoffs(caller string, now time.Time) {
	open := e.backoffs[:0]
	for _, r := range e.backoffs {
		if now.After(r.end) {
			continue
		}
		if r.caller == caller && !now.Before(r.begin) {
			r.requests++
			if r.requests == maxInBackoff+1 {
				e.violations = append(e.violations, fmt.Sprintf("%d requests from %s during its backoff", r.requests, caller))
			}
		}
		open = append(open, r)
	}
	e.backoffs = open
}

// recordSignals records the signals that a caller receives. A limit or leaving notice
// that has changed since the request arrived is not recorded.
func (e *Monitor) recordSignals(caller string, s Signals, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.limitReceived[caller]; !ok && s.Limit > 0 && s.Limit == e.signals.Limit {
		e.limitReceived[caller] = now
	}
	if _, ok := e.leavingReceived[caller]; !ok && s.Leaving && e.signals.Leaving {
		e.leavingReceived[caller] = now
	}
	if s.RetryAfter > 0 {
		e.backoffs = append(e.backoffs, backoff{caller: caller, begin: now.Add(complianceDelay), end: now.Add(s.RetryAfter)})
	}
}
