package formation

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/lease"
	"chervilloom/internal/roster"
)

// putBack writes the claims again after the table came back from an older copy, under the
// lease that was put back before. In a tenure nobody else writes them, so what this owner
// knows is all there is; taken from the copy, groups formed since would be closed as
// groups that no claim knows, and those ended since would claim members of others.
func (c *Controller) putBack(ctx context.Context, grant lease.Grant) bool {
	known, before := c.ledger, c.row
	if !c.readLedger(ctx) || c.row.Era != grant.Era || !c.commit(ctx, grant, known) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ledger, c.row = known, before // tried again
		return false
	}
	c.Log.Info("claims put back", "zone", c.Zone, "fence", grant.Fence, "era", grant.Era, "groups", len(known.Groups))
	return true
}

// completeClaims completes claims that are an older copy, whose owner has ended as well, by
// what the engines report. Until that is committed nothing is planned: groups serve on
// meanwhile. It returns claims to commit, if any, and whether planning may go on.
func (c *Controller) completeClaims() (complete *Ledger, ready bool) {
	if !c.partial || !c.loaded {
		return nil, true
	}
	if c.Clock.Now().Sub(c.since) < recoverLimit && !allReported(c.facts, c.since) {
		return nil, false
	}
	l := c.ledger
	for _, g := range standing(c.facts, l, c.kindOf) {
		l.Groups = append(slices.Clip(l.Groups), g)
		c.Log.Info("group stands without a claim; it is claimed again", "zone", c.Zone, "group", g.Name, "epoch", g.Epoch, "model", g.Model, "members", len(g.Members))
	}
	return &l, false
}

// kindOf returns the service of a head and the size of the groups of its model; 0: unknown.
func (c *Controller) kindOf(head *Fact) (service string, size int) {
	e, cat := c.Roster().Get(head.ID), c.Catalog()
	if e == nil || cat == nil {
		return "", 0
	}
	s := cat.Service(e.Service)
	if s == nil || s.Engine == nil {
		return "", 0
	}
	if m := s.Engine.Model(head.Report.Model); m != nil {
		size = m.Size
	}
	return e.Service, size
}

// recoverLimit is how long an owner waits for reports of all engines before it goes by
// those that came: an engine that doesn't answer is taken for dead sooner.
const recoverLimit = time.Second

// allReported reports whether each engine has told its state since the tenure began, by
// the lag of reports, or doesn't answer.
func allReported(facts map[roster.ID]*Fact, since clock.Instant) bool {
	if len(facts) == 0 {
		return false
	}
	for _, f := range facts {
		if f.Answered.Before(since.Add(reportLag)) && f.Failures < 2 {
			return false
		}
	}
	return true
}

// standing returns the groups that serve and that no claim names: their heads take
// requests, and the engine of each rank says that it is in the group. A group of which a
// member is missing stands still anyway, and its engines leave it.
func standing(facts map[roster.ID]*Fact, l Ledger, kindOf func(head *Fact) (service string, size int)) []Group {
	named := map[string]bool{}
	for _, g := range l.Groups {
		named[g.Name] = true
	}
	members := map[string][]*Fact{}
	for _, f := range facts {
		m := f.Report.Member
		if m.Group != "" && !isStandby(m) && !named[m.Group] && !f.Gone && f.Failures == 0 {
			members[m.Group] = append(members[m.Group], f)
		}
	}
	var out []Group
	for _, name := range slices.Sorted(maps.Keys(members)) {
		fs := members[name]
		slices.SortFunc(fs, func(a, b *Fact) int { return cmp.Compare(a.Report.Member.Rank, b.Report.Member.Rank) })
		service, size := kindOf(fs[0])
		if size == 0 || len(fs) != size || !serves(fs) {
			continue
		}
		g := Group{Name: name, Epoch: fs[0].Report.Member.Epoch, Service: service, Model: fs[0].Report.Model, Domain: fs[0].Domain}
		for _, f := range fs {
			g.Members = append(g.Members, f.ID)
		}
		out = append(out, g)
	}
	return out
}

// serves reports whether engines in the order of their ranks are a whole group that takes
// requests.
func serves(fs []*Fact) bool {
	head := fs[0].Report.Member
	for rank, f := range fs {
		m := f.Report.Member
		if m.Rank != rank || m.Epoch != head.Epoch || rank > 0 && m.State != roster.Ready {
			return false
		}
	}
	return head.State == roster.Open
}
