package kv

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	objects "chervilloom/internal/standin/platform"
)

// pacedStore delays each call by the transfer time of the prefixes' KV cache, since the
// stand-in's objects contain only hashes.
type pacedStore struct {
	*objects.Platform
	costs Costs
}

func (s *pacedStore) delay(data []byte) {
	var prefixes []uint64
	if json.Unmarshal(data, &prefixes) != nil {
		return
	}
	tokens := 0
	for i := range prefixes {
		tokens += blockTokens(i + 1)
	}
	bytes := float64(tokens) * s.costs.BytesPerToken
	d := s.costs.FixedCost + time.Duration(bytes/s.costs.BytesPerSecond*float64(time.Second))
	time.Sleep(d)
}

func (s *pacedStore) PutObject(ctx context.Context, name string, data []byte) error {
	s.delay(data)
	return s.Platform.PutObject(ctx, name, data)
}

func (s *pacedStore) GetObject(ctx context.Context, name string) ([]byte, error) {
	data, err := s.Platform.GetObject(ctx, name)
	s.delay(data)
	return data, err
}

// BenchmarkMove reports the duration of a new group's first request with and without a
// move, and of the export and the import, over HTTP to stand-in engines. Replicas
// compute a prompt token in 400 us; the store has the throughput of DefaultCosts.
func BenchmarkMove(b *testing.B) {
	for _, holds := range []bool{true, false} {
		b.Run(fmt.Sprintf("move=%v", holds), func(b *testing.B) {
			var first, export, imported time.Duration
			cached := 0
			for b.Loop() {
				w := newMoverFixture(b, &pacedStore{Platform: objects.New(objects.Options{}), costs: DefaultCosts()})
				w.held, w.prefillPerSecond = holds, 2500
				old := w.join(w.engine("e1"), "g", fleet.PhaseServing, "1")
				w.step(old)
				w.warmCache(&old)
				began := time.Now()
				w.step(withPhase(old, fleet.PhaseDraining))
				export += time.Since(began)
				fresh := w.join(w.engine("e2"), "n", fleet.PhaseServing, "1")
				began = time.Now()
				w.step(fresh)
				imported += time.Since(began)
				began = time.Now()
				cached += w.sendPrompt(&fresh)
				first += time.Since(began)
			}
			ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 / float64(b.N) }
			b.ReportMetric(ms(first), "first-ms")
			b.ReportMetric(ms(export), "export-ms")
			b.ReportMetric(ms(imported), "import-ms")
			b.ReportMetric(float64(cached)/float64(b.N), "cached-tokens")
			b.ReportMetric(0, "ns/op")
		})
	}
}

var _ platform.Objects = (*pacedStore)(nil)
