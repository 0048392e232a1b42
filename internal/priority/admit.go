package priority

import (
	"math"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// Request is what the decisions of this package depend on.
type Request struct {
	Level        int    // position of the rank, see Level
	Organisation string // empty: none
	Resumed      bool   // its stream has begun
	Early        bool   // a client's retry before the time that its refusal stated
}

// Supply is the capacity for a model as this node sees it.
type Supply struct {
	Slots    float64 // slots of all usable endpoints
	Free     float64 // of Slots: those that requests can be sent to
	Turnover float64 // slots that become free a second
	Nodes    int     // nodes that share the slots
}

// Reason is the outcome of a decision.
type Reason string

// Reasons returned by Admit.
const (
	Admitted          Reason = ""
	ShortForRank      Reason = "rank"         // free slots are short for more urgent requests
	OverOrganisations Reason = "organisation" // free slots are short, and the organisation has more than its share
)

const (
	// horizon is the time within which the free slots are brought to the reserve. Nodes see loads
	// 60 to 200 ms late; with a time not well above that, all admit on the same free slots
	// and then refuse together.
	horizon = 500 * time.Millisecond
	// lag is the time for which the reserve covers the fluctuation of arrivals and ends: the
	// greatest age of the loads.
	lag = 200 * time.Millisecond
	// reserveDeviations is the reserve in standard deviations of the number of slots that become
	// free within the lag. Slots kept for all arrivals of the lag as well left a twelfth of a
	// simulated fleet unused.
	reserveDeviations = 3
	// maxReserveShare bounds the reserve as a share of all slots, and freeShare is the share of free
	// slots above which nothing is refused, whatever the arrival rates.
	maxReserveShare = 0.25
	freeShare       = 0.25
	// guardShare is the share of the overall service rate below which a rank or organisation is
	// not refused in favour of others. A quarter is required; the rest is a margin for
	// admitted requests that find every endpoint full.
	guardShare = 0.32
	// refusalMemory is how long after a refusal organisations are limited to their shares.
	refusalMemory = time.Second
)

// Admit decides whether a request may use a slot. CountArrival must have counted it. draw is uniform in
// [0, 1): while free slots are short, requests are admitted at the rate that leaves the
// reserve for more urgent ones.
func (h *History) Admit(now clock.Instant, s Supply, r Request, draw float64) Reason {
	h.advance(now)
	reason := h.decide(now, s, r, draw)
	if reason == Admitted && !r.Early {
		h.admitted++
	}
	return reason
}

func (h *History) decide(now clock.Instant, s Supply, r Request, draw float64) Reason {
	if r.Resumed || s.Slots <= 0 {
		return Admitted
	}
	nodes := float64(max(1, s.Nodes))
	own := nodes * h.rate(r.Level, r.Level)
	ahead := nodes * h.rate(0, r.Level-1)
	if r.Early {
		if draw >= chance(s, ahead+own, own) {
			return ShortForRank
		}
		return Admitted
	}
	ofRank := max(h.leastChance(), chance(s, ahead, own))
	guarded := h.isGuarded(r)
	if draw >= ofRank && !guarded {
		return ShortForRank
	}
	if c := h.organisation(r.Organisation); c != nil {
		c.wanted++
	}
	if guarded {
		return Admitted
	}
	draw /= ofRank // uniform again
	if h.refusedAt == 0 || now.Sub(h.refusedAt) > refusalMemory {
		return Admitted
	}
	within, all := h.organisationShare(r.Organisation)
	if within = max(within, h.leastChance()); draw < within {
		return Admitted
	}
	draw = (draw - within) / (1 - within)
	if draw >= chance(s, ahead+own*all, own*(1-all)) {
		return OverOrganisations
	}
	return Admitted
}

// chance returns the share of requests with the arrival rate own to admit, while requests at the
// rate ahead come before them. All rates are those of all nodes.
func chance(s Supply, ahead, own float64) float64 {
	if ahead <= 0 || s.Free > freeShare*s.Slots {
		return 1
	}
	reserve := min(reserveDeviations*math.Sqrt(s.Turnover*lag.Seconds()), maxReserveShare*s.Slots)
	if s.Turnover > 0 {
		reserve = min(reserve, ahead/s.Turnover*s.Slots) // no more than these requests ever occupy
	}
	allowed := (s.Free-reserve)/horizon.Seconds() + s.Turnover - ahead
	if allowed <= 0 {
		return 0
	}
	return min(1, allowed/max(own, math.SmallestNonzeroFloat64))
}

// leastChance is the least share of any rank's or organisation's requests that is admitted.
func (h *History) leastChance() float64 {
	if all := h.overall(); all.asked > 0 {
		return guardShare * min(1, h.admitted/all.asked)
	}
	return 1
}

// isGuarded reports whether the request's rank or organisation is served so much less often than
// all requests that it must not be refused in favour of others.
func (h *History) isGuarded(r Request) bool {
	if r.Early {
		return false
	}
	least := guardShare * h.overall().served()
	if h.levels[r.Level].served() < least {
		return true
	}
	c := h.organisations[r.Organisation]
	return c != nil && c.served() < least
}

// organisationShare returns the part of an organisation's requests that is within its share of
// the slots, and the part of all organisations' requests that is within their shares. A part of
// the requests, and not all while a count exceeds the share, keeps the organisation from
// alternating between all slots and none.
func (h *History) organisationShare(name string) (within, all float64) {
	c := h.organisations[name]
	if c == nil || len(h.organisations) < 2 {
		return 1, 0
	}
	limit := h.fairShare()
	if c.wanted <= limit {
		return 1, 0
	}
	total, inShares := 0.0, 0.0
	for _, o := range h.organisations {
		total += o.wanted
		inShares += min(o.wanted, limit)
	}
	return limit / c.wanted, inShares / total
}

// fairShare returns the number of placed requests that each organisation gets if the capacity is
// divided evenly and what an organisation does not ask for is left to the others.
func (h *History) fairShare() float64 {
	wanted := make([]float64, 0, len(h.organisations))
	left := 0.0
	for _, o := range h.organisations {
		wanted = append(wanted, o.wanted)
		left += o.placed
	}
	slices.Sort(wanted)
	for i, n := range wanted {
		if even := left / float64(len(wanted)-i); n >= even {
			return even
		}
		left -= n
	}
	return math.Inf(1) // all requests were placed
}
