package quarantine

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"syscall"
	"time"

	"chervilloom/internal/clock"
)

// broken is an endpoint at which attempts broke off.
type broken struct {
	at      clock.Instant
	ended   bool          // nothing listens there any more
	checked chan struct{} // closed when the check is over
	runs    []Run         // to be told
}

const (
	// checkLimit is how long the check of an endpoint may take. A process that ended has
	// its connections refused within a round trip, 3 ms; silence is no end that was seen.
	checkLimit = 300 * time.Millisecond
	// checkWait is how long a repeat waits for the check of the endpoint that its request
	// broke off at. An endpoint that ends within a millisecond would have three more
	// after it before anything is known: 8 ended under two client attempts of up to four
	// tries each, now 5.
	checkWait = 20 * time.Millisecond
	// suspectEnds is how many ends a request must have seen for its repeats to wait for the
	// check as long as that takes: a node short of processor time needs more than checkWait
	// for it, and beside a load of 20 on 8 cores a seventh endpoint ended meanwhile.
	suspectEnds = 2
	// brokenFor is how long an endpoint is taken for what the check has shown.
	brokenFor = 2 * time.Second
	// mostBroken bounds the endpoints that are checked at a time; more at once are a loss
	// of many, which tells nothing of a request.
	mostBroken = 256
)

// AttemptID names a client attempt in evidence.
func AttemptID(requestID string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // a hash never fails
	return h.Sum32()
}

// Broke notes that an attempt at an endpoint broke off, whatever the reason. It counts
// only if nothing listens at the endpoint any more: one that resets a connection, answers
// with garbage or is cut off has not ended.
func (g *Guard) Broke(endpoint, addr string, fp Fingerprint, attempt uint32) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.broken[endpoint]
	if b == nil {
		if len(g.broken) >= mostBroken {
			g.metrics.checks.WithLabelValues("skipped").Inc()
			return
		}
		b = &broken{at: now, checked: make(chan struct{})}
		g.broken[endpoint] = b
		go g.check(b, endpoint, addr)
	}
	g.checks[fp] = b
	b.runs = append(b.runs, Run{Fingerprint: fp, Attempt: attempt, Sound: g.history.runs(fp)})
}

// check looks whether anything still listens at an endpoint.
func (g *Guard) check(b *broken, endpoint, addr string) {
	defer close(b.checked)
	found := g.Probe(addr)
	g.metrics.checks.WithLabelValues(found.String()).Inc()
	g.mu.Lock()
	b.ended = found == Refused
	requests := len(b.runs)
	g.mu.Unlock()
	g.Log.Info("endpoint checked", "endpoint", endpoint, "addr", addr, "result", found.String(), "requests", requests,
		"ms", g.Clock.Now().Sub(b.at).Milliseconds())
	if found != Refused {
		return
	}
	g.metrics.ends.Inc()
	if g.Ended != nil {
		g.Ended(endpoint)
	}
	g.Tick() // the same request may be on its way to another node already
}

// awaitCheck waits for the check of the endpoint where the request broke off here, and
// reports whether that endpoint had ended.
func (g *Guard) awaitCheck(ctx context.Context, fp Fingerprint) (ended bool) {
	g.mu.Lock()
	b, wait := g.checks[fp], checkWait
	if g.tally.Saw(fp) >= suspectEnds {
		wait = checkLimit
	}
	delete(g.checks, fp)
	g.mu.Unlock()
	if b == nil {
		return false
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	select {
	case <-b.checked:
	case <-limit.C:
		g.Log.Info("request goes on before its endpoint is checked", "fingerprint", fp, "waited_ms", wait.Milliseconds())
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return b.ended
}

// endsToTell returns the runs of endpoints that ended, each once, and forgets endpoints
// that were checked long ago.
func (g *Guard) endsToTell(now clock.Instant) []End {
	var ends []End
	for endpoint, b := range g.broken {
		if b.ended && len(b.runs) > 0 {
			ends = append(ends, End{endpoint, b.runs, b.at})
			b.runs = nil
		}
		if now.Sub(b.at) > brokenFor {
			delete(g.broken, endpoint)
		}
	}
	for fp, b := range g.checks {
		if now.Sub(b.at) > brokenFor {
			delete(g.checks, fp) // nobody repeated it
		}
	}
	return ends
}

// Liveness is what a connection to an endpoint shows of it.
type Liveness int

// What a check finds.
const (
	Silent    Liveness = iota // no answer in time
	Connected                 // something listens
	Refused                   // nothing listens
)

func (l Liveness) String() string {
	return [...]string{"silent", "connected", "refused"}[l]
}

// probe connects to addr.
func probe(addr string) Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), checkLimit)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		c.Close()
		return Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	}
	return Silent
}
