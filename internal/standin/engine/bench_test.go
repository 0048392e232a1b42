package engine

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

// BenchmarkChat measures the overhead of the stand-in per request, with tokens that
// take almost no time. The request rate of a system benchmark must stay well below
// the rate measured here, or the stand-in limits it.
func BenchmarkChat(b *testing.B) {
	for _, stream := range []bool{false, true} {
		b.Run(fmt.Sprintf("stream=%v", stream), func(b *testing.B) {
			o := fastOptions("e")
			o.Slots, o.TokensPerSecond, o.CachePrefixes = 1000, 1e9, 1024
			e := New(o)
			defer e.Close()
			srv := httptest.NewServer(e)
			defer srv.Close()
			addr := srv.Listener.Addr().String()
			if _, ok := e.Order(engine.Order{
				Verb: engine.VerbJoin, Boot: e.State().Boot, Group: "g", Generation: fleet.Generation(1),
				Model: "m", Peers: []string{addr},
			}); !ok {
				b.Fatal("the order was refused")
			}
			v := &vm{Engine: e, addr: addr, http: srv.Client()}
			body := chatBody("x", DefaultTokens, stream)
			for i := 0; b.Loop(); i++ {
				res, err := v.chat(b.Context(), fmt.Sprint(i), body)
				if stream {
					if got := readEvents(res, err); !got.isComplete() {
						b.Fatal(got.err)
					}
					continue
				}
				if _, err := answerText(res, err); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
