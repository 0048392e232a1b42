package experiment

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	streamCount         = 30
	streamTokens        = 150
	streamTokenRate     = 50 // tokens per second
	tokensBeforeFailure = 20 // tokens that each caller has before the failure
	engineCutAfter      = 40 // tokens after which an engine closes the connection
)

// Fleets with all three nodes in one availability zone, with two nodes in each
// of three zones, and with one node in each of three zones.
var (
	oneZoneSpec        = fleetSpec{nodes: 3, zones: 1, domains: 3, slots: 64, tokens: streamTokenRate}
	threeZoneSpec      = fleetSpec{nodes: 6, zones: 3, domains: 3, slots: 64, tokens: streamTokenRate}
	oneNodePerZoneSpec = fleetSpec{nodes: 3, zones: 3, domains: 3, slots: 64, tokens: streamTokenRate}
)

// Callers read long streams through several nodes, one of which is killed. Its
// callers' connections break, and they request the rest from another node with
// the id of their last event. Because the engine has kept the stream, each
// caller must get every token once and in order.
func TestStreamsResumeAfterNodeFailure(t *testing.T) {
	for name, s := range map[string]fleetSpec{"three nodes": oneZoneSpec, "six nodes": threeZoneSpec} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, s)
			all := f.killNodeDuringStreams()
			checkComplete(t, all)
			if interrupted := interruptedStreams(all); len(interrupted) < streamCount/s.nodes {
				t.Errorf("%d streams were interrupted, want at least the %d of the killed node", len(interrupted), streamCount/s.nodes)
			}
		})
	}
}

// An engine closes the connections of streams to their node. The node must
// request the rest from the engine, and callers must see no interruption, only
// a pause.
func TestNodeResumesInterruptedStreams(t *testing.T) {
	for name, clean := range map[string]bool{"broken connection": false, "clean end": true} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, threeZoneSpec)
			all := f.interruptStreams(clean)
			checkComplete(t, all)
			if interrupted := interruptedStreams(all); len(interrupted) > 0 {
				t.Errorf("%d callers saw an interruption: %v", len(interrupted), interrupted[0])
			}
			if n := f.sumCounters("chervilloom_dispatch_resumes_total"); n < streamCount {
				t.Errorf("nodes resumed %v times, want at least once for each of %d streams", n, streamCount)
			}
		})
	}
}

// checkComplete requires that all streams are complete.
func checkComplete(t *testing.T, all []*streamReader) {
	t.Helper()
	for i, s := range all {
		if !s.isComplete() {
			t.Errorf("stream %d: %v", i, s)
		}
	}
}

// killNodeDuringStreams kills the first node once every caller has received
// some tokens.
func (f *testFleet) killNodeDuringStreams() []*streamReader {
	return f.readStreams(func() { f.nodes[0].kill() })
}

// interruptStreams reads streams while the engines close the connections, with
// or without a clean EOF.
func (f *testFleet) interruptStreams(clean bool) []*streamReader {
	for _, e := range f.engines {
		e.setFaults(f.tb, map[string]any{"cut_streams": streamCount, "cut_after": engineCutAfter, "clean_eof": clean})
	}
	return f.readStreams(func() {})
}

// readStreams has callers read streams, and calls afterStart once all have
// received some tokens.
func (f *testFleet) readStreams(afterStart func()) []*streamReader {
	f.tb.Helper()
	all := make([]*streamReader, streamCount)
	var begun, ended sync.WaitGroup
	begun.Add(streamCount)
	for i := range all {
		ended.Go(func() {
			n := 0
			once := sync.OnceFunc(begun.Done)
			defer once()
			body := chatBody(fmt.Sprintf("%s stream %d", f.tb.Name(), i), streamTokens)
			all[i] = readStream(f.tb.Context(), callerAddrs(f.nodes), i, body, func() {
				if n++; n == tokensBeforeFailure {
					once()
				}
			})
		})
	}
	begun.Wait()
	afterStart()
	ended.Wait()
	return all
}

// interruptedStreams returns the streams whose callers saw an interruption.
func interruptedStreams(all []*streamReader) []*streamReader {
	return slices.DeleteFunc(slices.Clone(all), func(s *streamReader) bool { return s.interruptions == 0 })
}

// BenchmarkStreamsOutliveTheirNode measures the time from a node failure to the
// next token of its callers, who wait 100 ms before each retry. If the node is
// the only one in its availability zone, the failure also makes the zone's
// engines unreachable.
func BenchmarkStreamsOutliveTheirNode(b *testing.B) {
	for name, s := range map[string]fleetSpec{"nodes=3,zones=1": oneZoneSpec, "nodes=6,zones=3": threeZoneSpec, "nodes=3,zones=3": oneNodePerZoneSpec} {
		b.Run(name, func(b *testing.B) { measureNodeFailure(b, s) })
	}
}

// measureNodeFailure kills a node during streams and reports the results.
func measureNodeFailure(b *testing.B, s fleetSpec) {
	for b.Loop() {
		f := startFleet(b, s)
		all := f.killNodeDuringStreams()
		interrupted := interruptedStreams(all)
		reportStreams(b, all)
		b.ReportMetric(100*completeShare(interrupted), "cut-whole-%")
		b.ReportMetric(float64(len(interrupted)), "cut")
		var gaps []time.Duration
		for _, s := range interrupted {
			gaps = append(gaps, s.gaps...)
		}
		b.ReportMetric(quantile(gaps, 0.5), "gap-p50-ms")
		b.ReportMetric(quantile(gaps, 1), "gap-most-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkNodeResumesCutStreams measures the number of streams that nodes
// resume, the longest pause between two tokens, and the interruptions that
// callers still see.
func BenchmarkNodeResumesCutStreams(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, threeZoneSpec)
		all := f.interruptStreams(false)
		reportStreams(b, all)
		b.ReportMetric(f.sumCounters("chervilloom_dispatch_resumes_total"), "resumes")
		b.ReportMetric(float64(len(interruptedStreams(all))), "cut")
		var pauses []time.Duration
		for _, s := range all {
			pauses = append(pauses, s.longestPause)
		}
		b.ReportMetric(quantile(pauses, 0.5), "pause-p50-ms")
		b.ReportMetric(quantile(pauses, 1), "pause-most-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// reportStreams reports the share of complete streams and logs the others.
func reportStreams(b *testing.B, all []*streamReader) {
	b.Helper()
	for i, s := range all {
		if !s.isComplete() {
			b.Logf("stream %d: %v", i, s)
		}
	}
	b.ReportMetric(100*completeShare(all), "whole-%")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// completeShare returns the share of the streams that are complete.
func completeShare(all []*streamReader) float64 {
	n := 0
	for _, s := range all {
		if s.isComplete() {
			n++
		}
	}
	return float64(n) / float64(max(len(all), 1))
}

// quantile returns the q-quantile in milliseconds, or 0 if times is empty.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	i := int(q * float64(len(times)-1))
	return float64(times[i].Microseconds()) / 1e3
}
