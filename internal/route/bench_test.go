package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

var benchSizes = []struct{ groups, endpoints, nodes int }{
	{12, 55, 6},
	{36, 250, 90},
	{75, 600, 370},
}

func sizeName(groups, endpoints, nodes int) string {
	return fmt.Sprintf("groups=%d/endpoints=%d/nodes=%d", groups, endpoints, nodes)
}

// BenchmarkDecide measures the decision with the most candidates: every group and
// endpoint is in this zone and carries the target. Prompts have eight prefixes,
// all of which half of the groups cache.
func BenchmarkDecide(b *testing.B) {
	prefix := make([]uint64, 8)
	for i := range prefix {
		prefix[i] = splitMix64(uint64(i + 1))
	}
	for _, sz := range benchSizes {
		s := fleetOf(sz.groups, sz.endpoints, sz.nodes)
		warmCaches(s, prefix)
		for _, c := range []struct {
			kind string
			f    Facts
		}{
			{"model", Facts{Target: fleet.Target{Model: "m"}, Prefix: prefix, PromptTokens: 1500}},
			{"service", Facts{Service: "counter"}},
		} {
			b.Run(c.kind+"/"+sizeName(sz.groups, sz.endpoints, sz.nodes), func(b *testing.B) {
				t, counters := Compile(s), NewCounters()
				counters.bindTable(t, start)
				rng := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					if _, why := Decide(t, counters, &c.f, start+second, rng); why != Accepted {
						b.Fatal(why)
					}
				}
			})
		}
	}
}

// warmCaches gives every group a cache of 4096 prefixes.
func warmCaches(s *view.Snapshot, prefix []uint64) {
	for i := range s.Groups {
		set := make(map[uint64]struct{}, 4096)
		for j := range 4096 {
			set[splitMix64(uint64(i*5000+j+100))] = struct{}{}
		}
		if i%2 == 0 {
			for _, h := range prefix {
				set[h] = struct{}{}
			}
		}
		s.Groups[i].Prefixes = set
	}
}

func BenchmarkCompileAndAlign(b *testing.B) {
	for _, sz := range benchSizes {
		s := fleetOf(sz.groups, sz.endpoints, sz.nodes)
		b.Run(sizeName(sz.groups, sz.endpoints, sz.nodes), func(b *testing.B) {
			c := NewCounters()
			b.ReportAllocs()
			for b.Loop() {
				c.bindTable(Compile(s), start)
			}
		})
	}
}

func BenchmarkPickBeginEnd(b *testing.B) {
	s := fleetOf(75, 600, 370)
	r := New(Options{Self: s.Self, Zone: s.Zone, Seed: 1})
	req := modelRequest(fleet.Target{Model: "m"})
	b.ReportAllocs()
	for b.Loop() {
		ch, err := r.Pick(req, s, start+second, nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Begin(ch)
		r.End(ch, Result{OK: true, FirstByte: 1e8, Total: 1e9, Tokens: 100})
	}
}
