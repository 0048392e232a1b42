package revision_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"chervilloom/internal/fleet"
	"chervilloom/internal/revision"
)

// BenchmarkHandleAnnounce measures a digest from a peer that contains nothing
// new: decoding, and Decide without actions.
func BenchmarkHandleAnnounce(b *testing.B) {
	k := revision.NewKeeper(revision.Options{Table: newTable()})
	payload, err := cbor.Marshal(revision.Announcement{})
	if err != nil {
		b.Fatal(err)
	}
	from := fleet.Node{VM: "b"}
	b.ReportAllocs()
	for b.Loop() {
		k.HandleAnnounce(from, payload)
	}
}

// BenchmarkAccept measures one acceptance on an in-memory table: parsing,
// encoding and four requests.
func BenchmarkAccept(b *testing.B) {
	for _, n := range []int{10, 200} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			s := revision.NewStore(newTable(), nil)
			doc := manyOrganisations(n)
			var base uint64
			b.ReportAllocs()
			for b.Loop() {
				rec, err := s.Accept(context.Background(), revision.Proposal{Base: base, Document: doc, Author: "asha"}, nil)
				if err != nil {
					b.Fatal(err)
				}
				base = rec.Stamp.Number
			}
		})
	}
}

func manyOrganisations(n int) []byte {
	out := []byte("version: 1\nobjective: {downtime_weight: 1}\norganisations:\n")
	for i := range n {
		out = fmt.Appendf(out, "  - name: organisation-%d\n    key_hashes: [a%063x, b%063x]\n    weight: 10\n", i, i, i)
	}
	return out
}

// BenchmarkReplicate measures the time from the call of Accept on one node
// until the revision is in force on all nodes, with in-memory messages.
func BenchmarkReplicate(b *testing.B) {
	for _, n := range []int{6, 50} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			m, tab := newMesh(), newTable()
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			defer running.Wait()
			defer cancel()
			var nodes []*revision.Keeper
			for i := range n {
				vm := fleet.VM(fmt.Sprintf("vm-%d", i))
				k := revision.NewKeeper(revision.Options{
					Table: tab, Peers: port{m, vm}, Nodes: func() []fleet.VM { return m.others(vm) }, JoinTimeout: -1,
				})
				m.update(func() { m.keepers[vm] = k })
				nodes = append(nodes, k)
				running.Go(func() { _ = k.Run(ctx) })
			}
			var base uint64
			for b.Loop() {
				rec, err := nodes[int(base)%n].Accept(ctx, base, document(int(base)%1000+1), "asha")
				if err != nil {
					b.Fatal(err)
				}
				base = rec.Stamp.Number
				for _, k := range nodes {
					for currentNumber(k) != base {
						runtime.Gosched()
					}
				}
			}
		})
	}
}
