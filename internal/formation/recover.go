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

// restoreClaims writes the claims again, under the restored lease, after the table was
// restored from an older copy. Only the owner writes claims during its tenure, so its own
// are complete. With the copy's claims, groups formed since would be closed as unclaimed,
// and groups ended since would claim members of others.
func (c *Controller) restoreClaims(ctx context.Context, grant lease.Grant) bool {
	known, before := c.ledger, c.ledgerRow
	if !c.readLedger(ctx) || c.ledgerRow.Era != grant.Era || !c.commit(ctx, grant, known) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ledger, c.ledgerRow = known, before // retried in the next tick
		return false
	}
	c.Log.Info("claims restored", "zone", c.Zone, "fence", grant.Fence, "era", grant.Era, "groups", len(known.Groups))
	return true
}

// completeClaims completes claims from an older copy whose owner has ended too, using the
// engines' reports. Nothing is planned until the result is committed; groups keep serving
// meanwhile. It returns the claims to commit, if any, and whether planning may proceed.
func (c *Controller) completeClaims() (complete *Ledger, ready bool) {
	if !c.ledgerStale || !c.ledgerLoaded {
		return nil, true
	}
	if c.Clock.Now().Sub(c.tenureStart) < recoverTimeout && !allReported(c.engineStates, c.tenureStart) {
		return nil, false
	}
	l := c.ledger
	for _, g := range unclaimedGroups(c.engineStates, l, c.serviceAndGroupSize) {
		l.Groups = append(slices.Clip(l.Groups), g)
		c.Log.Info("serving group has no claim; claiming it again", "zone", c.Zone, "group", g.Name, "epoch", g.Epoch, "model", g.Model, "members", len(g.Members))
	}
	return &l, false
}

// serviceAndGroupSize returns the service of a head and the group size of its model, or
// size 0 if unknown.
func (c *Controller) serviceAndGroupSize(head *EngineState) (service string, size int) {
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

// recoverTimeout is how long a new owner waits for reports of all engines before it
// proceeds with those received. An unresponsive engine is considered dead earlier than
// that.
const recoverTimeout = time.Second

// allReported reports whether each engine either has reported its state from after the
// start of the tenure, allowing for the report lag, or is unresponsive.
func allReported(engineStates map[roster.ID]*EngineState, since clock.Instant) bool {
	if len(engineStates) == 0 {
		return false
	}
	for _, f := range engineStates {
		if f.ReportedAt.Before(since.Add(reportLag)) && f.Failures < 2 {
			return false
		}
	}
	return true
}

// unclaimedGroups returns the serving groups without a claim: the head accepts requests,
// and the engine of each rank reports its membership. A group with a missing member is
// stalled anyway and is left out, so its engines are ordered to leave it.
func unclaimedGroups(engineStates map[roster.ID]*EngineState, l Ledger, serviceAndGroupSize func(head *EngineState) (service string, size int)) []Group {
	named := map[string]bool{}
	for _, g := range l.Groups {
		named[g.Name] = true
	}
	members := map[string][]*EngineState{}
	for _, f := range engineStates {
		m := f.Report.Member
		if m.Group != "" && !isStandby(m) && !named[m.Group] && !f.Ended && f.Failures == 0 {
			members[m.Group] = append(members[m.Group], f)
		}
	}
	var out []Group
	for _, name := range slices.Sorted(maps.Keys(members)) {
		fs := members[name]
		slices.SortFunc(fs, func(a, b *EngineState) int { return cmp.Compare(a.Report.Member.Rank, b.Report.Member.Rank) })
		service, size := serviceAndGroupSize(fs[0])
		if size == 0 || len(fs) != size || !isWholeAndOpen(fs) {
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

// isWholeAndOpen reports whether the engines, sorted by rank, form a complete group whose
// head accepts requests.
func isWholeAndOpen(fs []*EngineState) bool {
	head := fs[0].Report.Member
	for rank, f := range fs {
		m := f.Report.Member
		if m.Rank != rank || m.Epoch != head.Epoch || rank > 0 && m.State != roster.Ready {
			return false
		}
	}
	return head.State == roster.Open
}
