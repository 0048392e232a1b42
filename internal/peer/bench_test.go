package peer

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
)

// discard is an answer.Writer that stores only the answer.End.
type discard struct{ end answer.End }

func (*discard) Start(answer.Head) error  { return nil }
func (*discard) Frame(answer.Frame) error { return nil }
func (d *discard) Finish(e answer.End)    { d.end = e }

// fixedAnswer returns a handler that answers immediately with a body of n bytes.
func fixedAnswer(n int) filter.Handler {
	body := bytes.Repeat([]byte("x"), n)
	return filter.Func(func(_ context.Context, _ *request.Request, w answer.Writer) {
		w.Start(answer.Head{Status: 200})
		w.Frame(answer.Frame{Data: body})
		w.Finish(answer.End{Complete: true})
	})
}

// latencies collects the latencies measured by concurrent callers.
type latencies struct {
	mu  sync.Mutex
	all []time.Duration
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, d)
}

func (l *latencies) report(b *testing.B) {
	slices.Sort(l.all)
	at := func(q float64) float64 { return float64(l.all[int(q*float64(len(l.all)-1))].Microseconds()) }
	b.ReportMetric(at(0.50), "µs-p50")
	b.ReportMetric(at(0.99), "µs-p99")
}

// BenchmarkRelay measures the duration of Relay. The handler answers immediately,
// so the result is the overhead of one hop.
func BenchmarkRelay(b *testing.B) {
	for _, h := range []struct {
		name    string
		handler filter.Handler
	}{{"lookup", fixedAnswer(300)}, {"stream50", tokenHandler(50)}} {
		for _, idempotent := range []bool{true, false} {
			for _, callers := range []int{1, 16} {
				b.Run(fmt.Sprintf("%s/idempotent=%v/callers=%d", h.name, idempotent, callers), func(b *testing.B) {
					benchRelay(b, h.handler, idempotent, callers)
				})
			}
		}
	}
}

func benchRelay(b *testing.B, h filter.Handler, idempotent bool, callers int) {
	here, there := startMesh(b, "a", nil), startMesh(b, "b", func(o *Options) { o.Handler = h })
	exchangeAddrs(here, there)
	ctx := context.Background()
	req := testRequest("q")
	req.Idempotent, req.Deadline = idempotent, 0
	if err := here.Relay(ctx, "b", req, &discard{}); err != nil {
		b.Fatal(err)
	}
	var l latencies
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	for c := range callers {
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				w := &discard{}
				start := time.Now()
				if err := here.Relay(ctx, "b", req, w); err != nil || !w.end.Complete {
					b.Error("not whole: ", err)
					return
				}
				l.add(time.Since(start))
			}
		})
	}
	wg.Wait()
	l.report(b)
}

// BenchmarkBody measures the throughput of request bodies.
func BenchmarkBody(b *testing.B) {
	here, there := startMesh(b, "a", nil), startMesh(b, "b", func(o *Options) { o.Handler = fixedAnswer(1) })
	exchangeAddrs(here, there)
	req := testRequest("q")
	req.Body, req.Deadline = make([]byte, 4<<20), 0
	b.SetBytes(int64(len(req.Body)))
	b.ReportAllocs()
	for b.Loop() {
		if err := here.Relay(context.Background(), "b", req, &discard{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCall measures the latency of sequential calls.
func BenchmarkCall(b *testing.B) {
	here, there := startMesh(b, "a", nil), startMesh(b, "b", nil)
	there.HandleCall("echo", func(_ context.Context, _ fleet.Node, p []byte) ([]byte, error) { return p, nil })
	exchangeAddrs(here, there)
	payload := make([]byte, 300)
	var l latencies
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		if _, err := here.Call(context.Background(), "b", "echo", payload); err != nil {
			b.Fatal(err)
		}
		l.add(time.Since(start))
	}
	l.report(b)
}

// BenchmarkMessages measures the message rate on one link with 32 messages in
// flight, and the network overhead per message in bytes, including IP, UDP and
// QUIC headers and acknowledgements.
func BenchmarkMessages(b *testing.B) {
	const window, ipUDP = 32, 28
	for _, size := range []int{100, 1000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			here, there := startMesh(b, "a", nil), startMesh(b, "b", nil)
			arrived := make(chan struct{}, window)
			there.Subscribe("bench", func(fleet.Node, []byte) { arrived <- struct{}{} })
			exchangeAddrs(here, there)
			payload := make([]byte, size)
			sent := 0
			for got := range b.N {
				for ; sent < b.N && sent-got < window; sent++ {
					here.Send("b", "bench", payload)
				}
				<-arrived
			}
			s := here.link("b").control.conn.ConnectionStats()
			cost := s.BytesSent + s.BytesReceived + ipUDP*(s.PacketsSent+s.PacketsReceived)
			b.ReportMetric(float64(cost)/float64(b.N)-float64(size), "overhead-bytes/message")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
		})
	}
	b.Run("lone", func(b *testing.B) { benchLoneMessages(b) })
}

// benchLoneMessages sends each message after the previous one was acknowledged,
// like membership pings, so that no two messages share a packet.
func benchLoneMessages(b *testing.B) {
	const ipUDP, size = 28, 100
	here, there := startMesh(b, "a", nil), startMesh(b, "b", nil)
	arrived := make(chan struct{}, 1)
	there.Subscribe("bench", func(fleet.Node, []byte) { arrived <- struct{}{} })
	exchangeAddrs(here, there)
	cost := func() uint64 {
		s := here.link("b").control.conn.ConnectionStats()
		return s.BytesSent + s.BytesReceived + ipUDP*(s.PacketsSent+s.PacketsReceived)
	}
	send := func() {
		here.Send("b", "bench", make([]byte, size))
		<-arrived
		time.Sleep(40 * time.Millisecond) // longer than the peer's ACK delay
	}
	for range 5 {
		send() // exclude the handshake and its follow-up packets
	}
	before := cost()
	for range b.N {
		send()
	}
	b.ReportMetric(float64(cost()-before)/float64(b.N)-size, "overhead-bytes/message")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDial measures the first call to a node: handshake, Hello and call.
func BenchmarkDial(b *testing.B) {
	here, there := startMesh(b, "a", nil), startMesh(b, "b", nil)
	there.HandleCall("echo", func(_ context.Context, _ fleet.Node, p []byte) ([]byte, error) { return p, nil })
	var l latencies
	for b.Loop() {
		here.SetPeers([]Peer{{VM: "b", Addr: there.Addr()}})
		start := time.Now()
		if _, err := here.Call(context.Background(), "b", "echo", nil); err != nil {
			b.Fatal(err)
		}
		l.add(time.Since(start))
		here.RemovePeer("b")
	}
	l.report(b)
}
