package quarantine

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"chervilloom/internal/clock"
)

// endpointCheck is the check of an endpoint at which attempts failed.
type endpointCheck struct {
	startedAt  clock.Instant
	finishedAt clock.Instant // when the check completed; 0: still in progress
	crashed    bool          // the endpoint refuses connections
	done       chan struct{} // closed when the check is complete
	unreported []failedRun   // runs at the endpoint that have not been reported to the tallying nodes
}

// failedRun is a run of a request that ended without a usable response.
type failedRun struct {
	Run
	parts []Part
}

// unclearRun is a run whose response ended with its connection, so that it may be cut.
type unclearRun struct {
	failedRun
	endpoint string
	at       clock.Instant
}

const (
	// maxUnclearRuns bounds the unclear runs that are kept, and unclearRetention is how long: other
	// runs at a crashed endpoint break off at the same moment.
	maxUnclearRuns   = 128
	unclearRetention = time.Second
)

const (
	// dialTimeout bounds each connection attempt of a check.
	dialTimeout = 300 * time.Millisecond
	// minConnectionLife is how long a connection must stay open to show that its endpoint is
	// alive. An exiting process closes its connections before its listener, which accepts new
	// connections until then and resets them.
	minConnectionLife = time.Second
	// checkTimeout bounds a check. An endpoint that has not answered by then doesn't count as
	// crashed.
	checkTimeout = 3 * time.Second
	// redialBackoff is the pause before a check's second connection; it doubles with each
	// further one.
	redialBackoff = 10 * time.Millisecond
	// checkWait is how long a retry waits for the check of the endpoint at which its request
	// failed. If endpoints crash within a millisecond, the client attempt's other retries would
	// otherwise crash more of them before anything is known.
	checkWait = 20 * time.Millisecond
	// suspectCheckWait replaces checkWait for a request that has seen minSuspectCrashes crashes.
	suspectCheckWait = 300 * time.Millisecond
	// checkRetention is how long the result of a check is kept.
	checkRetention = 2 * time.Second
	// maxChecks bounds the endpoints that are checked at a time. More at once are a mass loss,
	// which is no evidence against any request.
	maxChecks = 256
)

// AttemptID returns the hash that identifies a client attempt in evidence.
func AttemptID(requestID string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // a hash write never fails
	return h.Sum32()
}

// AttemptFailed records that an attempt at an endpoint failed, for whatever reason, and has the endpoint
// checked. The failure counts as a crash only if the endpoint refuses connections afterwards:
// one that resets a connection, sends garbage or is unreachable has not crashed. The request's
// retry waits for the check.
func (g *Guard) AttemptFailed(endpoint, addr string, fp Fingerprint, attempt uint32, parts ...Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if check := g.startCheck(endpoint, addr, fp, attempt, parts); check != nil {
		g.checksByRequest[fp] = check
	}
}

// AttemptRecalled records that an attempt at an endpoint was recalled. The request may already be
// crashing the endpoint, so it is checked, but the request's retry does not wait for the check.
func (g *Guard) AttemptRecalled(endpoint, addr string, fp Fingerprint, attempt uint32, parts ...Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startCheck(endpoint, addr, fp, attempt, parts)
}

// ResponseUnclear records a run that succeeded, or was cut when the endpoint crashed: its response
// ended with the connection. It counts as failed if the endpoint is found crashed because of other
// runs there, and is no evidence that the parts of its prompt are sound.
func (g *Guard) ResponseUnclear(endpoint string, fp Fingerprint, attempt uint32, parts ...Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.unclear = slices.DeleteFunc(g.unclear, func(u unclearRun) bool { return now.Sub(u.at) > unclearRetention })
	run := failedRun{Run{Fingerprint: fp, Attempt: attempt, Successes: g.history.runs(fp)}, parts}
	if check := g.checksByEndpoint[endpoint]; check != nil && (check.finishedAt == 0 || check.crashed) {
		check.unreported = append(check.unreported, run)
		return
	}
	if len(g.unclear) < maxUnclearRuns {
		g.unclear = append(g.unclear, unclearRun{run, endpoint, now})
	}
}

// takeUnclear returns the unclear runs at an endpoint. g.mu is held.
func (g *Guard) takeUnclear(endpoint string, now clock.Instant) []failedRun {
	var taken []failedRun
	g.unclear = slices.DeleteFunc(g.unclear, func(u unclearRun) bool {
		if u.endpoint != endpoint {
			return false
		}
		if now.Sub(u.at) <= unclearRetention {
			taken = append(taken, u.failedRun)
		}
		return true
	})
	return taken
}

// startCheck starts a check of the endpoint, or joins the one in progress, and adds the run to
// it. It returns nil if too many checks are kept or the guard is closed. g.mu is held.
func (g *Guard) startCheck(endpoint, addr string, fp Fingerprint, attempt uint32, parts []Part) *endpointCheck {
	if g.ctx.Err() != nil {
		return nil
	}
	now := g.Clock.Now()
	check := g.checksByEndpoint[endpoint]
	if check == nil || check.finishedAt != 0 && !check.crashed {
		if check == nil && len(g.checksByEndpoint) >= maxChecks {
			g.metrics.checks.WithLabelValues("skipped").Inc()
			return nil
		}
		check = &endpointCheck{startedAt: now, done: make(chan struct{}), unreported: g.takeUnclear(endpoint, now)}
		g.checksByEndpoint[endpoint] = check
		g.work.Go(func() { g.checkEndpoint(check, endpoint, addr) })
	}
	check.unreported = append(check.unreported, failedRun{Run{Fingerprint: fp, Attempt: attempt, Successes: g.history.runs(fp)}, parts})
	return check
}

