package route

// baseline chooses by one of the policies that the weighted one is compared
// with. All of them stay in the own zone while the reports show room there.
func (d *decision) baseline() (Choice, Refusal) {
	if d.f.Hops == 0 && len(d.p.remote) > 0 && d.reportedFull() {
		if z := d.baselineZone(); z >= 0 {
			return d.toNode(z, reasonPolicy), Accepted
		}
	}
	i := d.baselineEntry()
	if i < 0 {
		return d.elsewhere()
	}
	return d.toEntry(i, reasonPolicy), Accepted
}

func (d *decision) baselineEntry() int32 {
	switch d.t.policy {
	case RoundRobin:
		return d.firstFrom(d.ps.turn)
	case LeastReported:
		return d.leastReported()
	case TwoChoices:
		return d.twoChoices()
	default:
		return d.drawEntry()
	}
}

// drawEntry draws one of the entries that can take the request.
func (d *decision) drawEntry() int32 {
	best, seen := int32(-1), 0
	for _, i := range d.p.local {
		if !d.can(i) {
			continue
		}
		seen++
		if d.rng.IntN(seen) == 0 {
			best = i
		}
	}
	return best
}

// firstFrom returns the first entry from the cursor on that can take it.
func (d *decision) firstFrom(turn int) int32 {
	n := len(d.p.local)
	for k := range n {
		if i := d.p.local[(turn+k)%n]; d.can(i) {
			return i
		}
	}
	return -1
}

func (d *decision) leastReported() int32 {
	best := int32(-1)
	for _, i := range d.p.local {
		if !d.can(i) {
			continue
		}
		if best < 0 || d.reported(i) < d.reported(best) {
			best = i
		}
	}
	return best
}

func (d *decision) twoChoices() int32 {
	a, b := d.drawEntry(), d.drawEntry()
	if a >= 0 && d.reported(b) < d.reported(a) {
		return b
	}
	return a
}

func (d *decision) reported(i int32) int {
	l := &d.t.entries[i].load
	return l.Running + l.Waiting
}

// reportedFull reports whether the own zone has no free slot by the reports.
func (d *decision) reportedFull() bool {
	load, slots := 0.0, 0.0
	for _, i := range d.p.local {
		if d.can(i) {
			load += float64(d.reported(i))
			slots += d.t.entries[i].slots
		}
	}
	return load >= slots
}

// baselineZone returns the remote pool by the same policy, or -1 when none has
// room by the reports.
func (d *decision) baselineZone() int {
	best, seen := -1, 0
	for i := range d.p.remote {
		if !d.reachable(i) || d.ps.room[i] <= 0 {
			continue
		}
		seen++
		switch d.t.policy {
		case LeastReported, TwoChoices:
			if best < 0 || d.ps.room[i] > d.ps.room[best] {
				best = i
			}
		default:
			if d.rng.IntN(seen) == 0 {
				best = i
			}
		}
	}
	return best
}
