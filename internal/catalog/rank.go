package catalog

import "slices"

// MaxRank is the highest valid rank, that of the least urgent requests.
const MaxRank = 9

// Rank returns the rank of an organisation's requests on the route; o may be nil. Rank 0 is
// the most urgent. A rank that the organisation declares replaces the route's.
func (r *Route) Rank(o *Organisation) int {
	if o != nil && o.Priority != NoPriority {
		return o.Priority
	}
	return r.Priority
}

// Ranks returns the distinct ranks of the streams of a service with an engine, the most urgent
// first. It returns nil for a service without an engine and if a rank is invalid, see
// InvalidRanks: its requests are then treated alike.
func (c *Catalog) Ranks(service string) []int {
	return c.ranks[service]
}

// HasRankedRoutes reports whether the routes of a service's streams differ in rank. Organisations
// that declare a rank of their own do not count: a customer whose routes are all alike has not asked
// for some of its requests to be refused in favour of others.
func (c *Catalog) HasRankedRoutes(service string) bool { return c.rankedRoutes[service] }

// InvalidRanks returns the names of the services with engines for which a rank outside 0 to
// MaxRank is declared, sorted.
func (c *Catalog) InvalidRanks() []string { return c.invalidRanks }

// indexRanks collects the ranks of each service's streams.
func (c *Catalog) indexRanks() {
	c.ranks, c.rankedRoutes = map[string][]int{}, map[string]bool{}
	for name, s := range c.services {
		if s.Engine == nil {
			continue
		}
		ranks := c.streamRanks(name)
		if slices.ContainsFunc(ranks, func(r int) bool { return r < 0 || r > MaxRank }) {
			c.invalidRanks = append(c.invalidRanks, name)
			continue
		}
		c.ranks[name] = ranks
		c.rankedRoutes[name] = len(c.routeRanks(name)) > 1
	}
	slices.Sort(c.invalidRanks)
}

// routeRanks returns the distinct ranks of the routes of a service's streams, sorted.
func (c *Catalog) routeRanks(service string) []int {
	var ranks []int
	for i := range c.Routes {
		if r := &c.Routes[i]; r.isStreamOf(service) {
			ranks = append(ranks, r.Priority)
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

func (r *Route) isStreamOf(service string) bool {
	return r.Repeat == Stream && slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service })
}

// streamRanks returns the distinct ranks that requests on the streams of a service may have,
// sorted.
func (c *Catalog) streamRanks(service string) []int {
	var ranks []int
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.isStreamOf(service) {
			continue
		}
		if len(c.Organisations) == 0 || r.Public {
			ranks = append(ranks, r.Rank(nil))
		}
		if r.Public {
			continue
		}
		for j := range c.Organisations {
			ranks = append(ranks, r.Rank(&c.Organisations[j]))
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}
