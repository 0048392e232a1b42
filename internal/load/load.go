// Package load is the load tool behind "chervilloom load". It sends a mix of
// requests, described by a plan in YAML, to entry nodes on loopback addresses,
// at times that are fixed before the run starts.
//
// The load is open-loop: a slow answer delays no other request. Latencies are
// taken from the intended start, so that a request that could not be sent in
// time counts with the time it lost (no coordinated omission). Every answer is
// checked: a stream must have its end marker and the number of tokens it
// announces.
//
// The load is bounded in rate, length and requests in flight, and refuses
// targets that are not loopback addresses.
package load

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Options describe a run.
type Options struct {
	Plan    *Plan
	Targets []string // ip:port of entry nodes, used in turn as a balancer would
}

// Run carries out the plan against the targets. It returns a report also when
// ctx ends early; the error is then ctx's.
func Run(ctx context.Context, o Options) (*Report, error) {
	sides := []Side{{Targets: o.Targets}}
	reports, err := run(ctx, o.Plan, sides)
	if reports == nil {
		return nil, err
	}
	return reports[0], err
}

// Side is one of the target sets of a comparison.
type Side struct {
	Name    string
	Targets []string          // ip:port, used in turn
	Header  map[string]string // sent with every request
	// Bare is set when the targets are a plain service itself: its paths come
	// without the prefix that nodes know services by.
	Bare bool
}

// run sends request i of the schedule to side i modulo the number of sides.
func run(ctx context.Context, p *Plan, sides []Side) ([]*Report, error) {
	if problems := p.Check(nil, nil); problems != nil {
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
	shots := schedule(p)
	tallies := make([]*tally, len(sides))
	for i := range tallies {
		tallies[i] = newTally(p)
	}
	err := fire(ctx, p, shots, clients, tallies)
	reports := make([]*Report, len(sides))
	for i, t := range tallies {
		reports[i] = t.report(p, &sides[i])
	}
	return reports, err
}

// resultsSize is how many results may wait for the tally. A request that ends
// while it is full waits, after its latency was taken.
const resultsSize = 1024

type sideResult struct {
	side   int
	result result
}

// fire sends the shots at their times. At most InFlight requests are in
// progress; what comes due beyond that is counted as not sent.
func fire(ctx context.Context, p *Plan, shots []shot, clients []*client, tallies []*tally) error {
	results := make(chan sideResult, resultsSize)
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for r := range results {
			tallies[r.side].add(&r.result)
		}
	}()
	slots := make(chan struct{}, p.InFlight)
	var wg sync.WaitGroup
	began := time.Now()
	for i := range shots {
		s := &shots[i]
		if !sleepUntil(ctx, began.Add(s.at)) {
			break
		}
		side := i % len(clients)
		select {
		case slots <- struct{}{}:
		default:
			results <- sideResult{side, result{request: s.request, at: s.at, outcome: outcomeNotSent}}
			continue
		}
		late := time.Since(began) - s.at
		wg.Go(func() {
			r := clients[side].send(ctx, s, began.Add(s.at))
			<-slots
			r.late = late
			results <- sideResult{side, r}
		})
	}
	wg.Wait()
	close(results)
	<-counted
	return ctx.Err()
}

// fineSleep is the last part of a sleep, which the kernel is asked for. Timers
// of the Go runtime are up to a millisecond late when the process is idle,
// because it then waits in epoll, which counts in milliseconds; that is many
// times what a node adds to a lookup.
const fineSleep = 2 * time.Millisecond

// pause sleeps for d and reports false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
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

// sleepUntil reports false when ctx ends first. One goroutine uses it: the last
// part of the sleep holds a thread.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if !pause(ctx, time.Until(at)-fineSleep) {
		return false
	}
	for d := time.Until(at); d > 0 && ctx.Err() == nil; d = time.Until(at) {
		ts := unix.NsecToTimespec(int64(d))
		_ = unix.ClockNanosleep(unix.CLOCK_MONOTONIC, 0, &ts, nil) // cut short by a signal: goes on
	}
	return ctx.Err() == nil
}

// checkTargets refuses what is not a loopback address: a load that goes out by
// mistake is an attack on whoever gets it.
func checkTargets(targets []string) error {
	if len(targets) == 0 {
		return fmt.Errorf("load: no target; give the ip:port of at least one entry node")
	}
	for _, t := range targets {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return fmt.Errorf("load: target %q is not an IP number and port; write it like 127.0.0.1:8080: %w", t, err)
		}
		if !a.Addr().Unmap().IsLoopback() {
			return fmt.Errorf("load: target %s is not a loopback address; run the load tool on the machine of the node", t)
		}
	}
	return nil
}
