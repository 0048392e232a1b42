package formation

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// Table is the part of the platform's table that claims need.
type Table interface {
	Get(ctx context.Context, table, key string) (table.Row, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
}

// Lease says whether this node holds the zone's duty.
type Lease interface {
	Held(now clock.Instant) (lease.Grant, bool)
}

// Controller runs the groups of one availability zone while this node holds
// the zone's lease.
type Controller struct {
	Zone    string
	Lease   Lease
	Table   Table
	Engines Engines
	Clock   clock.Clock
	Log     *slog.Logger
	Params  func(*catalog.Engine) Params
	Catalog func() *catalog.Catalog
	Roster  func() *roster.Roster
	// FreeLoads reports whether no request has come yet.
	FreeLoads func() bool
	// Signs returns the last sign of life of an endpoint from this node's own
	// requests (0: none), and whether it should have given one since.
	Signs func(roster.ID) (last clock.Instant, suspect bool)
	// Pressure returns the share of a model's requests that found no place of late,
	// as this node's own requests tell.
	Pressure func(model string) float64
	// Announce tells all nodes that a head takes requests, or no longer does.
	Announce func(roster.Hint)

	mu      sync.Mutex // guards what follows
	facts   map[roster.ID]*Fact
	probes  map[roster.ID]*probe
	ledger  Ledger
	version uint64 // of the ledger's row
	loaded  bool   // the ledger was read in this tenure
	fence   uint64 // of the tenure
	epochs  uint64 // given out in this tenure
	memory  map[string]*Memory
	wake    chan struct{}
}

// probe is the schedule of one engine's reports.
type probe struct {
	next    clock.Instant
	brief   clock.Instant // until then a report must come within probeBrief
	running bool
}

// The pace of the controller.
const (
	step = 50 * time.Millisecond // between two looks
	// probeCalm is the pause between two reports of an engine from which nothing
	// is awaited. Lost members mostly show by the streams of their head before
	// that; this finds those that are idle.
	probeCalm = 1500 * time.Millisecond
	// probeServing is the pause for a member of a group that has served within
	// signFresh: it would stand still without that member.
	probeServing = 4 * time.Second
	signFresh    = time.Second
	// probeAgain is the pause after a report that failed.
	probeAgain = 100 * time.Millisecond
	// probeLimit is how long a report may take: a round trip takes 3 ms across
	// zones, a resent packet 200 ms.
	probeLimit = 250 * time.Millisecond
	// probeBrief is the limit while the group's streams stand still: engines that
	// live answer in a few milliseconds, and one that doesn't is the cause.
	probeBrief = 80 * time.Millisecond
	briefFor   = 400 * time.Millisecond
	orderLimit = 500 * time.Millisecond
	writeLimit = time.Second
	// epochsPerFence is how many epochs one tenure may give out; the fence of
	// the lease stands above them, so that no later tenure gives out a lower one.
	epochsPerFence = 1 << 20
)

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.mu.Lock()
	c.wake = make(chan struct{}, 1)
	c.mu.Unlock()
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-c.wake:
		}
		c.tick(ctx)
	}
}

// Suspect asks for the state of an endpoint and of its group's members at once.
func (c *Controller) Suspect(id roster.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := []roster.ID{id}
	for i := range c.ledger.Groups {
		if slices.Contains(c.ledger.Groups[i].Members, id) {
			ids = c.ledger.Groups[i].Members
		}
	}
	now := c.Clock.Now()
	for _, m := range ids {
		if p := c.probes[m]; p != nil {
			p.next = 0
			p.brief = now.Add(briefFor)
		}
	}
	c.nudge()
}

func (c *Controller) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) tick(ctx context.Context) {
	grant, held := c.Lease.Held(c.Clock.Now())
	if !held {
		c.endTenure()
		return
	}
	if (!c.loaded || grant.Fence != c.fence) && !c.beginTenure(ctx, grant) {
		return
	}
	c.mu.Lock()
	c.follow()
	c.probeDue(ctx)
	plans := c.plan()
	c.mu.Unlock()
	for _, out := range plans {
		c.carryOut(ctx, grant, out)
	}
}

