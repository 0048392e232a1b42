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

// BenchmarkListBytes gives the size of what the platform returns for one row of
// each list that nodes read.
func BenchmarkListBytes(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, shape{nodes: 6, zones: 2, engines: 32})
		lists := map[string]string{
			"vm-of-list": "/v1/vms", "node-row": "/v1/table/" + platform.TableNodes,
			"claim-row": "/v1/table/" + platform.TableVMs, "group-row": "/v1/table/" + platform.TableGroups,
		}
		for name, path := range lists {
			size, rows := f.listed(path)
			b.ReportMetric(float64(size)/float64(max(rows, 1)), name+"-B")
		}
	}
	b.ReportMetric(0, "ns/op")
}

func (f *testFleet) listed(path string) (size, rows int) {
	f.b.Helper()
	res, err := http.Get("http://" + f.store + path)
	must(f.b, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	must(f.b, err)
	var list []json.RawMessage
	must(f.b, json.Unmarshal(data, &list))
	return len(data), len(list)
}

// BenchmarkLinkBytes gives what one node and its peers exchange over QUIC, with
// the headers of QUIC but not those of UDP and IP. A link counts its bytes when
// it closes, so nodes are stopped at two times: the second has sent more than
// the first for as long as it lived longer.
func BenchmarkLinkBytes(b *testing.B) {
	for _, n := range []int{6, 12, 24} {
		b.Run(fmt.Sprintf("nodes=%d,engines=48,zones=1", n), func(b *testing.B) {
			for b.Loop() {
				linkBytes(b, n)
			}
		})
	}
}

func linkBytes(b *testing.B, nodes int) {
	b.Helper()
	f := startFleet(b, shape{nodes: nodes, zones: 1, engines: 48})
	time.Sleep(settle)
	first, lived := f.stopLast()
	time.Sleep(measured)
	second, longer := f.stopLast()
	seconds := (longer - lived).Seconds()
	b.ReportMetric((second.in-first.in)/seconds/1e3, "sent-KB/s")
	b.ReportMetric((second.out-first.out)/seconds/1e3, "received-KB/s")
	b.ReportMetric(first.in/1e3, "first-sent-KB")
	b.ReportMetric(lived.Seconds(), "first-lived-s")
	b.ReportMetric(loadAverage(b), "machine-load")
	b.ReportMetric(0, "ns/op")
}

// traffic is what the other nodes counted on links to one node.
type traffic struct{ out, in float64 }

// stopLast stops the last node and returns what the others had exchanged with it.
func (f *testFleet) stopLast() (traffic, time.Duration) {
	f.b.Helper()
	last := f.nodes[len(f.nodes)-1]
	f.nodes = f.nodes[:len(f.nodes)-1]
	before := f.linkTraffic()
	lived := last.stop(f.b)
	time.Sleep(time.Second) // the others notice the closed links
	after := f.linkTraffic()
	return traffic{after.out - before.out, after.in - before.in}, lived
}

func (f *testFleet) linkTraffic() traffic {
	f.b.Helper()
	var t traffic
	for _, n := range f.nodes {
		s := n.take(f.b)
		t.out += s.sum("chervilloom_peer_link_bytes_total", "direction=out")
		t.in += s.sum("chervilloom_peer_link_bytes_total", "direction=in")
	}
	return t
}
