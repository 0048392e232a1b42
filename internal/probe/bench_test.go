package probe

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/view"
)

// BenchmarkDarkDomain reports how long a live endpoint waits between two probes
// while most of 200 watched endpoints go dark, each of whose probes takes the
// whole timeout.
func BenchmarkDarkDomain(b *testing.B) {
	for _, dark := range []int{0, 100, 180} {
		b.Run(fmt.Sprintf("%d-of-200-dark", dark), func(b *testing.B) {
			worst := time.Duration(0)
			for range b.N {
				worst = max(worst, darkDomain(dark))
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-gap-ms")
		})
	}
}

func darkDomain(dark int) time.Duration {
	w, e := fleetOf(200)
	p := New(Settings{}, e, w, w, clock.Boot{}, 1, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	time.Sleep(time.Second)
	e.mu.Lock()
	for i := range dark {
		e.hang[fmt.Sprintf("vm%03d:1", i)] = true
	}
	e.mu.Unlock()
	time.Sleep(3 * time.Second)
	cancel()
	<-done
	worst := time.Duration(0)
	for i := dark; i < 200; i++ {
		r := w.probed(fleet.VM(fmt.Sprintf("vm%03d", i)))
		for k := 1; k < len(r); k++ {
			worst = max(worst, r[k].Sent.Sub(r[k-1].Sent))
		}
	}
	return worst
}

func twoWatchers() *view.Assignment {
	return &view.Assignment{First: membership.TopK, Watchers: 2}
}

// BenchmarkWatched finds a node's endpoints among 200 of its zone with 123 nodes.
func BenchmarkWatched(b *testing.B) {
	w, _ := fleetOf(200)
	for i := 1; i < 123; i++ {
		vm := fleet.VM(fmt.Sprintf("n%d", i))
		w.snap.Nodes = append(w.snap.Nodes, view.Node{Node: fleet.Node{VM: vm}, Zone: "z", State: view.NodeAlive})
	}
	share := twoWatchers()
	b.ReportAllocs()
	for b.Loop() {
		Watched(w.snap, share)
	}
}
