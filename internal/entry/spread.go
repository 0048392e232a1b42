package entry

import (
	"math/rand/v2"

	"chervilloom/internal/news"
)

// spread tells a message to all other nodes: to those of the own zone, and in each other
// zone to the holder of its duty and one more, who pass it on there. Told to 294 nodes
// one by one, four of five copies crossed zones. Two relays: one lost packet costs nothing.
func (n *Node) spread(m news.Message) {
	for _, zone := range n.Settings.Zones {
		peers := n.leaseRows.zonePeers(n.Settings.VM, zone)
		if zone == n.Settings.Zone || len(peers) <= directPeers {
			n.send(m, peers...)
			continue
		}
		relayed := m
		relayed.Relay = true
		n.send(relayed, n.relays(zone, peers)...)
	}
}

// relays returns two nodes of another zone, the holder of its duty if it is known.
func (n *Node) relays(zone string, peers []string) []string {
	i := rand.IntN(len(peers))
	first, second := peers[i], peers[(i+1)%len(peers)]
	if owner := n.leaseRows.addr(n.leaseRows.owner(zone)); owner != "" && owner != first {
		second = owner
	}
	return []string{first, second}
}

// passOn tells a message to the other nodes of the own zone.
func (n *Node) passOn(m news.Message) {
	m.Relay = false
	n.send(m, n.leaseRows.zonePeers(n.Settings.VM, n.Settings.Zone)...)
}
