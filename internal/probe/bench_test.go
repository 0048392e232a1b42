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

// BenchmarkDomainOutage reports the longest interval between two probes of a live
// endpoint while most of 200 watched endpoints do not respond and each of their probes
// takes the full timeout.
func BenchmarkDomainOutage(b *testing.B) {
	for _, down := range []int{0, 100, 180} {
		b.Run(fmt.Sprintf("%d-of-200-down", down), func(b *testing.B) {
			worst := time.Duration(0)
			for range b.N {
				worst = max(worst, probeGapDuringOutage(down))
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-gap-ms")
		})
	}
}

func probeGapDuringOutage(down int) time.Duration {
	w, e := newFleet(200)
	p := New(Settings{}, e, w, w, clock.Boot{}, 1, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- p.Run(ctx) }()
	time.Sleep(time.Second)
	e.mu.Lock()
	for i := range down {
		e.hang[fmt.Sprintf("vm%03d:1", i)] = true
	}
	e.mu.Unlock()
	time.Sleep(3 * time.Second)
	cancel()
	<-done
	worst := time.Duration(0)
	for i := down; i < 200; i++ {
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

// BenchmarkWatched measures the selection of a node's endpoints, with 200 endpoints and
// 123 nodes in the zone.
func BenchmarkWatched(b *testing.B) {
	w, _ := newFleet(200)
	for i := 1; i < 123; i++ {
		vm := fleet.VM(fmt.Sprintf("n%d", i))
		w.snap.Nodes = append(w.snap.Nodes, view.Node{Node: fleet.Node{VM: vm}, Zone: "z", State: view.NodeAlive})
	}
	share := twoWatchers()
	b.ReportAllocs()
	for b.Loop() {
		WatchedEndpoints(w.snap, share)
	}
}
