package route

import (
	"chervilloom/internal/clock"
)

const (
	// Requests leave this zone when its use reaches spillEnter, until it is down to
	// spillLeave again. In between, the share that leaves grows linearly, so that
	// zones do not oscillate with every report.
	spillEnter = 0.95
	spillLeave = 0.75

	toZone Kind = -1 // key of the counters of a pool in another zone
)

// bind updates the spill state of this zone and the free slots of remote zones.
func (ps *poolState) bind(c *Counters, t *Table, p *pool, now clock.Instant) {
	load, slots := 0.0, 0.0
	for _, i := range p.local {
		l := &c.entryStats[i]
		if now.Before(l.freshUntil) {
			load += l.othersLoad + float64(l.state.inflight)
			slots += t.entries[i].slots
		}
	}
	ps.spilling = shouldSpill(ps.spilling, load, slots)
	ps.bindRemotes(c, t, p, now)
}

// shouldSpill applies the hysteresis to the use of this zone.
func shouldSpill(wasSpilling bool, load, slots float64) bool {
	if wasSpilling {
		return load > spillLeave*slots
	}
	return load >= spillEnter*slots
}

func (ps *poolState) bindRemotes(c *Counters, t *Table, p *pool, now clock.Instant) {
	ps.remotes, ps.freeSlots = ps.remotes[:0], ps.freeSlots[:0]
	for i := range p.remote {
		r := &p.remote[i]
		via := c.state(stateKey{toZone, p.name + "@" + string(t.zones[r.zone].name)})
		via.lastSeen = now
		room, at := 0.0, now
		for _, j := range r.entries {
			e := &t.entries[j]
			if !now.Before(e.freshUntil.Add(remoteGrace)) {
				continue
			}
			room += max(0, e.slots-float64(e.load.Running+e.load.Waiting))
			at = min(at, e.loadAt)
		}
		via.inflightAtReport = via.inflightHistory.at(at, via.inflight)
		ps.remotes = append(ps.remotes, via)
		ps.freeSlots = append(ps.freeSlots, room)
	}
}

// remoteFreeSlots estimates the current free slots of a remote zone. It subtracts
// what this node sent since the report, and the same number for each peer.
func (ps *poolState) remoteFreeSlots(i, peers int) float64 {
	sentSinceReport := max(0, ps.remotes[i].inflight-ps.remotes[i].inflightAtReport)
	return max(0, ps.freeSlots[i]-float64(sentSinceReport*(peers+1)))
}

// spillZone returns the index of the remote pool that a request is sent to, or -1
// if it stays in this zone. load and slots are the current use of this zone. The
// share of requests that leaves is proportional to the free slots of the zones.
func (d *decision) spillZone(load, slots float64) int {
	ps := d.ps
	if len(d.p.remote) == 0 || d.f.Hops > 0 {
		return -1
	}
	if !shouldSpill(ps.spilling, load, slots) {
		return -1
	}
	total := 0.0
	for i := range d.p.remote {
		total += d.usableFreeSlots(i)
	}
	if total == 0 {
		return -1
	}
	ownFree := max(0, slots-load)
	leaveShare := total / (total + ownFree)
	if slots > 0 {
		leaveShare *= min(1, (load/slots-spillLeave)/(spillEnter-spillLeave))
	}
	if d.rng.Float64() >= leaveShare {
		return -1
	}
	return d.drawByFreeSlots(total)
}

// drawByFreeSlots draws a remote pool with a probability proportional to its free
// slots.
func (d *decision) drawByFreeSlots(total float64) int {
	x := d.rng.Float64() * total
	last := -1
	for i := range d.p.remote {
		freeSlots := d.usableFreeSlots(i)
		if freeSlots == 0 {
			continue
		}
		last = i
		if x -= freeSlots; x < 0 {
			break
		}
	}
	return last
}

func (d *decision) usableFreeSlots(i int) float64 {
	if !d.isReachable(i) {
		return 0
	}
	return d.ps.remoteFreeSlots(i, d.t.peers)
}

// isReachable reports whether a remote pool has a fresh entry and an untried node.
func (d *decision) isReachable(i int) bool {
	r := &d.p.remote[i]
	return d.hasFreshEntry(r.entries) && d.pickNode(r.zone) >= 0
}

func (d *decision) hasFreshEntry(entries []int32) bool {
	for _, j := range entries {
		if d.now.Before(d.t.entries[j].freshUntil.Add(remoteGrace)) {
			return true
		}
	}
	return false
}

// zoneWithMostFreeSlots returns the reachable remote pool with the most free slots, or -1.
// It is used when no entry of this zone is eligible.
func (d *decision) zoneWithMostFreeSlots() int {
	best, most := -1, -1.0
	if d.f.Hops > 0 {
		return -1
	}
	for i := range d.p.remote {
		if !d.isReachable(i) {
			continue
		}
		if room := d.ps.remoteFreeSlots(i, d.t.peers); room > most {
			best, most = i, room
		}
	}
	return best
}

// pickNode draws two random nodes of the zone and returns the one with fewer
// requests in flight, or -1 if every node was tried.
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

// drawNode returns an untried node, searching from a random position, or -1.
func (d *decision) drawNode(nodes []int32) int32 {
	from := d.rng.IntN(len(nodes))
	for k := range nodes {
		n := nodes[(from+k)%len(nodes)]
		if len(d.f.Tried) == 0 || !d.f.hasTriedNode(d.t.nodes[n].vm) {
			return n
		}
	}
	return -1
}

// nodeChoice returns the choice of a node in the zone of remote pool i.
func (d *decision) nodeChoice(i int, reason string) Choice {
	n := d.pickNode(d.p.remote[i].zone)
	return Choice{
		Kind: ToNode, Node: d.t.nodes[n].vm, Reason: reason,
		dest: d.c.nodes[n], zonePool: d.ps.remotes[i],
	}
}
