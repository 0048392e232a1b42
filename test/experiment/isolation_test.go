package experiment

import (
	"testing"
	"time"

	"chervilloom/internal/load"
)

const (
	isolationStart    = 2 * time.Second
	isolationTime     = 6 * time.Second
	isolationRate     = 60 // requests per second, two of three are lookups
	isolationLoadTime = 12 * time.Second
)

var isolationSpec = fleetSpec{nodes: 6, zones: 3, domains: 3, services: 3, slots: 32, tokens: 100}

// The nodes of two availability zones are paused, which the third zone can't
// distinguish from a network partition between the zones; in the second case
// the platform is paused as well. Callers of the third zone must get complete
// responses to all requests, because its own nodes, services and group suffice.
func TestIsolatedZoneServesRequests(t *testing.T) {
	for name, platform := range map[string]bool{"from the other zones": false, "from the platform too": true} {
		t.Run(name, func(t *testing.T) {
			r := startFleet(t, isolationSpec).isolateFirstZone(platform)
			if n := countIncomplete(t, "isolated zone", r); n > 0 {
				t.Errorf("%d of %d requests got no complete response", n, r.Sent)
			}
		})
	}
}

// isolateFirstZone sends load to the nodes of the first zone while all other
// nodes, and the platform if requested, are paused for isolationTime.
func (f *testFleet) isolateFirstZone(platform bool) *load.Report {
	f.tb.Helper()
	var zoneNodes []*node
	var paused []*process
	for _, n := range f.nodes {
		if n.zone == zones[0] {
			zoneNodes = append(zoneNodes, n)
		} else {
			paused = append(paused, n.process)
		}
	}
	if platform {
		paused = append(paused, f.platform.process)
	}
	wait := startLoad(f.tb, newLoadPlan(keyA, isolationRate, isolationLoadTime, lookup(2), chat(1, 16, 0)), zoneNodes)
	time.Sleep(isolationStart)
	for _, p := range paused {
		p.pause(f.tb)
	}
	time.Sleep(isolationTime)
	for _, p := range paused {
		p.resume(f.tb)
	}
	return wait()
}

// BenchmarkZoneCutOff measures the failures and latencies of callers in an
// isolated zone.
func BenchmarkZoneCutOff(b *testing.B) {
	for name, platform := range map[string]bool{"from=zones": false, "from=zones-and-platform": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := startFleet(b, isolationSpec).isolateFirstZone(platform)
				b.ReportMetric(float64(countIncomplete(b, "isolated zone", r)), "not-whole")
				b.ReportMetric(float64(r.Sent), "requests")
				b.ReportMetric(float64(r.Kinds[0].Total.P99), "lookup-p99-us")
				b.ReportMetric(float64(r.Kinds[1].FirstToken.P99), "first-token-p99-us")
				b.ReportMetric(loadAverage(b), "machine-load")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
