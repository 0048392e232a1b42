package experiment

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	streams      = 30
	streamTokens = 150
	streamSpeed  = 50 // tokens a second
	beforeTheCut = 20 // tokens that each caller has when the cut comes
	engineCutAt  = 40 // tokens after which an engine cuts
)

// threeNodes are in one availability zone; sixNodes are two in each of three.
var (
	threeNodes = shape{nodes: 3, zones: 1, domains: 3, slots: 64, tokens: streamSpeed}
	sixNodes   = shape{nodes: 6, zones: 3, domains: 3, slots: 64, tokens: streamSpeed}
	aloneNodes = shape{nodes: 3, zones: 3, domains: 3, slots: 64, tokens: streamSpeed}
)

// Callers read long streams through three nodes; one node is killed in the
// middle. Its callers see their connections break, and ask another node for the
// rest with the id of their last event. The engine has kept the stream, so each
// gets every token once and in order.
func TestStreamsOutliveTheirNode(t *testing.T) {
	for name, s := range map[string]shape{"three nodes": threeNodes, "six nodes": sixNodes} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, s)
			all := f.killUnderStreams()
			checkWhole(t, all)
			if cut := cutOnly(all); len(cut) < streams/s.nodes {
				t.Errorf("%d streams were cut, want the %d of the killed node", len(cut), streams/s.nodes)
			}
		})
	}
}

// An engine cuts the connections of streams to their node. The node asks the
// engine for the rest, and the callers see nothing but a pause.
func TestNodeResumesCutStreams(t *testing.T) {
	for name, clean := range map[string]bool{"broken connection": false, "clean end": true} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, sixNodes)
			all := f.cutUnderStreams(clean)
			checkWhole(t, all)
			if cut := cutOnly(all); len(cut) > 0 {
				t.Errorf("%d callers saw a cut: %v", len(cut), cut[0])
			}
			if n := f.counter("chervilloom_dispatch_resumes_total"); n < streams {
				t.Errorf("nodes resumed %v times, want one for each of %d streams", n, streams)
			}
		})
	}
}

func checkWhole(t *testing.T, all []*reading) {
	t.Helper()
	for i, s := range all {
		if !s.whole() {
			t.Errorf("stream %d: %v", i, s)
		}
	}
}

// killUnderStreams kills the first node once every caller has some tokens.
func (f *testFleet) killUnderStreams() []*reading {
	return f.readStreams(func() { f.nodes[0].kill() })
}

func (f *testFleet) cutUnderStreams(clean bool) []*reading {
	for _, e := range f.engines {
		e.setFaults(f.tb, map[string]any{"cut_streams": streams, "cut_after": engineCutAt, "clean_eof": clean})
	}
	return f.readStreams(func() {})
}

// readStreams has the callers read, and calls midway when all have begun.
func (f *testFleet) readStreams(midway func()) []*reading {
	f.tb.Helper()
	all := make([]*reading, streams)
	var begun, ended sync.WaitGroup
	begun.Add(streams)
	for i := range all {
		ended.Go(func() {
			n := 0
			once := sync.OnceFunc(begun.Done)
			defer once()
			body := chatBody(fmt.Sprintf("%s stream %d", f.tb.Name(), i), streamTokens)
			all[i] = readStream(f.tb.Context(), callers(f.nodes), i, body, func() {
				if n++; n == beforeTheCut {
					once()
				}
			})
		})
	}
	begun.Wait()
	midway()
	ended.Wait()
	return all
}

func cutOnly(all []*reading) []*reading {
	return slices.DeleteFunc(slices.Clone(all), func(s *reading) bool { return s.cuts == 0 })
}

// BenchmarkStreamsOutliveTheirNode gives the time from the death of a node to
// the next token of its callers, who wait 100 ms before they ask again. A node
// that is alone in its availability zone takes the way to the zone's engines
// with it.
func BenchmarkStreamsOutliveTheirNode(b *testing.B) {
	for name, s := range map[string]shape{"nodes=3,zones=1": threeNodes, "nodes=6,zones=3": sixNodes, "nodes=3,zones=3": aloneNodes} {
		b.Run(name, func(b *testing.B) { outlive(b, s) })
	}
}

func outlive(b *testing.B, s shape) {
	for b.Loop() {
		f := startFleet(b, s)
		all := f.killUnderStreams()
		cut := cutOnly(all)
		reportStreams(b, all)
		b.ReportMetric(100*share(cut), "cut-whole-%")
		b.ReportMetric(float64(len(cut)), "cut")
		var gaps []time.Duration
		for _, s := range cut {
			gaps = append(gaps, s.gaps...)
		}
		b.ReportMetric(quantile(gaps, 0.5), "gap-p50-ms")
		b.ReportMetric(quantile(gaps, 1), "gap-most-ms")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkNodeResumesCutStreams gives the longest pauses between two tokens
// BenchmarkNodeResumesCutStreams gives the streams that nodes resume by
// themselves, the longest pause between two tokens, and the cuts that callers
// see all the same.
func BenchmarkNodeResumesCutStreams(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, sixNodes)
		all := f.cutUnderStreams(false)
		reportStreams(b, all)
		b.ReportMetric(f.counter("chervilloom_dispatch_resumes_total"), "resumes")
		b.ReportMetric(float64(len(cutOnly(all))), "cut")
		var pauses []time.Duration
		for _, s := range all {
			pauses = append(pauses, s.pause)
		}
		b.ReportMetric(quantile(pauses, 0.5), "pause-p50-ms")
		b.ReportMetric(quantile(pauses, 1), "pause-most-ms")
	}
	b.ReportMetric(0, "ns/op")
}

func reportStreams(b *testing.B, all []*reading) {
	b.Helper()
	for i, s := range all {
		if !s.whole() {
			b.Logf("stream %d: %v", i, s)
		}
	}
	b.ReportMetric(100*share(all), "whole-%")
	b.ReportMetric(loadAverage(b), "machine-load")
}

// share is the part of the streams that ended whole.
func share(all []*reading) float64 {
	n := 0
	for _, s := range all {
		if s.whole() {
			n++
		}
	}
	return float64(n) / float64(max(len(all), 1))
}

// quantile returns it in milliseconds; 0 when there are no times.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	i := int(q * float64(len(times)-1))
	return float64(times[i].Microseconds()) / 1e3
}
