package route

import (
	"math/rand/v2"

	"chervilloom/internal/clock"
)

// The reasons of choices.
const (
	reasonWait    = "least expected wait in the own zone"
	reasonPrefix  = "the prompt's prefix is cached there and it has room"
	reasonHome    = "the prompt's prefix belongs there and it has room"
	reasonSample  = "least expected wait of a random sample"
	reasonSpill   = "the own zone is full; drawn by room among the other zones"
	reasonNowhere = "nothing in the own zone can take it"
	reasonPolicy  = "chosen by the baseline policy"
)

// decision is one call of Decide.
type decision struct {
	t   *Table
	c   *Counters
	f   *Facts
	now clock.Instant
	rng *rand.Rand
	p   *pool
	ps  *poolState
}

// Decide chooses a destination for a request. The counters must be aligned with
// the table. It changes nothing but the random source; the Refusal is Accepted
// when there is a choice.
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

// can reports whether an entry of the own zone may be chosen.
func (d *decision) can(i int32) bool {
	if !d.now.Before(d.c.lanes[i].freshUntil) {
		return false
	}
	return len(d.f.Tried) == 0 || !d.f.triedEntry(&d.t.entries[i])
}

// refuse finds the reason why nothing was found.
func (d *decision) refuse() Refusal {
	switch {
	case d.p.ready == 0:
		return NoneWhole
	case d.f.Hops > 0 && len(d.p.local) == 0:
		return NoneInZone
	case d.anyFreshLocal() || d.f.Hops == 0 && d.anyFreshRemote():
		return AllTried
	default:
		return AllStale
	}
}

func (d *decision) anyFreshLocal() bool {
	for _, i := range d.p.local {
		if d.now.Before(d.t.entries[i].freshUntil) {
			return true
		}
	}
	return false
}

func (d *decision) anyFreshRemote() bool {
	for i := range d.p.remote {
		if d.anyFresh(d.p.remote[i].entries) && len(d.t.zones[d.p.remote[i].zone].nodes) > 0 {
			return true
		}
	}
	return false
}

// elsewhere is the way out when nothing in the own zone can take the request.
func (d *decision) elsewhere() (Choice, Refusal) {
	if z := d.anyZone(); z >= 0 {
		return d.toNode(z, reasonNowhere), Accepted
	}
	return Choice{}, d.refuse()
}

// toEntry makes the choice of an entry of the own zone.
func (d *decision) toEntry(i int32, reason string) Choice {
	e := &d.t.entries[i]
	ch := Choice{Kind: ToGroup, Group: e.group, VM: e.vm, Reason: reason, on: d.c.lanes[i].s}
	if e.vm != nil {
		ch.Kind = ToEndpoint
	}
	return ch
}
