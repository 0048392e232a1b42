// Package load implements the load generator behind "chervilloom load". It sends
// a mix of requests, described by a YAML plan, to entry nodes on loopback
// addresses, on a schedule computed before the run starts.
//
// The load is open-loop: a slow answer delays no other request. Latencies are
// measured from the intended start, so the delay of a request that was sent late
// is included (no coordinated omission). Every answer is checked: a stream must
// have its end marker and the number of tokens reported in its usage.
//
// Rate, duration and requests in flight are limited. Targets other than loopback
// addresses are rejected.
package load

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the plan and the targets of a run.
type Options struct {
	Plan    *Plan
	Targets []string // ip:port of entry nodes, used round robin
}

// Run sends the plan's requests to the targets. If ctx is cancelled during the
// run, it returns the report so far with ctx's error. If the plan or a target is
// invalid, the report is nil.
func Run(ctx context.Context, o Options) (*Report, error) {
	sides := []Side{{Targets: o.Targets}}
	reports, err := run(ctx, o.Plan, sides)
	if reports == nil {
		return nil, err
	}
	return reports[0], err
}

// Side is a set of targets that is measured together.
type Side struct {
	Name    string
	Targets []string          // ip:port, used round robin
	Header  map[string]string // sent with every request
	// DirectToService is true if the targets are instances of a plain service and not nodes:
	// request paths then have no /services/NAME prefix.
	DirectToService bool
}

// run validates the plan and the targets and sends request i of the schedule to
// side i modulo the number of sides. It returns one report per side.
func run(ctx context.Context, p *Plan, sides []Side) ([]*Report, error) {
	if problems := p.Validate(nil, nil); problems != nil {
		return nil, problems
	}
	clients := make([]*client, len(sides))
	for i := range sides {
		c, err := newClient(p, &sides[i])
		if err != nil {
			return nil, err
		}
		defer c.close()
		clients[i] = c
	}
	requests := buildSchedule(p)
	tallies := make([]*tally, len(sides))
	for i := range tallies {
		tallies[i] = newTally(p)
	}
	err := sendSchedule(ctx, p, requests, clients, tallies)
	reports := make([]*Report, len(sides))
	for i, t := range tallies {
		reports[i] = t.report(p, &sides[i])
	}
	return reports, err
}

// resultBufferSize is the buffer size of the channel of results. When it is full,
// sends block, but only after the latency of the request was measured.
const resultBufferSize = 1024

type sideResult struct {
	side   int
	result result
}

// sendSchedule sends the requests at their scheduled times. A request that is due while
// InFlight others are in flight is not sent, and counted as such.
func sendSchedule(ctx context.Context, p *Plan, requests []scheduledRequest, clients []*client, tallies []*tally) error {
	results := make(chan sideResult, resultBufferSize)
	tallied := make(chan struct{})
	go func() {
		defer close(tallied)
		for r := range results {
			tallies[r.side].add(&r.result)
		}
	}()
	slots := make(chan struct{}, p.InFlight)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range requests {
		s := &requests[i]
		if !sleepUntil(ctx, began.Add(s.offset)) {
			break
		}
		side := i % len(clients)
		select {
		case slots <- struct{}{}:
		default:
			results <- sideResult{side, result{kindIndex: s.kindIndex, offset: s.offset, outcome: outcomeNotSent}}
			continue
		}
		sendDelay := time.Since(began) - s.offset
		wg.Go(func() {
			r := clients[side].send(ctx, s, began.Add(s.offset))
			<-slots
			r.sendDelay = sendDelay
			results <- sideResult{side, r}
		})
	}
	wg.Wait()
	close(results)
	<-tallied
	return ctx.Err()
}

// preciseSleep is the last part of a sleep, for which clock_nanosleep is used. In an
// idle process, Go timers are up to 1 ms late because the runtime waits in epoll
// with a resolution of 1 ms; that is many times the latency that a node adds to a
// lookup.
const preciseSleep = 2 * time.Millisecond

// sleep sleeps for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sleepUntil sleeps until the given time. It returns false if ctx is done first.
// Only one goroutine may use it, since the last part of the sleep blocks a thread.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if !sleep(ctx, time.Until(at)-preciseSleep) {
		return false
	}
	for d := time.Until(at); d > 0 && ctx.Err() == nil; d = time.Until(at) {
		ts := unix.NsecToTimespec(int64(d))
		_ = unix.ClockNanosleep(unix.CLOCK_MONOTONIC, 0, &ts, nil) // interrupted by a signal: the loop sleeps for the rest
	}
	return ctx.Err() == nil
}

// checkTargets rejects targets that are not loopback addresses: load sent by
// mistake to another machine is an attack on it.
func checkTargets(targets []string) error {
	if len(targets) == 0 {
		return fmt.Errorf("load: no target given; add the ip:port of at least one entry node")
	}
	for _, t := range targets {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return fmt.Errorf("load: target %q is not an IP address and port such as 127.0.0.1:8080: %w", t, err)
		}
		if !a.Addr().Unmap().IsLoopback() {
			return fmt.Errorf("load: target %s is not a loopback address; run the load tool on the node's machine", t)
		}
	}
	return nil
}
