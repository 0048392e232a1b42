package formation

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/clock"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// applyPlans commits changed claims and then sends the orders, for the plans of one tick. All
// of them start from the same claims, so each commits only the groups of its own service.
// After a commit that failed, the claims may be others than the plans started from: the
// remaining changes are left to the next tick.
func (c *Controller) applyPlans(ctx context.Context, grant lease.Grant, plans []servicePlan) {
	committed, failed := false, false
	for _, p := range plans {
		c.announcePlan(grant, p)
		if p.output.Changed {
			if committed {
				p.output.Ledger.Groups = replaceGroups(c.ledger.Groups, p.output.Ledger.Groups, p.service)
			}
			if failed || !c.commit(ctx, grant, p.output.Ledger) {
				failed = true
				continue // the next plan starts from the committed claims
			}
			committed = true
		}
		if p.output.Conversions > 0 && c.CountConversions != nil {
			c.CountConversions(p.output.Conversions)
		}
		for _, o := range p.output.Orders {
			go c.sendOrder(ctx, grant, o)
		}
	}
}

func (c *Controller) announcePlan(grant lease.Grant, p servicePlan) {
	for _, n := range p.output.Decisions {
		c.Log.Info("groups", "zone", c.Zone, "service", p.service, "fence", grant.Fence, "decision", n)
	}
	for _, h := range slices.Concat(p.output.Lost, p.output.Resumed) {
		c.Announce(h)
	}
}

// replaceGroups returns the groups in current of other services, and those in planned of the
// service.
func replaceGroups(current, planned []Group, service string) []Group {
	out := slices.DeleteFunc(slices.Clone(current), func(g Group) bool { return g.Service == service })
	for _, g := range planned {
		if g.Service == service {
			out = append(out, g)
		}
	}
	return out
}

// commit writes the claims if this node still holds the lease and no other node has
// written them. A concurrent lease renewal changes the version of the lease row, so the
// write is retried once with the renewed lease.
func (c *Controller) commit(ctx context.Context, grant lease.Grant, l Ledger) bool {
	l.Era = grant.Era
	value, err := json.Marshal(l)
	if err != nil {
		c.Log.Error("cannot encode claims", "zone", c.Zone, "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for range 2 {
		now, held := c.Lease.Held(c.Clock.Now())
		if !held || now.Fence != grant.Fence {
			break
		}
		var res table.Result
		res, err = c.Table.Commit(ctx, c.claimTxn(now, value))
		if err != nil {
			break
		}
		if res.Committed {
			c.recordCommit(l, res)
			return true
		}
	}
	c.Log.Info("claims not committed", "zone", c.Zone, "fence", grant.Fence, "err", err)
	if err != nil {
		c.mu.Lock()
		c.planNotBefore = c.Clock.Now().Add(commitRetryDelay)
		c.mu.Unlock()
	}
	c.rereadLedger(ctx, grant)
	return false
}

// rereadLedger reads the current claims after a commit failed or its response was lost.
// Claims read in another era are an older copy: this owner keeps its own, which
// restoreClaims writes back.
func (c *Controller) rereadLedger(ctx context.Context, grant lease.Grant) {
	ledger, row := c.ledger, c.ledgerRow
	if c.readLedger(ctx) && c.ledgerRow.Era != grant.Era {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ledger, c.ledgerRow = ledger, row
	}
}

func (c *Controller) claimTxn(grant lease.Grant, value []byte) table.Txn {
	return table.Txn{
		Attempt: uuid.NewString(),
		Checks: []table.Check{
			grant.Check(),
			{Table: table.TableGroups, Key: c.Zone, Version: c.ledgerRow.Version, Era: c.ledgerRow.Era},
		},
		Writes: []table.Write{{Table: table.TableGroups, Key: c.Zone, Value: value}},
	}
}

func (c *Controller) recordCommit(l Ledger, res table.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger = l
	for _, row := range res.Rows {
		if row.Table == table.TableGroups {
			c.ledgerRow = row
		}
	}
}

func (c *Controller) addr(id roster.ID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.engineStates[id]
	if f == nil {
		return "", false // the tenure has ended
	}
	return f.Addr, true
}

// sendOrder sends one order, unless the lease has expired meanwhile: the next owner may
// already have a plan.
func (c *Controller) sendOrder(ctx context.Context, grant lease.Grant, o Order) {
	now := c.Clock.Now()
	addr, ok := c.addr(o.To)
	if !ok {
		return
	}
	if g, ok := c.Lease.Held(now); !ok || g.Fence != grant.Fence {
		c.Log.Info("order not sent", "zone", c.Zone, "endpoint", o.To, "op", o.Op.String(), "reason", "the lease has expired")
		return
	}
	runCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	v, err := c.Engines.Order(ctx, addr, o)
	go c.announceOrderEffect(runCtx, o, v)
	c.Log.Info("order", "zone", c.Zone, "endpoint", o.To, "op", o.Op.String(), "group", o.Group, "model", o.Model,
		"reason", o.Reason, "verdict", v.String(), "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.engineStates[o.To]; f != nil {
		f.applyOrderResult(o, v, c.Clock.Now())
	}
	if p := c.probes[o.To]; p != nil && !p.inFlight {
		p.next = 0
	}
	c.signalWake()
}

// reportLag is how long after the response to an order a report may still contain the
// previous state. The engines' published lag is 200 ms.
const reportLag = 400 * time.Millisecond

// applyOrderResult updates the engine's known state from its response to an order.
func (f *EngineState) applyOrderResult(o Order, v OrderResult, now clock.Instant) {
	f.updateOrderCount(o, v, now)
	switch {
	case v == OtherProcess:
		f.Ended = true
	case o.Op == Leave && v == Done && f.Report.Member.Group == o.Group:
		f.Report.Member = roster.Membership{} // a leave takes effect at once
		f.OrderStateUntil = now.Add(reportLag)
	case o.Op == Join && v == Begun && len(o.Members) == 1:
		f.Report.Member = roster.Membership{Group: o.Group, Epoch: o.Epoch, State: roster.Joining}
		f.Report.Model = o.Model // no second order for a spare that joins its own group
		f.OrderStateUntil = now.Add(reportLag)
	case o.Op == Join && v == Rejected:
		f.RefusedGroup = o.Group
	case o.Op == Join && v == Done:
		f.Report.Member = roster.Membership{
			Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, f.ID), State: roster.Ready,
		}
		f.Report.Model = o.Model
		f.OrderStateUntil = now.Add(reportLag)
	}
}

