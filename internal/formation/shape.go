package formation

import "chervilloom/internal/catalog"

// spareShare is the engines of a domain for each one that is kept out of groups,
// to take the place of a member that is lost. Without a spare a group of sixteen
// waits for another group to be closed, 4 to 5 s instead of 0.8 s.
const spareShare = 8

// reserve returns how many of n engines of a domain are kept as spares.
func reserve(n int) int { return n / spareShare }

// shape returns how many groups of each model n engines of a domain are to form,
// in the order of models: by their shares of the work, with the reserve left over.
func shape(models []catalog.Model, share func(*catalog.Model) float64, n int) []int {
	counts := make([]int, len(models))
	for left := n; ; {
		best := -1
		var bestSupply, bestShare float64
		for i := range models {
			m := &models[i]
			if m.Size <= 0 || left-m.Size < reserve(n) {
				continue
			}
			supply := float64(counts[i]) / share(m)
			if best < 0 || supply < bestSupply || supply == bestSupply && share(m) > bestShare {
				best, bestSupply, bestShare = i, supply, share(m)
			}
		}
		if best < 0 {
			return counts
		}
		counts[best]++
		left -= models[best].Size
	}
}

// mayForm reports whether the free engines of a domain may form one more group of
// the model: while it has fewer than its shape, with the reserve left over, or
// when its requests find no place.
func (p *planner) mayForm(domain string, m *catalog.Model, free int) bool {
	n := free
	have := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Domain != domain || p.mem.closing[g.Name] != nil {
			continue
		}
		n += len(g.Members)
		if g.Model == m.Name {
			have++
		}
	}
	if free-m.Size >= reserve(n) || p.in.Pressure[m.Name] > pressed {
		return true
	}
	models := p.in.Engine.Models
	for i, want := range shape(models, p.share, n) {
		if models[i].Name == m.Name {
			return have < want
		}
	}
	return false
}

// pressed is the share of a model's requests without a place from which spares
// are of more use as a group.
const pressed = 0.1
