package route

import (
	"math/rand/v2"

	"chervilloom/internal/clock"
)

// Reasons of choices, as shown in explanations.
const (
	reasonWait    = "least expected wait in the own zone"
	reasonPrefix  = "the prompt's prefix is cached there and it has room"
	reasonHome    = "the prompt's prefix belongs there and it has room"
	reasonSample  = "least expected wait of a random sample"
	reasonSpill   = "the own zone is full; drawn by room among the other zones"
	reasonNoLocal = "nothing in the own zone can take it"
	reasonPolicy  = "chosen by the baseline policy"
)

// decision holds the inputs of one call of Decide.
type decision struct {
	t   *Table
	c   *Counters
	f   *Facts
	now clock.Instant
	rng *rand.Rand
	p   *pool
	ps  *poolState
}

// Decide selects a destination for a request. The counters must be bound to the
// table. It changes only the random source. The Refusal is Accepted if a
// destination was found.
func Decide(t *Table, c *Counters, f *Facts, now clock.Instant, rng *rand.Rand) (Choice, Refusal) {
	p, i := t.pool(f)
	if p == nil {
		return Choice{}, NoneCarries
	}
	d := decision{t: t, c: c, f: f, now: now, rng: rng, p: p, ps: c.poolState[i]}
	if t.policy == Weighted {
		return d.weighted()
	}
	return d.baseline()
}

// isEligible reports whether an entry of this zone is fresh and was not tried.
func (d *decision) isEligible(i int32) bool {
	if !d.now.Before(d.c.entryStats[i].freshUntil) {
		return false
	}
	return len(d.f.Tried) == 0 || !d.f.hasTriedEntry(&d.t.entries[i])
}

// refusalReason returns why no destination was found.
func (d *decision) refusalReason() Refusal {
	switch {
	case d.p.ready == 0:
		return NoneWhole
	case d.f.Hops > 0 && len(d.p.local) == 0:
		return NoneInZone
	case d.hasFreshLocal() || d.f.Hops == 0 && d.hasFreshRemote():
		return AllTried
	default:
		return AllStale
	}
}

func (d *decision) hasFreshLocal() bool {
	for _, i := range d.p.local {
		if d.now.Before(d.t.entries[i].freshUntil) {
			return true
		}
	}
	return false
}

func (d *decision) hasFreshRemote() bool {
	for i := range d.p.remote {
		if d.hasFreshEntry(d.p.remote[i].entries) && len(d.t.zones[d.p.remote[i].zone].nodes) > 0 {
			return true
		}
	}
	return false
}

// routeToOtherZone selects a node of another zone when no entry of this zone is
// eligible. Without one it returns the refusal.
func (d *decision) routeToOtherZone() (Choice, Refusal) {
	if z := d.zoneWithMostFreeSlots(); z >= 0 {
		return d.nodeChoice(z, reasonNoLocal), Accepted
	}
	return Choice{}, d.refusalReason()
}

// entryChoice returns the choice of an entry of this zone.
func (d *decision) entryChoice(i int32, reason string) Choice {
	e := &d.t.entries[i]
	ch := Choice{Kind: ToGroup, Group: e.group, VM: e.vm, Reason: reason, dest: d.c.entryStats[i].state}
	if e.vm != nil {
		ch.Kind = ToEndpoint
	}
	return ch
}
