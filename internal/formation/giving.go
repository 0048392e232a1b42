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

// carryOut commits changed claims and gives the orders.
func (c *Controller) carryOut(ctx context.Context, grant lease.Grant, p planned) {
	for _, n := range p.out.Notes {
		c.Log.Info("groups", "zone", c.Zone, "service", p.service, "fence", grant.Fence, "decision", n)
	}
	for _, h := range slices.Concat(p.out.Lost, p.out.Back) {
		c.Announce(h)
	}
	if p.out.Changed && !c.commit(ctx, grant, p.out.Ledger) {
		return // the next plan is made of what is committed
	}
	for _, o := range p.out.Orders {
		go c.give(ctx, grant, o)
	}
}

// commit writes the claims if this node still holds the lease and nobody else
// has written them. A renewal of the lease that comes in between changes its
// row's version, so the write is tried once more under the renewed lease.
func (c *Controller) commit(ctx context.Context, grant lease.Grant, l Ledger) bool {
	l.Era = grant.Era
	value, err := json.Marshal(l)
	if err != nil {
		c.Log.Error("claims cannot be written", "zone", c.Zone, "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
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
			c.committed(l, res)
			return true
		}
	}
	c.Log.Info("claims not committed", "zone", c.Zone, "fence", grant.Fence, "err", err)
	if err != nil {
		c.mu.Lock()
		c.rests = c.Clock.Now().Add(commitAgain)
		c.mu.Unlock()
	}
	c.reread(ctx, grant)
	return false
}

// reread reads what stands after a commit that failed or whose answer was lost. Claims
// read in another era are an older copy; what this owner knows goes before them, and is
// put back.
func (c *Controller) reread(ctx context.Context, grant lease.Grant) {
	ledger, row := c.ledger, c.row
	if c.readLedger(ctx) && c.row.Era != grant.Era {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ledger, c.row = ledger, row
	}
}

func (c *Controller) claimTxn(grant lease.Grant, value []byte) table.Txn {
	return table.Txn{
		Attempt: uuid.NewString(),
		Checks: []table.Check{
			grant.Check(),
			{Table: table.TableGroups, Key: c.Zone, Version: c.row.Version, Era: c.row.Era},
		},
		Writes: []table.Write{{Table: table.TableGroups, Key: c.Zone, Value: value}},
	}
}

func (c *Controller) committed(l Ledger, res table.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger = l
	for _, row := range res.Rows {
		if row.Table == table.TableGroups {
			c.row = row
		}
	}
}

func (c *Controller) addr(id roster.ID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.facts[id]
	if f == nil {
		return "", false // the tenure is over
	}
	return f.Addr, true
}

// give sends one order. A lease that has run out meanwhile forbids it: the next
// owner may have planned already.
func (c *Controller) give(ctx context.Context, grant lease.Grant, o Order) {
	now := c.Clock.Now()
	addr, ok := c.addr(o.To)
	if !ok {
		return
	}
	if g, ok := c.Lease.Held(now); !ok || g.Fence != grant.Fence {
		c.Log.Info("order withheld", "zone", c.Zone, "endpoint", o.To, "op", o.Op.String(), "reason", "the lease is over")
		return
	}
	runCtx := ctx
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	v, err := c.Engines.Order(ctx, addr, o)
	go c.announceTaken(runCtx, o, v)
	c.Log.Info("order", "zone", c.Zone, "endpoint", o.To, "op", o.Op.String(), "group", o.Group, "model", o.Model,
		"reason", o.Reason, "verdict", v.String(), "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.facts[o.To]; f != nil {
		f.took(o, v, c.Clock.Now())
	}
	if p := c.probes[o.To]; p != nil && !p.running {
		p.next = 0
	}
	c.nudge()
}

// reportLag is how long after an order was answered a report may still show the
// state of before: the engines' published lag is 200 ms.
const reportLag = 400 * time.Millisecond

// took notes what an engine's answer to an order says of its state.
func (f *Fact) took(o Order, v Verdict, now clock.Instant) {
	f.count(o, v, now)
	switch {
	case v == OtherLife:
		f.Gone = true
	case o.Op == Leave && v == Done && f.Report.Member.Group == o.Group:
		f.Report.Member = roster.Membership{} // leaving takes effect at once
		f.Sure = now.Add(reportLag)
	case o.Op == Join && v == Begun && len(o.Members) == 1:
		f.Report.Member = roster.Membership{Group: o.Group, Epoch: o.Epoch, State: roster.Joining}
		f.Report.Model = o.Model // a spare that joins its own group needs no second order
		f.Sure = now.Add(reportLag)
	case o.Op == Join && v == Rejected:
		f.Refused = o.Group
	case o.Op == Join && v == Done:
		f.Report.Member = roster.Membership{
			Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, f.ID), State: roster.Ready,
		}
		f.Report.Model = o.Model
		f.Sure = now.Add(reportLag)
	}
}

// count follows how many orders the engine has begun. An order that holds already
// begins nothing, but for a leave, whose effect is at once.
func (f *Fact) count(o Order, v Verdict, now clock.Instant) {
	begins := v == Begun
	switch o.Op {
	case Join:
		// One that joins that group already goes on with it; a count that is too
		// high would let a late join pass after a leave.
		begins = begins && f.Begun != o.Group && f.Report.Member.Group != o.Group
		if v == Begun {
			f.Begun = o.Group
		}
	case Leave:
		begins = v == Done && f.Report.Member.Group == o.Group
	}
	switch {
	case v == Conflict:
		f.Counted = 0 // the count is another one than thought: the reports tell
	case begins:
		f.Report.Count++
		f.Counted = now.Add(reportLag)
	}
}

// takeReport takes up a report that was asked for at asked. What the engine's
// answers to orders told goes before reports that may be older.
func (f *Fact) takeReport(rep Report, asked clock.Instant) {
	if asked.Before(f.Sure) {
		rep.Member, rep.Model = f.Report.Member, f.Report.Model
	}
	if asked.Before(f.Counted) {
		rep.Count = f.Report.Count
	}
	if f.Failures > 0 {
		f.Regained = asked
	}
	f.Report, f.Answered, f.Failing, f.Failures = rep, asked, 0, 0
	if rep.Domain != "" {
		f.Domain = rep.Domain
	}
}

// announceTaken tells the nodes about a head whose order changes what it takes.
// An open order takes effect after the form time.
func (c *Controller) announceTaken(ctx context.Context, o Order, v Verdict) {
	if v != Begun && v != Done {
		return
	}
	state := roster.Closing
	switch o.Op {
	case Open:
		if !clock.Sleep(ctx, c.formTime()) {
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

func (c *Controller) formTime() time.Duration {
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
