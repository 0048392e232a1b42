package backpressure

import (
	"fmt"
	"testing"

	"chervilloom/internal/clock"
)

// BenchmarkAllows queries the 120 head endpoints of a large service, as the choice for each
// request does: with no signals from any of them, and with twelve that name a limit to a node
// that is last in the sender order.
func BenchmarkAllows(b *testing.B) {
	var order []string
	for i := range 295 {
		order = append(order, fmt.Sprintf("front-%d", i))
	}
	for _, limited := range []int{0, 12} {
		b.Run(fmt.Sprintf("limited=%d", limited), func(b *testing.B) {
			g := New(Options{Node: "front-294", Clock: clock.Boot{}, SenderOrder: func(ID) []string { return order }})
			ids := make([]ID, 120)
			for i := range ids {
				ids[i] = ID(fmt.Sprintf("i-%010d~1790000000000", i))
				if i < limited {
					g.Receive(Notice{Node: "front-1", ID: ids[i], Rate: 1.9, IsSender: true})
				}
			}
			for b.Loop() {
				for _, id := range ids {
					g.IsLeaving(id)
					g.Allows(id)
				}
			}
		})
	}
}