func (c *Controller) endTenure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded {
		c.Log.Info("duty over", "zone", c.Zone, "fence", c.fence)
	}
	c.loaded = false
}

// beginTenure reads the claims that the owner before left behind. A lease that
// was renewed late comes back under its old fence: what is known of the engines
// is old then, but the epochs go on, since none may be given out twice.
func (c *Controller) beginTenure(ctx context.Context, grant lease.Grant) bool {
	if !c.readLedger(ctx) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence != grant.Fence {
		c.fence, c.epochs = grant.Fence, 0
	}
	c.facts = map[roster.ID]*Fact{}
	c.probes = map[roster.ID]*probe{}
	c.memory = map[string]*Memory{}
	c.Log.Info("duty begun", "zone", c.Zone, "fence", grant.Fence, "taken_over", grant.TakenOver, "groups", len(c.ledger.Groups))
	return true
}

func (c *Controller) readLedger(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	row, err := c.Table.Get(ctx, table.TableGroups, c.Zone)
	if err != nil {
		c.Log.Warn("claims not read", "zone", c.Zone, "err", err)
		return false
	}
	var l Ledger
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &l); err != nil {
			c.Log.Error("claims are not readable; delete the row by hand", "zone", c.Zone, "err", err)
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger, c.version, c.loaded = l, row.Version, true
	return true
}

// follow takes up the newest list of endpoints.
func (c *Controller) follow() {
	r, cat := c.Roster(), c.Catalog()
	if cat == nil || !r.Known() {
		return
	}
	listed := map[roster.ID]bool{}
	for i := range cat.Services {
		s := &cat.Services[i]
		if s.Engine == nil {
			continue
		}
		for _, e := range r.Service(s.Name) {
			if e.Zone == c.Zone {
				c.note(e)
				listed[e.ID] = true
			}
		}
	}
	for id, f := range c.facts {
		f.Listed = listed[id]
		if !f.Listed && !c.claims(id) && f.Failures > 0 {
			delete(c.facts, id)
			delete(c.probes, id)
		}
	}
}

func (c *Controller) note(e *roster.Endpoint) {
	f := c.facts[e.ID]
	if f == nil {
		f = &Fact{ID: e.ID, Addr: e.Addr, Domain: e.Domain}
		c.facts[e.ID] = f
		c.probes[e.ID] = &probe{}
	}
	f.Draining = e.Draining
}

func (c *Controller) claims(id roster.ID) bool {
	return slices.ContainsFunc(c.ledger.Groups, func(g Group) bool { return slices.Contains(g.Members, id) })
}

// probeDue starts the reports that are due.
func (c *Controller) probeDue(ctx context.Context) {
	now := c.Clock.Now()
	for id, p := range c.probes {
		if p.running || now.Before(p.next) {
			continue
		}
		p.running = true
		limit := probeLimit
		if now.Before(p.brief) {
			limit = probeBrief
		}
		go c.probe(ctx, id, c.facts[id].Addr, now, limit)
	}
}

