package scale

import (
	"fmt"
	"testing"
	"time"
)

const (
	settle   = 4 * time.Second
	measured = 12 * time.Second
)

// BenchmarkIdle gives what control costs a node when no caller asks for
// anything: by nodes, and by endpoints.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d,engines=48,zones=1", n), func(b *testing.B) {
			idle(b, shape{nodes: n, zones: 1, engines: 48})
		})
	}
	for _, n := range []int{12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d,engines=64,zones=4", n), func(b *testing.B) {
			idle(b, shape{nodes: n, zones: 4, engines: 64})
		})
	}
	for _, e := range []int{24, 96, 192} {
		b.Run(fmt.Sprintf("nodes=6,engines=%d,zones=1", e), func(b *testing.B) {
			idle(b, shape{nodes: 6, zones: 1, engines: e})
		})
	}
}

func idle(b *testing.B, s shape) {
	for b.Loop() {
		f := startFleet(b, s)
		time.Sleep(settle)
		before := f.platform.Stats()
		spans := f.watch(func() { time.Sleep(measured) })
		after := f.platform.Stats()
		reportIdle(b, spans)
		took := spans[0].seconds()
		b.ReportMetric(float64(after.Reads-before.Reads)/took, "platform-reads/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/took, "platform-writes/s")
	}
	b.ReportMetric(0, "ns/op")
}

func reportIdle(b *testing.B, spans []span) {
	b.Helper()
	b.ReportMetric(mean(spans, span.core), "core%")
	b.ReportMetric(most(spans, span.core), "core%-most")
	memory := func(s span) float64 { return s.to.memory / 1e6 }
	b.ReportMetric(mean(spans, memory), "MB")
	b.ReportMetric(most(spans, memory), "MB-most")
	rate := func(unit string, scale float64, prefix string, parts ...string) {
		b.ReportMetric(mean(spans, func(s span) float64 { return s.rate(prefix, parts...) / scale }), unit)
	}
	rate("gossip-sent-KB/s", 1e3, "chervilloom_view_gossip_bytes_total", "direction=sent")
	rate("members-sent-KB/s", 1e3, "chervilloom_membership_sent_bytes_total")
	rate("messages-sent/s", 1, "chervilloom_peer_messages_total", "result=sent")
	rate("probes/s", 1, "chervilloom_probe_probes_total")
	b.ReportMetric(loadAverage(b), "machine-load")
}
