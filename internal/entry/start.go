package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
)

const (
	// seekDuration is how long a starting node looks for a node to follow before it reads the
	// store itself: a free lease is acquired within a second.
	seekDuration = 1200 * time.Millisecond
	// seekInterval is the polling interval during that time.
	seekInterval = 50 * time.Millisecond
	// firstLookupDelay is the time after which a small node first looks for the holder of its
	// zone's duty if the whole system starts for the first time: there is none before.
	firstLookupDelay = 600 * time.Millisecond
	// lookupInterval is the time from a lookup that found no holder to the next one, for another
	// zone's duty.
	lookupInterval = 250 * time.Millisecond
	// smallFleetNodes is the number of nodes up to which each starting node reads all rows at
	// once: the calls are few, and the data is needed sooner.
	smallFleetNodes = 30
)

// isSeeking reports whether this node has just started and leaves reading the store to
// others; it goes on for as long as the store hasn't answered. In a small fleet each node reads
// at once, because the data is needed sooner and the calls are few.
func (n *Node) isSeeking() bool {
	if n.storeGate.age() >= seekDuration || n.config.current.Load() != nil {
		return false
	}
	if !n.leaseCache.hasRows() {
		return true // one read of the leases is needed to know the number of nodes
	}
	if n.rank(n.Settings.Zone) == rankFirst || n.leaseCache.owner(n.Settings.Zone) == n.Settings.VM {
		return false
	}
	return n.Settings.Bootstrap || n.usesBoard(n.Settings.Zone)
}

// contact is the information in a lease row with which a starting node finds the duty holder
// without reading the rows of all nodes.
type contact struct {
	addr  string
	nodes int // number of nodes that the holder knows
}

func (c contact) encode() string { return c.addr + " " + strconv.Itoa(c.nodes) }

func parseContact(text string) (contact, bool) {
	addr, nodes, _ := strings.Cut(text, " ")
	n, err := strconv.Atoi(nodes)
	return contact{addr, n}, err == nil && addr != ""
}

// ownContact returns the contact that this node writes into the rows of its leases.
func (n *Node) ownContact() string {
	return contact{n.Settings.PeerAddr, n.leaseCache.nodeCount()}.encode()
}

// startLookup looks for the holder of the local zone's duty when the node starts, and then for those
// of other zones, which supply the same rows.
type startLookup struct {
	node      *Node
	found     atomic.Pointer[contact]
	completed atomic.Bool // a lookup has succeeded, whether or not there is a holder
	// Used by the follower's goroutine only.
	nextAt   clock.Instant // earliest time of the next lookup
	notFound int           // lookups that found no holder
}

// run looks the holder up if this node is seeking and knows no rows yet.
func (l *startLookup) run(ctx context.Context) {
	n := l.node
	now := n.Clock.Now()
	if n.leaseCache.hasRows() || !n.isSeeking() || now.Before(l.nextAt) || !n.mayDeferLeaseRead() {
		return
	}
	if n.Settings.Bootstrap && now.Sub(n.startedAt) < firstLookupDelay {
		return
	}
	l.nextAt = now.Add(leasePollInterval)
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	row, err := n.Store.Get(ctx, table.TableLeases, l.zone())
	if err != nil {
		if !errors.Is(err, errStoreSilent) {
			n.Log.Info("holder of the zone's duty not looked up", "err", err)
		}
		return
	}
	var value lease.Row
	if row.Version != 0 && json.Unmarshal(row.Value, &value) == nil && !value.Released {
		if c, ok := parseContact(value.Contact); ok {
			l.found.Store(&c)
		}
	}
	if l.found.Load() == nil {
		l.notFound++
		l.nextAt = now.Add(lookupInterval)
	}
	l.completed.Store(true)
}

// zone returns the zone whose duty is looked up next: the local one first, then the others in turn.
func (l *startLookup) zone() string {
	s := l.node.Settings
	return s.Zones[(max(0, slices.Index(s.Zones, s.Zone))+l.notFound)%len(s.Zones)]
}

// addr returns the address of the holder that was found, or "".
func (l *startLookup) addr() string {
	if c := l.found.Load(); c != nil && c.addr != l.node.Settings.PeerAddr {
		return c.addr
	}
	return ""
}

// mayDeferLeaseRead reports whether this node is so small that it doesn't compete for a duty
// before it knows the other nodes.
func (n *Node) mayDeferLeaseRead() bool {
	return n.Settings.Cores > 0 && rankWithoutPeers(n.Settings.Cores) == rankSmall
}

// defersLeaseRead reports whether a starting node leaves the rows unread because it expects to
// receive them from the holder of its zone's duty. They have one row for each node: nodes that
// start together would read the square of their number. Without an answer of the holder, the
// nodes of a large fleet read them one after the other.
func (n *Node) defersLeaseRead() bool {
	age := n.storeGate.age()
	if age >= seekDuration || !n.mayDeferLeaseRead() || n.leaseCache.hasRows() {
		return false
	}
	c := n.lookup.found.Load()
	switch {
	case n.Settings.Bootstrap:
		return true
	case c == nil:
		return !n.lookup.completed.Load()
	case c.nodes <= smallFleetNodes:
		return false
	}
	return age < seekDuration*time.Duration(hashName(n.Settings.VM)%1000)/1000
}

var errReadDeferred = errors.New("entry: the rows are not read yet; another node is expected to send them")

// isRestartedHolder reports whether this node has just started and the row of its zone's duty
// still names it. The zone's other nodes poll it meanwhile: it reads the store, since a node that
// follows another one answers no polls.
func (n *Node) isRestartedHolder() bool {
	return n.storeGate.age() < seekDuration && n.leaseCache.owner(n.Settings.Zone) == n.Settings.VM
}

// isConfigFed reports whether the configuration comes from another node.
func (n *Node) isConfigFed() bool { return n.follower.isFollowing() || n.isSeeking() }

// isRosterFed reports whether the endpoints come from another node. Such a list contains
// only endpoints that accept requests, while a duty holder plans with all of them and reads
// the store.
func (n *Node) isRosterFed() bool { return n.isConfigFed() && !n.holdsAnyDuty() }

// holdsAnyDuty reports whether this node holds the duty of any zone.
func (n *Node) holdsAnyDuty() bool { return slices.ContainsFunc(n.Settings.Zones, n.holdsDuty) }

// areLeasesFed reports whether the lease rows come from another node. While the local zone
// has no holder, its candidates read the rows themselves, because those from another zone's
// holder are a second older. Small nodes of a zone with larger ones don't.
func (n *Node) areLeasesFed() bool {
	if n.follower.isFollowingOwnZone() {
		return true
	}
	return n.follower.isFollowing() && n.rank(n.Settings.Zone) >= rankSmall
}
