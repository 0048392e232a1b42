package links

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that leave their regions through a node in between, and against a node
// that is asked again and again although it has no links.
func TestPeersOfForbiddenZonesAndUnfitOnesAreLeftOut(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	peers := PeersByZone{"a": {"a1", "a2"}, "b": {"b1"}, "c": {"c1"}}
	c := PeerChoice{Zone: "a"}
	notC := func(zone string) bool { return zone != "c" }
	for range 100 {
		got := c.Select(peers, notC, rnd, start)
		is.Equal(got[0].Zone, "a")
		is.Equal(len(got), 3)
		for _, p := range got {
			is.True(p.Zone != "c")
		}
	}
	c.RecordGood(Peer{Addr: "c1", Zone: "c"}, start)
	c.RecordUnfit(Peer{Addr: "a1", Zone: "a"}, start)
	for range 100 {
		for _, p := range c.Select(peers, notC, rnd, start) {
			is.True(p.Zone != "c" && p.Addr != "a1")
		}
	}
	is.Equal(c.Select(peers, AllZones, rnd, start)[0].Addr, "c1")
	c.RecordUnfit(Peer{Addr: "a2", Zone: "a"}, start)
	c.RecordUnfit(Peer{Addr: "b1", Zone: "b"}, start)
	is.True(len(c.Select(peers, notC, rnd, start)) > 0) // all are unfit: one of them is asked again
	is.True(len(c.Select(peers, notC, rnd, start.Add(unfitDuration+time.Millisecond))) == 3)
}

// Guards against nodes without links that all connect through the same node.
func TestConnectionsSpreadOverPeers(t *testing.T) {
	const nodes, draws = 30, 200
	addrs := make([]string, nodes)
	for i := range addrs {
		addrs[i] = string(rune('a' + i))
	}
	rnd := rand.New(rand.NewPCG(2, 2))
	c := PeerChoice{Zone: "z"}
	counts := map[string]int{}
	for range draws {
		p := c.Select(PeersByZone{"z": addrs}, AllZones, rnd, start)[0]
		c.RecordGood(p, start)
		counts[p.Addr]++
	}
	if len(counts) < nodes/3 {
		t.Errorf("%d of %d nodes passed connections on: %v", len(counts), nodes, counts)
	}
}
