package scale

import (
	"fmt"
	"testing"
	"time"
)

const (
	settleTime  = 4 * time.Second
	measureTime = 12 * time.Second
)

// BenchmarkIdle measures the resources that a node uses without requests, by
// the number of nodes and of endpoints.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 6, 12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d,engines=48,zones=1", n), func(b *testing.B) {
			measureIdle(b, fleetSpec{nodes: n, zones: 1, engines: 48})
		})
	}
	for _, n := range []int{12, 24, 48} {
		b.Run(fmt.Sprintf("nodes=%d,engines=64,zones=4", n), func(b *testing.B) {
			measureIdle(b, fleetSpec{nodes: n, zones: 4, engines: 64})
		})
	}
	for _, e := range []int{24, 96, 192} {
		b.Run(fmt.Sprintf("nodes=6,engines=%d,zones=1", e), func(b *testing.B) {
			measureIdle(b, fleetSpec{nodes: 6, zones: 1, engines: e})
		})
	}
}

// measureIdle measures an idle fleet for measureTime.
func measureIdle(b *testing.B, s fleetSpec) {
	for b.Loop() {
		f := startFleet(b, s)
		time.Sleep(settleTime)
		before := f.platform.Stats()
		spans := f.sampleDuring(func() { time.Sleep(measureTime) })
		after := f.platform.Stats()
		reportIdle(b, spans)
		elapsedSeconds := spans[0].seconds()
		b.ReportMetric(float64(after.Reads-before.Reads)/elapsedSeconds, "platform-reads/s")
		b.ReportMetric(float64(after.Writes-before.Writes)/elapsedSeconds, "platform-writes/s")
	}
	b.ReportMetric(0, "ns/op")
}

// reportIdle reports the mean and maximum usage of the nodes.
func reportIdle(b *testing.B, spans []span) {
	b.Helper()
	b.ReportMetric(mean(spans, span.corePercent), "core%")
	b.ReportMetric(maximum(spans, span.corePercent), "core%-most")
	memory := func(s span) float64 { return s.to.memoryBytes / 1e6 }
	b.ReportMetric(mean(spans, memory), "MB")
	b.ReportMetric(maximum(spans, memory), "MB-most")
	rate := func(unit string, scale float64, prefix string, parts ...string) {
		b.ReportMetric(mean(spans, func(s span) float64 { return s.rate(prefix, parts...) / scale }), unit)
	}
	rate("gossip-sent-KB/s", 1e3, "chervilloom_view_gossip_bytes_total", "direction=sent")
	rate("members-sent-KB/s", 1e3, "chervilloom_membership_sent_bytes_total")
	rate("messages-sent/s", 1, "chervilloom_peer_messages_total", "result=sent")
	rate("probes/s", 1, "chervilloom_probe_probes_total")
	b.ReportMetric(loadAverage(b), "machine-load")
}
