package entry

import (
	"context"
	"net"

	"chervilloom/internal/news"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
)

// quarantinePrefix is the key prefix of the rows of quarantined requests. They are in the
// same table as the leases, so that the regular reads and feed answers carry them to every
// node, also to one that starts after a power loss of all nodes or that missed a packet:
// within 1.6 s by the intervals of a duty holder's reads and its followers' polls.
const quarantinePrefix = "quarantine/"

func (n *Node) newQuarantineGuard() *quarantine.Guard {
	return (&quarantine.Guard{
		Node: n.Settings.VM, Clock: n.Clock, Log: n.Log,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return n.dialer.DialContext(ctx, "tcp", addr)
		},
		SendToTalliers:  func(m quarantine.Message) { n.send(news.Message{Quarantine: &m}, n.tallyAddrs()...) },
		Broadcast:       n.announceQuarantine,
		Persist:         func(v quarantine.Verdict) { go n.writeQuarantineRow(v) },
		DeletePersisted: func(fp quarantine.Fingerprint) { go n.quarantineRows.Delete(context.Background(), fp) },
		AcquireTrial: func(ctx context.Context, v quarantine.Verdict) (bool, error) {
			return n.quarantineRows.AcquireTrial(ctx, v)
		},
		EndpointCrashed: func(endpoint string) { // new requests avoid the endpoint without a failed attempt
			n.tracker.MarkSuspect(roster.ID(endpoint))
			n.refreshSoon()
		},
	}).Init(n.Registry)
}

// tallyAddrs returns the addresses of the nodes that count endpoint failures: all nodes of
// zones with few nodes, and the duty holder of each zone with many. Each of them gets all
// reports, so that the failure of one loses nothing and a zone that is partitioned from the
// others still has its own.
func (n *Node) tallyAddrs() []string {
	var out []string
	for _, zone := range n.Settings.Zones {
		if peers := n.leaseCache.zonePeers(n.Settings.VM, zone); len(peers) <= maxDirectPeers {
			out = append(out, peers...)
			continue
		}
		if owner := n.leaseCache.owner(zone); owner != n.Settings.VM {
			if addr := n.leaseCache.addr(owner); addr != "" {
				out = append(out, addr)
			}
		}
	}
	return out
}

// announceQuarantine sends a message to all nodes twice: after a lost packet a zone or a
// node would learn it only from the rows, a second later.
func (n *Node) announceQuarantine(m quarantine.Message) {
	for range 2 {
		n.broadcast(news.Message{Quarantine: &m})
	}
}

// writeQuarantineRow writes the request's row unless an equivalent one exists: all tallying
// nodes reach the same verdict within a few milliseconds.
func (n *Node) writeQuarantineRow(v quarantine.Verdict) {
	n.quarantineRows.Persist(context.Background(), v, n.leaseCache.cachedRow(n.quarantineRows.Key(v.Fingerprint)), n.quarantineGuard.IsQuarantined)
}

// syncQuarantineRows writes the rows that were never stored, for instance because the store
// was unavailable, and deletes expired ones. A stored row that has disappeared was lifted
// by another node or by an operator and is not written again. Only the holder of the first
// zone's duty does this.
func (n *Node) syncQuarantineRows() {
	banned := n.quarantineGuard.Banned()
	if len(banned) == 0 || !n.maintainsQuarantineRows() {
		return
	}
	for _, b := range banned {
		switch {
		case b.IsExpired():
			n.quarantineRows.Delete(context.Background(), b.Fingerprint)
		case !b.Persisted:
			n.writeQuarantineRow(b.Verdict)
		}
	}
}

// maintainsQuarantineRows reports whether this node holds the duty of the first zone that
// has a holder.
func (n *Node) maintainsQuarantineRows() bool {
	for _, zone := range n.Settings.Zones {
		if owner := n.leaseCache.owner(zone); owner != "" {
			return owner == n.Settings.VM && n.holdsDuty(zone)
		}
	}
	return false
}
