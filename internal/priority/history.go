package priority

import (
	"math"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
)

const (
	// rateSeconds is the time constant of arrival rates. A burst lasts four seconds or more, and
	// a node of 58 gets six requests of the most frequent class a second.
	rateSeconds = 2.0
	// shareSeconds is the time constant of the shares that ranks and organisations were served.
	// A node gets one request of the rarest class in three seconds; over a shorter time its
	// share would be that of one or two requests.
	shareSeconds = 10.0
	// maxOrganisations bounds the organisations that are counted for a model. Requests of
	// further ones are not limited to a share.
	maxOrganisations = 256
	// minCount is the decayed number of requests below which an organisation is forgotten.
	minCount = 0.01
)

// decay is an exponential decay up to an instant.
type decay struct {
	at      clock.Instant
	covered float64 // seconds that the decayed counts cover, less than the time constant after the start
}

// advance returns the factor by which counts decay until now.
func (d *decay) advance(now clock.Instant, seconds float64) float64 {
	if d.at == 0 {
		d.at = now
	}
	f := math.Exp(-max(0, now.Sub(d.at).Seconds()) / seconds)
	d.covered = d.covered*f + (1-f)*seconds
	d.at = max(d.at, now)
	return f
}

// count is a decayed number of requests.
type count struct {
	asked  float64
	placed float64 // of asked: those that were sent to an endpoint
	wanted float64 // of an organisation: those that were not refused for their rank
}

// served returns the share of requests that were placed.
func (c count) served() float64 {
	if c.asked <= 0 {
		return 1
	}
	return c.placed / c.asked
}

func (c *count) scale(f float64) {
	c.asked *= f
	c.placed *= f
	c.wanted *= f
}

// History counts the recent requests for one model at this node. Its zero value is ready for use.
type History struct {
	rates         decay
	arrivals      [catalog.MaxRank + 1]float64 // by level
	shares        decay
	levels        [catalog.MaxRank + 1]count
	admitted      float64 // requests that Admit did not refuse, decayed like levels
	organisations map[string]*count
	refusedAt     clock.Instant // newest refusal for want of slots
}

func (h *History) advance(now clock.Instant) {
	if now == h.shares.at { // as for the further counts of the same request
		return
	}
	f := h.rates.advance(now, rateSeconds)
	for i := range h.arrivals {
		h.arrivals[i] *= f
	}
	f = h.shares.advance(now, shareSeconds)
	for i := range h.levels {
		h.levels[i].scale(f)
	}
	h.admitted *= f
	for name, c := range h.organisations {
		c.scale(f)
		if c.asked+c.placed < minCount {
			delete(h.organisations, name)
		}
	}
}

// CountArrival counts the arrival of a request. An early retry is not counted: otherwise a client that
// repeats its request would raise the share that its rank and organisation appear to lack.
func (h *History) CountArrival(now clock.Instant, r Request) {
	h.advance(now)
	if r.Early {
		return
	}
	h.arrivals[r.Level]++
	h.levels[r.Level].asked++
	if c := h.organisation(r.Organisation); c != nil {
		c.asked++
	}
}

// Place counts a request that is sent to an endpoint.
func (h *History) Place(now clock.Instant, r Request) { h.addPlaced(now, r, 1) }

// Withdraw takes back the count of Place for a request that was refused after all.
func (h *History) Withdraw(now clock.Instant, r Request) { h.addPlaced(now, r, -1) }

func (h *History) addPlaced(now clock.Instant, r Request, n float64) {
	h.advance(now)
	if !r.Early {
		h.levels[r.Level].placed = max(0, h.levels[r.Level].placed+n)
	}
	if c := h.organisation(r.Organisation); c != nil {
		c.placed = max(0, c.placed+n)
	}
}

// Refuse records that a request was refused for want of slots.
func (h *History) Refuse(now clock.Instant) { h.refusedAt = max(h.refusedAt, now) }

// organisation returns the count of an organisation, or nil without one.
func (h *History) organisation(name string) *count {
	c := h.organisations[name]
	if c != nil || name == "" || len(h.organisations) >= maxOrganisations {
		return c
	}
	if h.organisations == nil {
		h.organisations = map[string]*count{}
	}
	c = &count{}
	h.organisations[name] = c
	return c
}

// ArrivalRate returns the requests a second at this node of a level and of the more urgent ones.
func (h *History) ArrivalRate(now clock.Instant, level int) float64 {
	h.advance(now)
	return h.rate(0, level)
}

// rate returns the arrivals a second of the levels from first up to and including last.
func (h *History) rate(first, last int) float64 {
	n := 0.0
	for i := first; i <= last; i++ {
		n += h.arrivals[i]
	}
	const minCovered = rateSeconds / 4 // a few requests right after the start are no rate
	return n / max(minCovered, h.rates.covered)
}

// overall returns the counts of all ranks together.
func (h *History) overall() count {
	var sum count
	for _, c := range h.levels {
		sum.asked += c.asked
		sum.placed += c.placed
	}
	return sum
}
