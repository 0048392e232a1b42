package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/news"
	table "chervilloom/internal/platform"
	"chervilloom/internal/quarantine"
	"chervilloom/internal/roster"
)

// quarantinePrefix begins the keys of the rows that name quarantined requests. They stand
// among the leases, so that the reads and questions that are made anyway carry them to
// every node, also to one that starts after all others lost power, and to one that a lost
// packet left out: within 1.6 s, a holder's read and its followers' next question.
const quarantinePrefix = "quarantine/"

// quarantineLimit is how long a write of such a row may take. A request whose try is
// asked for waits for it.
const quarantineLimit = 300 * time.Millisecond

func (n *Node) newGuard() *quarantine.Guard {
	return (&quarantine.Guard{
		Node: n.Settings.VM, Clock: n.Clock, Log: n.Log,
		Tell:     func(m quarantine.Message) { n.send(news.Message{Quarantine: &m}, n.talliers()...) },
		Announce: n.announceQuarantine,
		Keep:     func(v quarantine.Verdict) { go n.keepQuarantined(v) },
		Drop:     func(print quarantine.Fingerprint) { go n.dropQuarantined(print) },
		Try:      n.tryQuarantined,
		Ended: func(endpoint string) { // requests that come now needn't find it gone themselves
			n.tracker.Suspect(roster.ID(endpoint))
			n.lookSoon()
		},
	}).Init(n.Registry)
}

// talliers returns the addresses of the nodes that tally ends: all nodes of zones with
// few, and the holder of the duty of each zone with many. Each of them gets everything,
// so that one that is frozen or ends takes nothing away, and a zone that is cut off still
// has its own.
func (n *Node) talliers() []string {
	var out []string
	for _, zone := range n.Settings.Zones {
		if peers := n.leaseRows.zonePeers(n.Settings.VM, zone); len(peers) <= directPeers {
			out = append(out, peers...)
			continue
		}
		if owner := n.leaseRows.owner(zone); owner != n.Settings.VM {
			if addr := n.leaseRows.addr(owner); addr != "" {
				out = append(out, addr)
			}
		}
	}
	return out
}

// announceQuarantine tells all nodes, twice: a packet that is lost leaves a zone or a node
// with what the rows tell a second later.
func (n *Node) announceQuarantine(m quarantine.Message) {
	for range 2 {
		n.spread(news.Message{Quarantine: &m})
	}
}

// keepQuarantined writes the request's row, unless it stands: the nodes that tally find
// the same within a few milliseconds.
func (n *Node) keepQuarantined(v quarantine.Verdict) {
	if n.leaseRows.version(quarantinePrefix+string(v.Print)) == 0 {
		n.writeQuarantined(context.Background(), v, 0)
	}
}

// writeQuarantined writes the request's row if it has that version; 0: if there is none.
func (n *Node) writeQuarantined(ctx context.Context, v quarantine.Verdict, version uint64) bool {
	raw, err := json.Marshal(v)
	if err != nil {
		n.Log.Error("quarantined request is not kept", "fingerprint", v.Print, "err", err)
		return false
	}
	key := quarantinePrefix + string(v.Print)
	ctx, cancel := context.WithTimeout(ctx, quarantineLimit)
	defer cancel()
	res, err := n.leaseRows.Commit(ctx, table.Txn{
		Attempt: uuid.NewString(),
		Checks:  []table.Check{{Table: table.TableLeases, Key: key, Version: version}},
		Writes:  []table.Write{{Table: table.TableLeases, Key: key, Value: raw}},
	})
	if err != nil {
		n.Log.Info("quarantined request is not kept; the nodes that know it refuse it", "fingerprint", v.Print, "err", err)
	}
	return err == nil && res.Committed
}

// tryQuarantined takes the one try of a request for this node.
func (n *Node) tryQuarantined(ctx context.Context, v quarantine.Verdict) bool {
	version := n.leaseRows.version(quarantinePrefix + string(v.Print))
	return version != 0 && n.writeQuarantined(ctx, v, version)
}

func (n *Node) dropQuarantined(print quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), quarantineLimit)
	defer cancel()
	_, err := n.leaseRows.Commit(ctx, table.Txn{
		Attempt: uuid.NewString(),
		Writes:  []table.Write{{Table: table.TableLeases, Key: quarantinePrefix + string(print), Delete: true}},
	})
	if err != nil {
		n.Log.Info("row of a request that was lifted stays; nodes that start refuse it for its time", "fingerprint", print, "err", err)
	}
}

// keepAllQuarantined writes the rows that are missing, for instance because the store was
// away when the requests were found, and deletes those whose time is over. One node does
// it: the first zone's holder.
func (n *Node) keepAllQuarantined() {
	barred := n.quarantine.Barred()
	if len(barred) == 0 || !n.keepsQuarantine() {
		return
	}
	for _, b := range barred {
		if b.Over() {
			n.dropQuarantined(b.Print)
			continue
		}
		n.keepQuarantined(b.Verdict)
	}
}

func (n *Node) keepsQuarantine() bool {
	for _, zone := range n.Settings.Zones {
		if owner := n.leaseRows.owner(zone); owner != "" {
			return owner == n.Settings.VM && n.holds(zone)
		}
	}
	return false
}

// keptVerdicts returns the requests that rows name.
func (c *leaseCache) keptVerdicts(rows []table.Row) []quarantine.Verdict {
	var out []quarantine.Verdict
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, quarantinePrefix) {
			continue
		}
		var v quarantine.Verdict
		if err := json.Unmarshal(r.Value, &v); err != nil || quarantinePrefix+string(v.Print) != r.Key {
			c.log.Warn("row names no quarantined request; delete it by hand", "key", r.Key, "err", err)
			continue
		}
		out = append(out, v)
	}
	return out
}

// version returns the version of a row as it is known; 0: there is none.
func (c *leaseCache) version(key string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key].Version
}
