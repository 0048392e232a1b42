package scale

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	configChanges        = 8
	revisionPollInterval = 20 * time.Millisecond // for each node
)

// BenchmarkConfiguration measures the time until a configuration change is
// accepted, and from then until all nodes use it.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{6, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureConfiguration(b, n)
			}
		})
	}
}

// measureConfiguration applies configChanges documents in sequence.
func measureConfiguration(b *testing.B, nodes int) {
	b.Helper()
	f := startFleet(b, fleetSpec{nodes: nodes, zones: 4, engines: 32})
	time.Sleep(settleTime)
	var accepted, propagated []time.Duration
	spans := f.sampleDuring(func() {
		for i := range configChanges {
			began := time.Now()
			revision := f.apply(i + 1)
			accepted = append(accepted, time.Since(began))
			began = time.Now()
			f.awaitRevision(revision)
			propagated = append(propagated, time.Since(began))
		}
	})
	for name, times := range map[string][]time.Duration{"accept": accepted, "in-force": propagated} {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Milliseconds()), name+"-ms-median")
		b.ReportMetric(float64(times[len(times)-1].Milliseconds()), name+"-ms-most")
	}
	sent := func(s span) float64 {
		return s.rate("chervilloom_peer_messages_total", "topic=revision.announce", "result=sent") * s.seconds() / configChanges
	}
	b.ReportMetric(mean(spans, sent), "messages/change/node")
	b.ReportMetric(loadAverage(b), "machine-load")
	b.ReportMetric(0, "ns/op")
}

// awaitRevision returns when every node uses the revision or a later one.
func (f *testFleet) awaitRevision(revision uint64) {
	f.b.Helper()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			c := n.client()
			for began := time.Now(); time.Since(began) < waitTimeout; time.Sleep(revisionPollInterval) {
				if v, err := c.Config(f.b.Context()); err == nil && v.Revision >= revision {
					return
				}
			}
			f.b.Errorf("%s did not use revision %d in time", n.vm, revision)
		})
	}
	wg.Wait()
}