// checkEndpoint checks whether anything still listens at an endpoint, and records the result.
func (g *Guard) checkEndpoint(check *endpointCheck, endpoint, addr string) {
	found := g.probeLiveness(addr)
	if g.ctx.Err() != nil {
		close(check.done)
		return // the guard was closed, so the result is meaningless
	}
	g.metrics.checks.WithLabelValues(found.String()).Inc()
	g.mu.Lock()
	check.crashed = found == Refused
	check.finishedAt = g.Clock.Now()
	requests := len(check.unreported)
	g.mu.Unlock()
	close(check.done)
	g.Log.Info("endpoint checked", "endpoint", endpoint, "addr", addr, "result", found.String(), "requests", requests,
		"ms", check.finishedAt.Sub(check.startedAt).Milliseconds())
	if found != Refused {
		return
	}
	g.metrics.crashes.Inc()
	if g.EndpointCrashed != nil {
		g.EndpointCrashed(endpoint)
	}
	g.Tick() // report at once: another node may be about to send the same request
}

// probeLiveness connects until a connection is refused or stays open, or checkTimeout is over.
func (g *Guard) probeLiveness(addr string) Liveness {
	ctx, cancel := context.WithTimeout(g.ctx, checkTimeout)
	defer cancel()
	for pause := redialBackoff; ; pause *= 2 {
		conn, err := g.dial(ctx, addr)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return Refused
		case err == nil && staysOpen(g.ctx, conn):
			return Connected
		}
		if !clock.Sleep(ctx, pause) {
			return Silent
		}
	}
}

func (g *Guard) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return g.Dial(ctx, addr)
}

// staysOpen reports whether the endpoint keeps the connection open for minConnectionLife, or
// sends data before. It closes the connection, at once if ctx ends.
func staysOpen(ctx context.Context, conn net.Conn) bool {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetReadDeadline(time.Now().Add(minConnectionLife)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitCheck waits for the check of the endpoint at which the request last failed here, and
// reports whether that endpoint has crashed.
func (g *Guard) awaitCheck(ctx context.Context, fp Fingerprint) (crashed bool) {
	g.mu.Lock()
	check, wait := g.checksByRequest[fp], checkWait
	if g.tally.CrashCount(fp) >= minSuspectCrashes {
		wait = suspectCheckWait
	}
	delete(g.checksByRequest, fp)
	g.mu.Unlock()
	if check == nil {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-check.done:
	case <-timer.C:
		g.Log.Info("request is retried before its endpoint is checked", "fingerprint", fp, "waited_ms", wait.Milliseconds())
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return check.crashed
}

// takeUnreportedCrashes returns each run at a crashed endpoint once, and deletes checks that
// completed more than checkRetention ago. g.mu is held.
func (g *Guard) takeUnreportedCrashes(now clock.Instant) []CrashReport {
	var crashes []CrashReport
	for endpoint, check := range g.checksByEndpoint {
		if check.crashed && len(check.unreported) > 0 {
			crashes = append(crashes, CrashReport{endpoint, g.describeRuns(check.unreported, now), check.startedAt})
			check.unreported = nil
		}
		if check.finishedAt != 0 && now.Sub(check.finishedAt) > checkRetention {
			delete(g.checksByEndpoint, endpoint)
		}
	}
	for fp, check := range g.checksByRequest {
		if check.finishedAt != 0 && now.Sub(check.finishedAt) > checkRetention {
			delete(g.checksByRequest, fp) // no retry came for it
		}
	}
	return crashes
}

// describeRuns returns the runs with the parts of their prompts. g.mu is held.
func (g *Guard) describeRuns(failed []failedRun, now clock.Instant) []Run {
	runs := make([]Run, len(failed))
	for i, f := range failed {
		runs[i] = f.Run
		runs[i].Parts = g.describeParts(f.parts, now)
	}
	return runs
}

// describeParts returns up to maxPartsPerRun parts, first those with the fewest successful runs here.
// g.mu is held.
func (g *Guard) describeParts(parts []Part, now clock.Instant) []PartRun {
	var out []PartRun
	for depth, p := range parts {
		out = append(out, PartRun{p, depth, g.partHistory.successes(p, now)})
	}
	if len(out) <= maxPartsPerRun {
		return out
	}
	slices.SortStableFunc(out, func(a, b PartRun) int { return cmp.Compare(a.Runs, b.Runs) })
	return out[:maxPartsPerRun]
}

// Liveness is the result of a check.
type Liveness int

// Results of a check.
const (
	Silent    Liveness = iota // no answer in time, or connections that don't stay open
	Connected                 // a connection stays open
	Refused                   // nothing listens
)

func (l Liveness) String() string {
	return [...]string{"silent", "connected", "refused"}[l]
}
