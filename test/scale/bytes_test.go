package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"chervilloom/internal/platform"
)

// BenchmarkListBytes measures the bytes per row of each list that nodes read
// from the platform.
func BenchmarkListBytes(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, fleetSpec{nodes: 6, zones: 2, engines: 32})
		lists := map[string]string{
			"vm-of-list": "/v1/vms", "node-row": "/v1/table/" + platform.TableNodes,
			"claim-row": "/v1/table/" + platform.TableVMs, "group-row": "/v1/table/" + platform.TableGroups,
		}
		for name, path := range lists {
			size, rows := f.listSize(path)
			b.ReportMetric(float64(size)/float64(max(rows, 1)), name+"-B")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// listSize reads a list and returns its size in bytes and its number of rows.
func (f *testFleet) listSize(path string) (size, rows int) {
	f.b.Helper()
	res, err := http.Get("http://" + f.platformAddr + path)
	must(f.b, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	must(f.b, err)
	var list []json.RawMessage
	must(f.b, json.Unmarshal(data, &list))
	return len(data), len(list)
}

// BenchmarkLinkBytes measures the bytes per second that one node and its peers
// exchange over QUIC, including QUIC headers but not those of UDP and IP. A
// link counts its bytes when it closes, so two nodes are stopped at different
// times and the difference is divided by the difference of their lifetimes.
func BenchmarkLinkBytes(b *testing.B) {
	for _, n := range []int{6, 12, 24} {
		b.Run(fmt.Sprintf("nodes=%d,engines=48,zones=1", n), func(b *testing.B) {
			for b.Loop() {
				measureLinkBytes(b, n)
			}
		})
	}
}

// measureLinkBytes measures the link traffic of one node in a fleet of that
// many nodes.
func measureLinkBytes(b *testing.B, nodes int) {
	b.Helper()
	f := startFleet(b, fleetSpec{nodes: nodes, zones: 1, engines: 48})
	time.Sleep(settleTime)
	first, firstLifetime := f.stopLastNode()
	time.Sleep(measureTime)
	second, secondLifetime := f.stopLastNode()
	seconds := (secondLifetime - firstLifetime).Seconds()
	b.ReportMetric((second.in-first.in)/seconds/1e3, "sent-KB/s")
	b.ReportMetric((second.out-first.out)/seconds/1e3, "received-KB/s")
	b.ReportMetric(first.in/1e3, "first-sent-KB")
	b.ReportMetric(firstLifetime.Seconds(), "first-lived-s")
	b.ReportMetric(loadAverage(b), "machine-load")
	b.ReportMetric(0, "ns/op")
}

// linkTraffic is the bytes that the other nodes counted on their links to one
// node.
type linkTraffic struct{ out, in float64 }

// stopLastNode stops the last node and returns the traffic that the others
// counted on the links to it, and its lifetime.
func (f *testFleet) stopLastNode() (linkTraffic, time.Duration) {
	f.b.Helper()
	last := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	before := f.totalLinkTraffic()
	lifetime := last.stop(f.b)
	time.Sleep(time.Second) // until the others detect the closed links
	after := f.totalLinkTraffic()
	return linkTraffic{after.out - before.out, after.in - before.in}, lifetime
}

// totalLinkTraffic returns the sum of the bytes on closed links over all nodes.
func (f *testFleet) totalLinkTraffic() linkTraffic {
	f.b.Helper()
	var t linkTraffic
	for _, n := range f.nodes {
		s := n.takeSample(f.b)
		t.out += s.sum("chervilloom_peer_link_bytes_total", "direction=out")
		t.in += s.sum("chervilloom_peer_link_bytes_total", "direction=in")
	}
	return t
}
