package once

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/request"
	standin "chervilloom/internal/standin/platform"
)

// benchFleet is a fleet of six keepers that share a stand-in platform over HTTP.
type benchFleet struct {
	platform *standin.Platform
	net      *fakeNet
	keepers  []*Keeper
	endpoint *endpoint
}

func startFleet(b *testing.B, limits WriteLimits, slow time.Duration) *benchFleet {
	f := &benchFleet{net: &fakeNet{paths: map[fleet.VM]filter.Handler{}}, endpoint: &endpoint{body: "receipt 1"}}
	f.platform = standin.New(standin.Options{NoLimits: true})
	f.platform.SetFaults(standin.Faults{NoLimits: true, Slow: config.Duration(slow)})
	server := httptest.NewServer(f.platform)
	b.Cleanup(server.Close)
	for i := range 6 {
		vm := fleet.VM(fmt.Sprint("n", i))
		client := platform.NewClient(server.URL)
		b.Cleanup(client.Close)
		k, stop := startKeeper(Options{
			Self: fleet.Node{VM: vm, Incarnation: 1}, Table: client, Peers: f.net, View: testView(), Clock: clock.Boot{}, Write: limits,
		})
		b.Cleanup(stop)
		f.keepers = append(f.keepers, k)
		f.net.paths[vm] = k.Filter()(f.endpoint)
	}
	return f
}

// send sends the i-th call and returns its duration, negated if it was refused.
func (f *benchFleet) send(i int, mechanism string) time.Duration {
	at := f.keepers[i%6]
	req := &request.Request{
		Organisation: "org", Class: request.ClassCall, Method: "POST", Path: "/receipts", Body: []byte("driver 7"),
	}
	switch mechanism {
	case "key":
		req.Key = fmt.Sprint("k", i)
	case "ticket":
		req.Ticket = at.newTicket("org")
	case "ticket elsewhere":
		req.Ticket = f.keepers[(i+1)%6].newTicket("org")
	}
	from := time.Now()
	g := &receivedAnswer{}
	f.net.paths[at.opt.Self.VM].Serve(context.Background(), req, g)
	if !g.end.Complete {
		return -time.Since(from)
	}
	return time.Since(from)
}

// sendOpenLoop sends n calls, numbered from first, in an open loop at the given rate and
// returns the sorted durations.
func (f *benchFleet) sendOpenLoop(first, n int, perSecond float64, mechanism string) []time.Duration {
	took := make([]time.Duration, n)
	var group sync.WaitGroup
	start := time.Now()
	for i := range n {
		time.Sleep(time.Duration(float64(i)/perSecond*float64(time.Second)) - time.Since(start))
		group.Go(func() { took[i] = f.send(first+i, mechanism) })
	}
	group.Wait()
	slices.Sort(took)
	return took
}

// BenchmarkCalls sends calls to six nodes in an open loop. The platform answers
// each request after 3 ms; the links between nodes have no latency.
func BenchmarkCalls(b *testing.B) {
	every10 := WriteLimits{MinInterval: 10 * time.Millisecond}
	single := WriteLimits{BatchRows: 1, InFlight: 256, MinInterval: 1, NoteDelay: 1, NotesPerSecond: 1e6}
	for _, c := range []struct {
		mechanism, writes string
		limits            WriteLimits
		rate              float64
	}{
		{"none", "", WriteLimits{}, 420}, {"ticket", "", WriteLimits{}, 420}, {"ticket elsewhere", "", WriteLimits{}, 420},
		{"key", "single", single, 126}, {"key", "shared", WriteLimits{}, 126},
		{"key", "single", single, 420}, {"key", "shared, 10 ms", every10, 420}, {"key", "shared", WriteLimits{}, 420},
		{"key", "single", single, 1680}, {"key", "shared", WriteLimits{}, 1680},
	} {
		b.Run(fmt.Sprintf("%s/%s/%.0f per s", c.mechanism, c.writes, c.rate), func(b *testing.B) {
			f := startFleet(b, c.limits, 3*time.Millisecond)
			f.sendOpenLoop(0, 60, c.rate, c.mechanism) // warm up the connections
			before := f.platform.Stats()
			b.ResetTimer()
			from := time.Now()
			took := f.sendOpenLoop(60, b.N, c.rate, c.mechanism)
			seconds := time.Since(from).Seconds()
			b.StopTimer()
			time.Sleep(300 * time.Millisecond) // wait until the last outcomes are written
			after := f.platform.Stats()
			refused, _ := slices.BinarySearch(took, 0)
			thousand := float64(b.N) / 1000
			b.ReportMetric(float64(took[b.N/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[b.N*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(after.Writes-before.Writes)/thousand, "txns/1000")
			b.ReportMetric(float64(after.WrittenRows-before.WrittenRows)/thousand, "rows/1000")
			b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "txns/s")
			b.ReportMetric(float64(refused), "refused")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkOutage sends calls while the platform is down. The durations include
// both answered and refused calls.
func BenchmarkOutage(b *testing.B) {
	down := map[string]standin.Faults{
		"503": {Down: standin.DownUnavailable}, "closed": {Down: standin.DownClose}, "silent": {Slow: config.Duration(time.Hour)},
	}
	for _, name := range []string{"503", "closed", "silent"} {
		for _, mechanism := range []string{"key", "ticket elsewhere"} {
			b.Run(name+"/"+mechanism, func(b *testing.B) {
				f := startFleet(b, WriteLimits{}, 0)
				f.sendOpenLoop(0, 60, 420, mechanism)
				f.platform.SetFaults(down[name])
				b.ResetTimer()
				took := f.sendOpenLoop(60, b.N, 420, mechanism)
				b.StopTimer()
				f.platform.SetFaults(standin.Faults{})
				answered := b.N
				for i, d := range took {
					if d < 0 {
						answered--
						took[i] = -d
					}
				}
				slices.Sort(took)
				b.ReportMetric(float64(answered), "answered")
				b.ReportMetric(float64(took[b.N/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[b.N*99/100].Microseconds()), "p99-us")
				quick, _ := slices.BinarySearch(took, 100*time.Millisecond)
				b.ReportMetric(float64(b.N-quick), "over-100ms")
				b.ReportMetric(took[b.N-1].Seconds(), "longest-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
