package formation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/roster"
)

// domains returns the fabric domains of the zone's engines, sorted.
func (p *planner) domains() []string {
	var out []string
	for _, f := range p.in.Engines {
		if !slices.Contains(out, f.Domain) {
			out = append(out, f.Domain)
		}
	}
	slices.Sort(out)
	return out
}

// freeEngines returns the engines of a domain that are available for a new group, sorted
// by ID. It orders engines in unclaimed groups to leave them.
func (p *planner) freeEngines(domain string) []*EngineState {
	var out []*EngineState
	for id, f := range p.in.Engines {
		if f.Domain != domain || p.claimed[id] || !p.isEligible(id) {
			continue
		}
		if p.ensureUnattached(f) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *EngineState) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// isEligible reports whether an engine may be a member of a new group. Slow engines are
// excluded, because a group runs at the speed of its slowest member.
func (p *planner) isEligible(id roster.ID) bool {
	f := p.in.Engines[id]
	return f != nil && !f.Draining && f.Listed && p.health(id) == alive && !f.isSlow()
}

// slowPace is the reported pace above which an engine is excluded from groups. Slow
// engines were observed at 2 to 12 times their usual time; a group at 1.5 times
// still meets its event deadlines.
const slowPace = 1.5

func (f *EngineState) isSlow() bool { return f.Report.Pace > slowPace }

// supply returns the number of engines in a model's groups relative to the model's share
// of the work.
func (p *planner) supply(m *catalog.Model, domain string) float64 {
	return p.supplyOf(m, float64(p.countGroups(m.Name, domain)))
}

// supplyOf returns the supply for a number of groups. A model's share is a share of
// engine time: a group of four uses twice the engines of a group of two and does the work
// of one group.
func (p *planner) supplyOf(m *catalog.Model, groups float64) float64 {
	return groups * float64(m.Size) / p.workShare(m)
}

const (
	// maxJoinWithoutLoad separates joins that warm up staged weights (1 to 2 s by the
	// engines' published times) from those that load weights first.
	maxJoinWithoutLoad = 3 * time.Second
	// minShare is the minimum share of a model, for models declared without one.
	minShare = 0.01
)

// countGroups returns the number of a model's groups that serve or are about to, as seen
// when planning a domain. A group of another domain that has only just begun to close is
// included: its remaining members will form a replacement shortly, so this domain's
// engines must not be converted to its model.
func (p *planner) countGroups(model, domain string) int {
	n := 0
	for i := range p.out.Ledger.Groups {
		g := &p.out.Ledger.Groups[i]
		if g.Service != p.in.Service || g.Model != model {
			continue
		}
		c := p.mem.closing[g.Name]
		if c == nil || g.Domain != domain && p.in.Now.Sub(c.since) < groupCloseTime {
			n++
		}
	}
	return n
}

// groupCloseTime is the time a group with a responsive head takes to close.
const groupCloseTime = 500 * time.Millisecond

// chooseMembers returns the engines that can join a group of the model soonest.
func (p *planner) chooseMembers(free []*EngineState, m *catalog.Model) []roster.ID {
	sorted := slices.Clone(free)
	slices.SortStableFunc(sorted, func(a, b *EngineState) int {
		return cmp.Compare(p.timeToReady(a, m), p.timeToReady(b, m))
	})
	ids := make([]roster.ID, m.Size)
	for i := range ids {
		ids[i] = sorted[i].ID
	}
	return ids
}

// hotJoinTime is the duration of a join if the engine's newest group had the same model.
const hotJoinTime = 200 * time.Millisecond

// timeToReady estimates the time until the engine could be ready in a group of the model.
func (p *planner) timeToReady(f *EngineState, m *catalog.Model) time.Duration {
	switch {
	case f.Report.Model == m.Name:
		return hotJoinTime
	case slices.Contains(f.Report.Staged, m.Name):
		return m.Warm
	}
	l, loading := p.mem.loading[f.ID]
	if loading && l.model == m.Name {
		return max(m.Warm, m.Load+m.Warm-p.in.Now.Sub(l.since))
	}
	if other := p.in.Engine.Model(l.model); loading && other != nil {
		return max(0, other.Load-p.in.Now.Sub(l.since)) + m.Load + m.Warm
	}
	return m.Load + m.Warm
}

// formGroup claims the members of a new group. It reports false if the load limits don't
// allow the loads that the group needs.
func (p *planner) formGroup(domain string, m *catalog.Model, members []roster.ID) bool {
	requiredLoads := 0
	for _, id := range members {
		if p.needsLoad(p.in.Engines[id], m.Name) {
			requiredLoads++
		}
	}
	if !p.canStartLoads(requiredLoads) {
		return false
	}
	for _, id := range members {
		if p.needsLoad(p.in.Engines[id], m.Name) {
			p.recordLoad(id, m.Name)
		}
	}
	epoch := p.in.NextEpoch()
	g := Group{
		Name: fmt.Sprintf("%s-%d", p.in.Zone, epoch), Epoch: epoch,
		Service: p.in.Service, Model: m.Name, Domain: domain, Members: members,
	}
	p.mem.firstSeen[g.Name] = p.in.Now
	p.mem.formed[g.Name] = true
	p.out.Changed = true
	p.noteDecision("group %s forms for %s with %s, %d loads", g.Name, m.Name, p.describeEngines(members, m), requiredLoads)
	p.keepClaim(&g)
	p.advanceGroup(&g)
	return true
}

// describeEngines lists engines with their estimated times to join a group of the model.
func (p *planner) describeEngines(ids []roster.ID, m *catalog.Model) string {
	var b strings.Builder
	for i, id := range ids {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s(%v)", id, p.timeToReady(p.in.Engines[id], m).Round(100*time.Millisecond))
	}
	return b.String()
}
