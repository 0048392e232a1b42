package route

import (
	"chervilloom/internal/clock"
)

const (
	// The own zone spills from spillEnter on, and until it is under spillLeave
	// again. Between the two the share that leaves grows step by step, so that
	// the zones do not swap their load to and fro with every report.
	spillEnter = 0.95
	spillLeave = 0.75

	toZone Kind = -1 // key of the counters of a pool in another zone
)

// align sums up the pool by zone.
func (ps *poolState) align(c *Counters, t *Table, p *pool, now clock.Instant) {
	load, slots := 0.0, 0.0
	for _, i := range p.local {
		l := &c.lanes[i]
		if now.Before(l.freshUntil) {
			load += l.others + float64(l.s.inflight)
			slots += t.entries[i].slots
		}
	}
	ps.spilling = spills(ps.spilling, load, slots)
	ps.alignRemotes(c, t, p, now)
}

// spills applies the hysteresis to the use of the own zone.
func spills(before bool, load, slots float64) bool {
	if before {
		return load > spillLeave*slots
	}
	return load >= spillEnter*slots
}

func (ps *poolState) alignRemotes(c *Counters, t *Table, p *pool, now clock.Instant) {
	ps.remotes, ps.room = ps.remotes[:0], ps.room[:0]
	for i := range p.remote {
		r := &p.remote[i]
		via := c.state(stateKey{toZone, p.name + "@" + string(t.zones[r.zone].name)})
		via.seen = now
		room, at := 0.0, now
		for _, j := range r.entries {
			e := &t.entries[j]
			if !now.Before(e.freshUntil.Add(remoteSlack)) {
				continue
			}
			room += max(0, e.slots-float64(e.load.Running+e.load.Waiting))
			at = min(at, e.loadAt)
		}
		via.own = via.past.at(at, via.inflight)
		ps.remotes = append(ps.remotes, via)
		ps.room = append(ps.room, room)
	}
}

// remoteRoom returns the free slots of a remote zone as they are now: what this
// node has sent since the report is taken off, and as much for each peer.
func (ps *poolState) remoteRoom(i, peers int) float64 {
	since := max(0, ps.remotes[i].inflight-ps.remotes[i].own)
	return max(0, ps.room[i]-float64(since*(peers+1)))
}

// spill decides whether a request leaves the zone, given the use of the own
// zone now. It returns the index of the remote pool, or -1. The share that
// leaves is in proportion to the room of the zones.
func (d *decision) spill(load, slots float64) int {
	ps := d.ps
	if len(d.p.remote) == 0 || d.f.Hops > 0 {
		return -1
	}
	if !spills(ps.spilling, load, slots) {
		return -1
	}
	total := 0.0
	for i := range d.p.remote {
		total += d.usableRoom(i)
	}
	if total == 0 {
		return -1
	}
	own := max(0, slots-load)
	leave := total / (total + own)
	if slots > 0 {
		leave *= min(1, (load/slots-spillLeave)/(spillEnter-spillLeave))
	}
	if d.rng.Float64() >= leave {
		return -1
	}
	return d.byRoom(total)
}

// byRoom draws a remote pool with a chance in proportion to its room.
func (d *decision) byRoom(total float64) int {
	x := d.rng.Float64() * total
	last := -1
	for i := range d.p.remote {
		room := d.usableRoom(i)
		if room == 0 {
			continue
		}
		last = i
		if x -= room; x < 0 {
			break
		}
	}
	return last
}

func (d *decision) usableRoom(i int) float64 {
	if !d.reachable(i) {
		return 0
	}
	return d.ps.remoteRoom(i, d.t.peers)
}

// reachable reports whether a remote pool has a fresh entry and a node to ask.
func (d *decision) reachable(i int) bool {
	r := &d.p.remote[i]
	return d.anyFresh(r.entries) && d.pickNode(r.zone) >= 0
}

func (d *decision) anyFresh(entries []int32) bool {
	for _, j := range entries {
		if d.now.Before(d.t.entries[j].freshUntil.Add(remoteSlack)) {
			return true
		}
	}
	return false
}

// anyZone returns the reachable remote pool with most room, or -1: for a
// request that nothing in the own zone can take.
func (d *decision) anyZone() int {
	best, most := -1, -1.0
	if d.f.Hops > 0 {
		return -1
	}
	for i := range d.p.remote {
		if !d.reachable(i) {
			continue
		}
		if room := d.ps.remoteRoom(i, d.t.peers); room > most {
			best, most = i, room
		}
	}
	return best
}

// pickNode returns the less loaded of two nodes of the zone drawn at random, or
// -1 when none is left to try.
func (d *decision) pickNode(zone int32) int32 {
	nodes := d.t.zones[zone].nodes
	if len(nodes) == 0 {
		return -1
	}
	a := d.drawNode(nodes)
	b := d.drawNode(nodes)
	if a < 0 || b < 0 || d.c.nodes[a].inflight <= d.c.nodes[b].inflight {
		return a
	}
	return b
}

// drawNode returns an untried node, starting the search at a random one.
func (d *decision) drawNode(nodes []int32) int32 {
	from := d.rng.IntN(len(nodes))
	for k := range nodes {
		n := nodes[(from+k)%len(nodes)]
		if len(d.f.Tried) == 0 || !d.f.triedNode(d.t.nodes[n].vm) {
			return n
		}
	}
	return -1
}

// toNode makes the choice of a node in a remote pool's zone.
func (d *decision) toNode(i int, reason string) Choice {
	n := d.pickNode(d.p.remote[i].zone)
	return Choice{
		Kind: ToNode, Node: d.t.nodes[n].vm, Reason: reason,
		on: d.c.nodes[n], via: d.ps.remotes[i],
	}
}
