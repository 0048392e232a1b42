package test

import (
	"context"
	"testing"
	"time"

	"chervilloom/internal/outcome"
)

// Hundreds of callers stream at once through three nodes while engines cut
// streams, with and without a clean end, and one engine straggles. Each caller
// gets its own answer to the last token or is told that it is cut; a stream
// that ends cleanly without its end marker never passes for whole.
func TestConcurrentStreamsAreOwnAndWhole(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, engines: 8, replicas: 2, slots: 256})
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()

	trouble := make(chan struct{})
	go func() {
		defer close(trouble)
		for i := 0; ctx.Err() == nil; i++ {
			e := f.engines[i%len(f.engines)]
			faults(t, e.addr, map[string]any{
				"cut_streams": 3, "cut_after": i % 17, "clean_eof": i%2 == 0, "straggle": 1 + i%3,
			})
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond): // paces the faults; proves nothing
			}
		}
	}()
	var c tally
	c.ask(ctx, f.nodes, 100, 4, 24)
	cancel()
	<-trouble

	for _, err := range c.wrong {
		t.Error(err)
	}
	t.Logf("told: %v", c.counts)
	if got := c.whole.Load(); got < 600 {
		t.Errorf("only %d of 1200 streams were whole: %v", got, c.counts)
	}
}

// An engine cuts every stream at the same token, ending it like a whole answer.
// The node resumes it where it can; where every resumed part is cut as well the
// caller is told so in the end, and never gets the end marker.
func TestCleanEndWithoutMarkerIsToldAsCut(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB}, engines: 4})
	for _, e := range f.engines {
		faults(t, e.addr, map[string]any{"cut_streams": -1, "cut_after": 0, "clean_eof": true})
	}
	for i, n := range f.nodes {
		body := chatBody("never whole "+n.vm, 8, true)
		a := n.chat(t.Context(), body, nil)
		if err := checkChat(body, a); err != nil {
			t.Error(i, err)
		}
		if a.done || a.outcome == outcome.NotRun {
			t.Errorf("a stream without its end marker was told as %v", a)
		}
	}
}
