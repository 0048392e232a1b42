package scale

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	changes   = 8
	inForceIn = 20 * time.Millisecond // between two looks at one node
)

// BenchmarkConfiguration gives the time from the order until it is accepted,
// and from then until it is in force at every node.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{6, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			for b.Loop() {
				configure(b, n)
			}
		})
	}
}

func configure(b *testing.B, nodes int) {
	b.Helper()
	f := startFleet(b, shape{nodes: nodes, zones: 4, engines: 32})
	time.Sleep(settle)
	var accepted, spread []time.Duration
	spans := f.watch(func() {
		for i := range changes {
			began := time.Now()
			revision := f.apply(i + 1)
			accepted = append(accepted, time.Since(began))
			began = time.Now()
			f.awaitRevision(revision)
			spread = append(spread, time.Since(began))
		}
	})
	for name, times := range map[string][]time.Duration{"accept": accepted, "in-force": spread} {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Milliseconds()), name+"-ms-median")
		b.ReportMetric(float64(times[len(times)-1].Milliseconds()), name+"-ms-most")
	}
	sent := func(s span) float64 {
		return s.rate("chervilloom_peer_messages_total", "topic=revision.announce", "result=sent") * s.seconds() / changes
	}
	b.ReportMetric(mean(spans, sent), "messages/change/node")
	b.ReportMetric(loadAverage(b), "machine-load")
	b.ReportMetric(0, "ns/op")
}

// awaitRevision returns when every node has the revision, or a later one, in
// force.
func (f *testFleet) awaitRevision(revision uint64) {
	f.b.Helper()
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			c := n.client()
			for began := time.Now(); time.Since(began) < patience; time.Sleep(inForceIn) {
				if v, err := c.Config(f.b.Context()); err == nil && v.Revision >= revision {
					return
				}
			}
			f.b.Errorf("%s never had revision %d in force", n.vm, revision)
		})
	}
	wg.Wait()
}
