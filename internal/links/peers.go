package links

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/upstream"
)

const (
	// maxPeers is the number of other nodes that are asked for one connection. Those that know
	// that their links are lost answer within a round trip.
	maxPeers = 8
	// unfitDuration is how long a node that could not pass a connection on isn't asked again.
	unfitDuration = 2 * time.Second
	// goodDuration is how long a node that passed a connection on is asked first.
	goodDuration = 5 * time.Second
	// maxSamples bounds the random draws for one peer from a zone.
	maxSamples = 8
)

// Peer is another node.
type Peer = upstream.Peer

// PeersByZone are the addresses of the other nodes by availability zone.
type PeersByZone map[string][]string

// isEmpty reports whether no other node is known.
func (p PeersByZone) isEmpty() bool {
	for _, addrs := range p {
		if len(addrs) > 0 {
			return false
		}
	}
	return true
}

// PeerChoice selects the nodes that are asked to pass a connection on. It is not safe for
// concurrent use.
type PeerChoice struct {
	Zone  string // zone of this node
	unfit map[string]clock.Instant
	good  map[Peer]clock.Instant
}

// RecordUnfit records that a node could not pass a connection on.
func (c *PeerChoice) RecordUnfit(p Peer, now clock.Instant) {
	if c.unfit == nil {
		c.unfit = map[string]clock.Instant{}
	}
	c.unfit[p.Addr] = now
	delete(c.good, p)
}

// RecordGood records that a node passed a connection on.
func (c *PeerChoice) RecordGood(p Peer, now clock.Instant) {
	if c.good == nil {
		c.good = map[Peer]clock.Instant{}
	}
	c.good[p] = now
	delete(c.unfit, p.Addr)
}

// Select returns the nodes to ask, in order: mostly one that passed a connection on lately,
// preferably of the own zone, then random ones, alternately of the own zone and of others, since a
// whole zone may have lost its links. Nodes of zones that aren't allowed are left out.
func (c *PeerChoice) Select(peers PeersByZone, allowed func(zone string) bool, rnd *rand.Rand, now clock.Instant) []Peer {
	c.expire(now)
	var out []Peer
	add := func(p Peer, ok bool) {
		if !ok || len(out) >= maxPeers {
			return
		}
		for _, q := range out {
			if p == q {
				return
			}
		}
		out = append(out, p)
	}
	var others []string
	for zone, addrs := range peers {
		if zone != c.Zone && len(addrs) > 0 && allowed(zone) {
			others = append(others, zone)
		}
	}
	slices.Sort(others)
	own := allowed(c.Zone)
	good, known := c.pickGood(own, allowed, rnd)
	if known && rnd.IntN(len(c.good)+1) == 0 {
		// The fewer are known, the more often another one is tried first, so that the
		// connections spread over all nodes that have links.
		add(pickFrom(good.Zone, peers[good.Zone], c.isFit, rnd))
	}
	add(good, known)
	for _, isFit := range []func(string) bool{c.isFit, func(string) bool { return true }} {
		for range maxPeers {
			if own {
				add(pickFrom(c.Zone, peers[c.Zone], isFit, rnd))
			}
			if len(others) > 0 {
				zone := others[rnd.IntN(len(others))]
				add(pickFrom(zone, peers[zone], isFit, rnd))
			}
		}
		if len(out) > 0 {
			break // only if all are unfit one of them is asked again
		}
	}
	return out
}

// isFit reports whether a node isn't known to be unable to pass connections on.
func (c *PeerChoice) isFit(addr string) bool {
	_, unfit := c.unfit[addr]
	return !unfit
}

// pickGood returns a random node that passed a connection on lately, one of the own zone if there
// is one.
func (c *PeerChoice) pickGood(own bool, allowed func(zone string) bool, rnd *rand.Rand) (Peer, bool) {
	var near, far []Peer
	for p := range c.good {
		switch {
		case p.Zone == c.Zone && own:
			near = append(near, p)
		case p.Zone != c.Zone && allowed(p.Zone):
			far = append(far, p)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Peer{}, false
	}
	slices.SortFunc(near, func(a, b Peer) int { return cmp.Compare(a.Addr, b.Addr) }) // the same draw for the same seed
	return near[rnd.IntN(len(near))], true
}

// pickFrom returns a random fit node of a zone.
func pickFrom(zone string, addrs []string, isFit func(addr string) bool, rnd *rand.Rand) (Peer, bool) {
	if len(addrs) == 0 {
		return Peer{}, false
	}
	for range maxSamples {
		if addr := addrs[rnd.IntN(len(addrs))]; isFit(addr) {
			return Peer{Addr: addr, Zone: zone}, true
		}
	}
	return Peer{}, false
}

// expire forgets what is too old.
func (c *PeerChoice) expire(now clock.Instant) {
	for addr, at := range c.unfit {
		if now.Sub(at) > unfitDuration {
			delete(c.unfit, addr)
		}
	}
	for p, at := range c.good {
		if now.Sub(at) > goodDuration {
			delete(c.good, p)
		}
	}
}
