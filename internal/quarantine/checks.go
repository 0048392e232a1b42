package quarantine

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"os"
	"syscall"
	"time"

	"chervilloom/internal/clock"
)

// broken is an endpoint at which attempts broke off.
type broken struct {
	at      clock.Instant
	over    clock.Instant // when the check was over; 0: it isn't
	ended   bool          // nothing listens there any more
	checked chan struct{} // closed when the check is over
	runs    []Run         // to be told
}

const (
	// dialLimit is how long one connection of a check may take.
	dialLimit = 300 * time.Millisecond
	// standsFor is how long a connection must stand to show that its endpoint does. A
	// process that ends closes its connections before its listener, which takes
	// connections until then and resets them.
	standsFor = time.Second
	// checkLimit bounds a check. An endpoint that answers nothing until then shows no end.
	checkLimit = 3 * time.Second
	// redialPause is the pause before a check's second connection; it doubles with each.
	redialPause = 10 * time.Millisecond
	// checkWait is how long a repeat waits for the check of the endpoint that its request
	// broke off at. An endpoint that ends within a millisecond would otherwise have all
	// the client attempt's others after it before anything is known.
	checkWait = 20 * time.Millisecond
	// longCheckWait is checkWait for a request that has seen suspectEnds ends.
	longCheckWait = 300 * time.Millisecond
	// brokenFor is how long an endpoint is taken for what its check has shown.
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
// with garbage or is cut off has not ended. The request's repeat waits for the check.
func (g *Guard) Broke(endpoint, addr string, fp Fingerprint, attempt uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b := g.noteBroken(endpoint, addr, fp, attempt); b != nil {
		g.checks[fp] = b
	}
}

// Recalled notes that an attempt at an endpoint was recalled. The endpoint may have begun to
// end by it; its repeat need not wait for that.
func (g *Guard) Recalled(endpoint, addr string, fp Fingerprint, attempt uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteBroken(endpoint, addr, fp, attempt)
}

// noteBroken has the endpoint checked, unless too many are or the guard is closed.
func (g *Guard) noteBroken(endpoint, addr string, fp Fingerprint, attempt uint32) *broken {
	if g.ctx.Err() != nil {
		return nil
	}
	now := g.Clock.Now()
	b := g.broken[endpoint]
	if b == nil || b.over != 0 && !b.ended {
		if b == nil && len(g.broken) >= mostBroken {
			g.metrics.checks.WithLabelValues("skipped").Inc()
			return nil
		}
		b = &broken{at: now, checked: make(chan struct{})}
		g.broken[endpoint] = b
		g.work.Go(func() { g.check(b, endpoint, addr) })
	}
	b.runs = append(b.runs, Run{Fingerprint: fp, Attempt: attempt, Sound: g.history.runs(fp)})
	return b
}

// check looks whether anything still listens at an endpoint.
func (g *Guard) check(b *broken, endpoint, addr string) {
	found := g.liveness(addr)
	if g.ctx.Err() != nil {
		close(b.checked)
		return // the guard was closed, which tells nothing of the endpoint
	}
	g.metrics.checks.WithLabelValues(found.String()).Inc()
	g.mu.Lock()
	b.ended = found == Refused
	b.over = g.Clock.Now()
	requests := len(b.runs)
	g.mu.Unlock()
	close(b.checked)
	g.Log.Info("endpoint checked", "endpoint", endpoint, "addr", addr, "result", found.String(), "requests", requests,
		"ms", b.over.Sub(b.at).Milliseconds())
	if found != Refused {
		return
	}
	g.metrics.ends.Inc()
	if g.Ended != nil {
		g.Ended(endpoint)
	}
	g.Tick() // the same request may be on its way to another node already
}

// liveness connects until a connection is refused or stands.
func (g *Guard) liveness(addr string) Liveness {
	ctx, cancel := context.WithTimeout(g.ctx, checkLimit)
	defer cancel()
	for pause := redialPause; ; pause *= 2 {
		conn, err := g.dial(ctx, addr)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return Refused
		case err == nil && stands(g.ctx, conn):
			return Connected
		}
		if !clock.Sleep(ctx, pause) {
			return Silent
		}
	}
}

func (g *Guard) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	return g.Dial(ctx, addr)
}

// stands reports whether the endpoint keeps the connection open until standsFor is over or
// ctx ends, and closes it.
func stands(ctx context.Context, conn net.Conn) bool {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetReadDeadline(time.Now().Add(standsFor)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitCheck waits for the check of the endpoint where the request broke off here, and
// reports whether that endpoint had ended.
func (g *Guard) awaitCheck(ctx context.Context, fp Fingerprint) (ended bool) {
	g.mu.Lock()
	b, wait := g.checks[fp], checkWait
	if g.tally.Saw(fp) >= suspectEnds {
		wait = longCheckWait
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
		if b.over != 0 && now.Sub(b.over) > brokenFor {
			delete(g.broken, endpoint)
		}
	}
	for fp, b := range g.checks {
		if b.over != 0 && now.Sub(b.over) > brokenFor {
			delete(g.checks, fp) // nobody repeated it
		}
	}
	return ends
}

// Liveness is what connections to an endpoint show of it.
type Liveness int

// What a check finds.
const (
	Silent    Liveness = iota // no answer in time, or connections that don't stand
	Connected                 // something listens
	Refused                   // nothing listens
)

func (l Liveness) String() string {
	return [...]string{"silent", "connected", "refused"}[l]
}
