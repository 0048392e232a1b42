package test

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilloom/internal/testkit"
	"chervilloom/platform/platformtest"
)

// Guards against repeats beyond the platform's limit by nodes that are killed in series while plain
// endpoints refuse most requests: each process must not use the slack of the limit anew.
func TestEntryKilledInSeriesKeepsRetryLimit(t *testing.T) {
	const (
		clients  = 4
		interval = 100 * time.Millisecond // between two requests of a client
		rounds   = 12
		lifetime = 500 * time.Millisecond // of the processes once they are ready
	)
	s := &soak{entryFleet: startEntryFleetWithin(t, tightRetryLimit, "", func(*platformtest.Store) {}, "a", "a", "b")}
	for _, id := range []string{"i-p0", "i-p1"} {
		s.fleet.Get(id).SetHandler(refuseMost)
	}
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for c := range clients {
		sending.Go(func() { s.lookUp(fmt.Sprintf("l%d", c), interval, stop) })
	}
	for range rounds {
		for _, n := range slices.Clone(s.nodes) {
			s.restart(n, syscall.SIGKILL)
		}
		for _, n := range s.nodes {
			testkit.Eventually(t, "a node is ready", func() bool { return s.isReady(n) })
		}
		time.Sleep(lifetime)
	}
	close(stop)
	sending.Wait()
	text, exceeded := s.fleet.MostRepeats("plain", tightRetryLimit)
	t.Log(text)
	if exceeded {
		t.Error(text)
	}
	for _, v := range s.violations {
		t.Error(v)
	}
}