// updateOrderCount tracks the number of orders that the engine has begun. An order whose
// state is already reached isn't counted, except a leave, which takes effect at once.
func (f *EngineState) updateOrderCount(o Order, v OrderResult, now clock.Instant) {
	begins := v == Begun
	switch o.Op {
	case Join:
		// A repeated join continues the one in progress and isn't counted again. A
		// count that is too high would admit a delayed join after a leave.
		begins = begins && f.LastJoin != o.Group && f.Report.Member.Group != o.Group
		if v == Begun {
			f.LastJoin = o.Group
		}
	case Leave:
		begins = v == Done && f.Report.Member.Group == o.Group
	}
	switch {
	case v == Conflict:
		f.OrderCountUntil = 0 // the assumed count is wrong; accept the one in the next report
	case begins:
		f.Report.OrderCount++
		f.OrderCountUntil = now.Add(reportLag)
	}
}

// isEarlierReport reports whether a report is older than one that was received: an engine may send
// a response a second time, in place of the next one. The second in a row is believed.
func (f *EngineState) isEarlierReport(rep Report) bool {
	if rep.OrderCount < f.ReportedOrders && f.EarlierReports == 0 {
		f.EarlierReports++
		return true
	}
	f.ReportedOrders, f.EarlierReports = rep.OrderCount, 0
	return false
}

// applyReport stores a report that was requested at the given time. State known from
// responses to orders takes precedence over reports that may be older.
func (f *EngineState) applyReport(rep Report, asked clock.Instant) {
	if asked.Before(f.OrderStateUntil) {
		rep.Member, rep.Model = f.Report.Member, f.Report.Model
	}
	if asked.Before(f.OrderCountUntil) {
		rep.OrderCount = f.Report.OrderCount
	}
	if f.Failures > 0 {
		f.RecoveredAt = asked
	}
	f.Report, f.ReportedAt, f.FailingSince, f.Failures = rep, asked, 0, 0
	if rep.Domain != "" {
		f.Domain = rep.Domain
	}
}

// announceOrderEffect notifies the nodes of a head that has started or stopped accepting
// requests because of an order. An open order takes effect after the form time.
func (c *Controller) announceOrderEffect(ctx context.Context, o Order, v OrderResult) {
	if v != Begun && v != Done {
		return
	}
	state := roster.Closing
	switch o.Op {
	case Open:
		if !clock.Sleep(ctx, c.longestFormTime()) {
			return
		}
		state = roster.Open
	case Leave, Close:
	default:
		return
	}
	c.mu.Lock()
	g := c.group(o.Group)
	c.mu.Unlock()
	if g == nil || g.Head() != o.To {
		return
	}
	c.Announce(roster.Hint{
		ID: o.To, Model: g.Model,
		Member: roster.Membership{Group: g.Name, Epoch: g.Epoch, State: state},
	})
}

func (c *Controller) longestFormTime() time.Duration {
	var longest time.Duration
	if cat := c.Catalog(); cat != nil {
		for i := range cat.Services {
			if e := cat.Services[i].Engine; e != nil {
				longest = max(longest, e.FormTime)
			}
		}
	}
	return longest
}

func (c *Controller) group(name string) *Group {
	for i := range c.ledger.Groups {
		if c.ledger.Groups[i].Name == name {
			return &c.ledger.Groups[i]
		}
	}
	return nil
}
