package roster

import (
	"fmt"
	"testing"
)

// benchRoster returns a roster of n engines in groups of twelve.
func benchRoster(n int) *Roster {
	l := Listing{}
	for i := range n {
		l.Endpoints = append(l.Endpoints, Endpoint{
			ID: ID(fmt.Sprintf("i-%010x", i*7919)), Service: "s", Domain: "d", Zone: "z",
			Member: Membership{Group: fmt.Sprint("g", i/12), Rank: i % 12, State: Open},
		})
	}
	return Merge(Empty(), l, 1, 0)
}

// BenchmarkHint measures the cost of applying one hint about a head that starts or stops
// serving.
func BenchmarkHint(b *testing.B) {
	for _, n := range []int{54, 162, 1002, 3002} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRoster(n)
			h := Hint{ID: r.Service("s")[0].ID, Member: Membership{Group: "g", Epoch: 1, State: Open}}
			b.ReportAllocs()
			for b.Loop() {
				r.WithHint(h, 2)
			}
		})
	}
}
