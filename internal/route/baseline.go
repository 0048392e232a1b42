package route

// baseline selects a destination by one of the policies that the weighted policy
// is compared with. They use this zone as long as the reports show free slots in
// it.
func (d *decision) baseline() (Choice, Refusal) {
	if d.f.Hops == 0 && len(d.p.remote) > 0 && d.isReportedFull() {
		if z := d.baselineZone(); z >= 0 {
			return d.nodeChoice(z, reasonPolicy), Accepted
		}
	}
	i := d.baselineEntry()
	if i < 0 {
		return d.routeToOtherZone()
	}
	return d.entryChoice(i, reasonPolicy), Accepted
}

func (d *decision) baselineEntry() int32 {
	switch d.t.policy {
	case RoundRobin:
		return d.nextEligible(d.ps.nextTurn)
	case LeastReported:
		return d.leastReported()
	case TwoChoices:
		return d.twoChoices()
	default:
		return d.randomEntry()
	}
}

// randomEntry returns a random eligible entry, or -1.
func (d *decision) randomEntry() int32 {
	best, seen := int32(-1), 0
	for _, i := range d.p.local {
		if !d.isEligible(i) {
			continue
		}
		seen++
		if d.rng.IntN(seen) == 0 {
			best = i
		}
	}
	return best
}

// nextEligible returns the first eligible entry from position turn on, or -1.
func (d *decision) nextEligible(turn int) int32 {
	n := len(d.p.local)
	for k := range n {
		if i := d.p.local[(turn+k)%n]; d.isEligible(i) {
			return i
		}
	}
	return -1
}

func (d *decision) leastReported() int32 {
	best := int32(-1)
	for _, i := range d.p.local {
		if !d.isEligible(i) {
			continue
		}
		if best < 0 || d.reportedLoad(i) < d.reportedLoad(best) {
			best = i
		}
	}
	return best
}

func (d *decision) twoChoices() int32 {
	a, b := d.randomEntry(), d.randomEntry()
	if a >= 0 && d.reportedLoad(b) < d.reportedLoad(a) {
		return b
	}
	return a
}

func (d *decision) reportedLoad(i int32) int {
	l := &d.t.entries[i].load
	return l.Running + l.Waiting
}

// isReportedFull reports whether the reports show no free slot in this zone.
func (d *decision) isReportedFull() bool {
	load, slots := 0.0, 0.0
	for _, i := range d.p.local {
		if d.isEligible(i) {
			load += float64(d.reportedLoad(i))
			slots += d.t.entries[i].slots
		}
	}
	return load >= slots
}

// baselineZone returns the index of the remote pool chosen by the same policy, or
// -1 if none has free slots according to the reports.
func (d *decision) baselineZone() int {
	best, seen := -1, 0
	for i := range d.p.remote {
		if !d.isReachable(i) || d.ps.freeSlots[i] <= 0 {
			continue
		}
		seen++
		switch d.t.policy {
		case LeastReported, TwoChoices:
			if best < 0 || d.ps.freeSlots[i] > d.ps.freeSlots[best] {
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
