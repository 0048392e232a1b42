package entry

import (
	"math/rand/v2"

	"chervilloom/internal/news"
)

// broadcast sends a message to all other nodes: directly in the local zone, and in each other
// zone through two relays, the duty holder and one more node. With one copy for each of 294
// nodes, four of five copies crossed zones. There are two relays so that one lost packet
// has no effect.
func (n *Node) broadcast(m news.Message) {
	for _, zone := range n.Settings.Zones {
		peers := n.leaseCache.zonePeers(n.Settings.VM, zone)
		if zone == n.Settings.Zone || len(peers) <= maxDirectPeers {
			n.send(m, peers...)
			continue
		}
		relayed := m
		relayed.Relay = true
		n.send(relayed, n.pickRelays(zone, peers)...)
	}
}

// pickRelays returns two nodes of another zone, including the holder of its duty if it is
// known.
func (n *Node) pickRelays(zone string, peers []string) []string {
	i := rand.IntN(len(peers))
	first, second := peers[i], peers[(i+1)%len(peers)]
	if owner := n.leaseCache.addr(n.leaseCache.owner(zone)); owner != "" && owner != first {
		second = owner
	}
	return []string{first, second}
}

// relayInZone sends a relayed message to the other nodes of the local zone.
func (n *Node) relayInZone(m news.Message) {
	m.Relay = false
	n.send(m, n.leaseCache.zonePeers(n.Settings.VM, n.Settings.Zone)...)
}
