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

// HasRanks reports whether the streams of a service differ in rank.
func (c *Catalog) HasRanks(service string) bool { return len(c.ranks[service]) > 1 }

// InvalidRanks returns the names of the services with engines for which a rank outside 0 to
// MaxRank is declared, sorted.
func (c *Catalog) InvalidRanks() []string { return c.invalidRanks }

// indexRanks collects the ranks of each service's streams.
func (c *Catalog) indexRanks() {
	c.ranks = map[string][]int{}
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
	}
	slices.Sort(c.invalidRanks)
}

// streamRanks returns the distinct ranks that requests on the streams of a service may have,
// sorted.
func (c *Catalog) streamRanks(service string) []int {
	var ranks []int
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Repeat != Stream || !slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service }) {
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