func (c *Controller) probe(ctx context.Context, id roster.ID, addr string, asked clock.Instant, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	rep, err := c.Engines.Report(ctx, addr, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	f, p := c.facts[id], c.probes[id]
	if f == nil || p == nil {
		return // the tenure is over
	}
	now := c.Clock.Now()
	p.running = false
	if err != nil {
		c.probeFailed(f, p, asked, now, err)
	} else {
		if asked.Before(f.Sure) {
			rep.Member, rep.Model = f.Report.Member, f.Report.Model
		}
		f.Report, f.Answered, f.Failing, f.Failures = rep, asked, 0, 0
		if rep.Domain != "" {
			f.Domain = rep.Domain
		}
		p.next = now.Add(c.calmPause(f, now))
	}
	c.nudge()
}

// calmPause returns how long an engine that has just answered needs no look.
func (c *Controller) calmPause(f *Fact, now clock.Instant) time.Duration {
	g := c.group(f.Report.Member.Group)
	if g == nil {
		return probeCalm
	}
	sign, suspect := c.Signs(g.Head())
	if !suspect && sign != 0 && now.Sub(sign) < signFresh {
		return probeServing
	}
	return probeCalm
}

func (c *Controller) probeFailed(f *Fact, p *probe, asked, now clock.Instant, err error) {
	if errors.Is(err, ErrOtherLife) {
		f.Gone = true
	}
	if f.Failures == 0 {
		f.Failing = asked
	}
	f.Failures++
	pause := probeAgain
	if f.Failures > 4 {
		pause = probeCalm
	}
	p.next = now.Add(pause)
	if f.Failures == 2 {
		c.Log.Info("engine does not answer", "zone", c.Zone, "endpoint", f.ID, "err", err, "answered_ms_ago", now.Sub(f.Answered).Milliseconds())
	}
}

// planned is one service's plan with its memory.
type planned struct {
	service string
	out     Output
}

// plan makes the plans of all services with engines.
func (c *Controller) plan() []planned {
	cat := c.Catalog()
	if cat == nil || !c.loaded {
		return nil
	}
	var all []planned
	for i := range cat.Services {
		s := &cat.Services[i]
		if s.Engine == nil || !c.known(s.Name) {
			continue
		}
		out := c.planService(s)
		for id, pause := range out.Hurry {
			c.hurry(id, pause)
		}
		all = append(all, planned{s.Name, out})
	}
	return all
}

// known reports whether every listed engine of the service was asked at least
// once. A plan made before would form groups around engines it knows nothing of.
func (c *Controller) known(service string) bool {
	n := 0
	for _, e := range c.Roster().Service(service) {
		if e.Zone != c.Zone {
			continue
		}
		f := c.facts[e.ID]
		if f == nil || f.Answered == 0 && f.Failures == 0 {
			return false
		}
		n++
	}
	return n > 0
}

func (c *Controller) planService(s *catalog.Service) Output {
	mem := c.memory[s.Name]
	if mem == nil {
		mem = NewMemory()
		c.memory[s.Name] = mem
	}
	facts := map[roster.ID]*Fact{}
	r := c.Roster()
	for id, f := range c.facts {
		e := r.Get(id)
		if e != nil && e.Service != s.Name {
			continue
		}
		f.Sign, f.Suspect = c.Signs(id)
		facts[id] = f
	}
	pressure := map[string]float64{}
	for i := range s.Engine.Models {
		pressure[s.Engine.Models[i].Name] = c.Pressure(s.Engine.Models[i].Name)
	}
	return Plan(&Input{
		Now: c.Clock.Now(), Zone: c.Zone, Service: s.Name, Engine: s.Engine,
		Facts: facts, Ledger: c.ledger, NextEpoch: c.nextEpoch, Pressure: pressure,
		FreeLoads: c.FreeLoads(), Params: c.Params(s.Engine),
	}, mem)
}

func (c *Controller) nextEpoch() uint64 {
	c.epochs++
	return c.fence*epochsPerFence + c.epochs
}

func (c *Controller) hurry(id roster.ID, pause time.Duration) {
	if p := c.probes[id]; p != nil && !p.running {
		p.next = min(p.next, c.Clock.Now().Add(pause))
	}
}

// carryOut commits changed claims and gives the orders.
func (c *Controller) carryOut(ctx context.Context, grant lease.Grant, p planned) {
	for _, n := range p.out.Notes {
		c.Log.Info("groups", "zone", c.Zone, "service", p.service, "fence", grant.Fence, "decision", n)
	}
	for _, h := range p.out.Lost {
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
	c.readLedger(ctx)
	return false
}

func (c *Controller) claimTxn(grant lease.Grant, value []byte) table.Txn {
	return table.Txn{
		Attempt: uuid.NewString(),
		Checks: []table.Check{
			{Table: table.TableLeases, Key: c.Zone, Version: grant.Version},
			{Table: table.TableGroups, Key: c.Zone, Version: c.version},
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
			c.version = row.Version
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
	if o.Then != nil && (v == Begun || v == Done) {
		defer c.give(runCtx, grant, *o.Then)
	}
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
	switch {
	case v == OtherLife:
		f.Gone = true
	case o.Op == Leave && (v == Begun || v == Done) && f.Report.Member.Group == o.Group:
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
