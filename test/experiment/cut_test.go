package experiment

import (
	"testing"
	"time"

	"chervilloom/internal/load"
)

const (
	cutAt   = 2 * time.Second
	cutFor  = 6 * time.Second
	cutRate = 60 // requests a second, two of three are lookups
	cutTime = 12 * time.Second
)

var cutShape = shape{nodes: 6, zones: 3, domains: 3, services: 3, slots: 32, tokens: 100}

// The nodes of two availability zones are paused, which their neighbours in the
// third cannot tell from a cut between the zones; in the second case so is the
// platform. The callers of the third zone notice nothing: its own nodes,
// services and group are all that their requests need.
func TestZoneGoesOnWhenCutOff(t *testing.T) {
	for name, platform := range map[string]bool{"from the other zones": false, "from the platform too": true} {
		t.Run(name, func(t *testing.T) {
			r := startFleet(t, cutShape).cutOff(platform)
			if n := notWhole(t, "cut off", r); n > 0 {
				t.Errorf("%d of %d requests got no whole answer", n, r.Sent)
			}
		})
	}
}

// cutOff loads the nodes of the first zone while all others are paused for a
// while.
func (f *testFleet) cutOff(platform bool) *load.Report {
	f.tb.Helper()
	var here []*node
	var away []*process
	for _, n := range f.nodes {
		if n.zone == zones[0] {
			here = append(here, n)
		} else {
			away = append(away, n.process)
		}
	}
	if platform {
		away = append(away, f.platform.process)
	}
	wait := begin(f.tb, planOf(keyA, cutRate, cutTime, lookup(2), chat(1, 16, 0)), here)
	time.Sleep(cutAt)
	for _, p := range away {
		p.pause(f.tb)
	}
	time.Sleep(cutFor)
	for _, p := range away {
		p.resume(f.tb)
	}
	return wait()
}

// BenchmarkZoneCutOff gives what callers of the zone see of the cut.
func BenchmarkZoneCutOff(b *testing.B) {
	for name, platform := range map[string]bool{"from=zones": false, "from=zones-and-platform": true} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				r := startFleet(b, cutShape).cutOff(platform)
				b.ReportMetric(float64(notWhole(b, "cut off", r)), "not-whole")
				b.ReportMetric(float64(r.Sent), "requests")
				b.ReportMetric(float64(r.Kinds[0].Total.P99), "lookup-p99-us")
				b.ReportMetric(float64(r.Kinds[1].FirstToken.P99), "first-token-p99-us")
				b.ReportMetric(loadAverage(b), "machine-load")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
