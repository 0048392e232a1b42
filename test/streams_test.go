package test

import (
	"context"
	"testing"
	"time"

	"chervilloom/internal/outcome"
)

// Hundreds of callers stream at once through three nodes while engines
// interrupt streams, with and without a clean EOF, and some engines are slow.
// Each caller must get exactly the tokens of its own request or an error that
// the stream is truncated. A stream that ends cleanly without its end marker must
// never be reported as complete.
func TestConcurrentStreamsAreCompleteAndNotMixed(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, engines: 8, replicas: 2, slots: 256})
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()

	faultsStopped := make(chan struct{})
	go func() {
		defer close(faultsStopped)
		for i := 0; ctx.Err() == nil; i++ {
			e := f.engines[i%len(f.engines)]
			setFaults(t, e.addr, map[string]any{
				"cut_streams": 3, "cut_after": i % 17, "clean_eof": i%2 == 0, "straggle": 1 + i%3,
			})
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond): // interval between faults; no check depends on it
			}
		}
	}()
	var c resultCounts
	c.runCallers(ctx, f.nodes, 100, 4, 24)
	cancel()
	<-faultsStopped

	for _, err := range c.failures {
		t.Error(err)
	}
	t.Logf("results: %v", c.counts)
	if got := c.completed.Load(); got < 600 {
		t.Errorf("only %d of 1200 streams were complete: %v", got, c.counts)
	}
}

// Engines end every stream before its first token, with a clean EOF. The node
// resumes the stream as often as it may; because every continuation is
// truncated as well, the caller must get an error in the end and never the end
// marker.
func TestStreamWithoutEndMarkerReportedAsTruncated(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB}, engines: 4})
	for _, e := range f.engines {
		setFaults(t, e.addr, map[string]any{"cut_streams": -1, "cut_after": 0, "clean_eof": true})
	}
	for i, n := range f.nodes {
		body := chatBody("never whole "+n.vm, 8, true)
		a := n.chat(t.Context(), body, nil)
		if err := checkChat(body, a); err != nil {
			t.Error(i, err)
		}
		if a.done || a.outcome == outcome.NotRun {
			t.Errorf("a stream without its end marker was reported as %v", a)
		}
	}
}
