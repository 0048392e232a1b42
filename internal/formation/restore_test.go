package formation

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// restorableTable is a table of claims that can be restored in a new era with older
// claims.
type restorableTable struct {
	row  table.Row
	down bool
	// writesFail makes writes fail while reads succeed.
	writesFail bool
	calls      int
}

func (t *restorableTable) Get(context.Context, string, string) (table.Row, error) {
	t.calls++
	if t.down {
		return table.Row{}, table.ErrUnavailable
	}
	return t.row, nil
}

func (t *restorableTable) Commit(_ context.Context, txn table.Txn) (table.Result, error) {
	t.calls++
	if t.down || t.writesFail {
		return table.Result{}, table.ErrUnavailable
	}
	for _, c := range txn.Checks {
		if c.Era != t.row.Era {
			return table.Result{}, table.ErrRestored
		}
	}
	if txn.Checks[1].Version != t.row.Version {
		return table.Result{Rows: []table.Row{t.row}}, nil
	}
	t.row = table.Row{Table: table.TableGroups, Key: "z", Era: t.row.Era, Version: t.row.Version + 1, Value: txn.Writes[0].Value}
	return table.Result{Committed: true, Rows: []table.Row{t.row}}, nil
}

func (t *restorableTable) ledger() Ledger {
	var l Ledger
	if json.Unmarshal(t.row.Value, &l) != nil {
		return Ledger{}
	}
	return l
}

// heldLease is a lease that is always held.
type heldLease struct{ grant *lease.Grant }

func (a heldLease) Held(clock.Instant) (lease.Grant, bool) { return *a.grant, true }

// A group is formed, its claim is written, and the table is restored from an older copy.
// The owner, whose lease is valid again in the new era, must write its own claims: with
// those of the copy, the group would be closed as unclaimed while it serves. While the
// table fails, the owner keeps its claims.
func TestOwnerRestoresItsClaims(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	tab := &restorableTable{row: table.Row{Era: 1}}
	grant := &lease.Grant{Duty: "z", Fence: 1 << 20, Era: 1}
	c := &Controller{Zone: "z", Table: tab, Lease: heldLease{grant}, Clock: clock.NewManual(clock.Instant(time.Hour)), Log: slog.New(slog.DiscardHandler)}
	is.True(c.beginTenure(ctx, *grant))
	copied := tab.row
	l := Ledger{Groups: []Group{{Name: "g", Epoch: 1, Members: []roster.ID{"a"}}}}
	is.True(c.commit(ctx, *grant, l))
	is.Equal(len(tab.ledger().Groups), 1)

	copied.Era = 2
	tab.row = copied
	is.True(!c.commit(ctx, *grant, Ledger{})) // checked in the old era
	is.Equal(len(c.ledger.Groups), 1)
	grant.Era = 2
	tab.down = true
	is.True(!c.restoreClaims(ctx, *grant))
	is.Equal(len(c.ledger.Groups), 1)
	tab.down, tab.writesFail = false, true
	is.True(!c.restoreClaims(ctx, *grant))
	is.Equal(len(c.ledger.Groups), 1)
	is.True(c.ledgerRow.Era != grant.Era) // will be retried
	tab.writesFail = false
	is.True(c.restoreClaims(ctx, *grant))
	is.Equal(tab.ledger(), Ledger{Groups: l.Groups, Era: 2})
}

// takeOverFromCopy changes the owner, with an older copy of the claims, and completes the
// claims from the engines' reports.
func (w *simZone) takeOverFromCopy(l Ledger) {
	w.takeOver()
	w.ledger = l
	for !allReported(w.engineStates, w.tenureStart) && w.now.Sub(w.tenureStart) < recoverTimeout {
		w.recordReports()
		for _, e := range w.sorted() {
			w.report(e)
		}
		w.advance(50 * time.Millisecond)
	}
	serviceAndGroupSize := func(head *EngineState) (string, int) {
		if m := w.engine.Model(head.Report.Model); m != nil {
			return "s", m.Size
		}
		return "", 0
	}
	w.ledger.Groups = append(slices.Clone(w.ledger.Groups), unclaimedGroups(w.engineStates, w.ledger, serviceAndGroupSize)...)
}

// The table is restored without the claims of serving groups, and their owner has died.
// The next owner finds the groups by their members' reports and must close none of them.
func TestUnclaimedGroupsKeepServing(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	before := w.serving("big")
	is.True(len(before) > 0)
	w.takeOverFromCopy(Ledger{})
	for range 50 {
		w.plan()
		w.advance(100 * time.Millisecond)
		for _, head := range before {
			is.Equal(head.state, roster.Open)
		}
	}
	is.Equal(w.violation, "")
	is.Equal(len(w.serving("big")), len(before))
}

// Random sequences of owner changes, lost or delayed orders, engine restarts, and
// restores of claims up to 8 s old, at times twice in a row: the claims lack groups
// formed since and claim engines of groups that have ended. No engine may join another
// group while its own head is open, and no group may open incomplete. After the faults,
// groups must serve again.
func TestGroupsStayWholeAndDisjointAcrossRestores(t *testing.T) {
	t.Parallel()
	const seeds = 30
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 3))
		w := startedZone()
		w.delivery = func() delivery {
			if n := rng.IntN(20); n < 3 {
				return answerLost + delivery(n)
			}
			return orderAnswered
		}
		var copies []Ledger
		for range 300 {
			w.plan()
			w.advance(100 * time.Millisecond)
			copies = append(copies, w.ledger)
			switch rng.IntN(60) {
			case 0, 1:
				w.restart(w.sorted()[rng.IntN(len(w.engines))])
			case 2, 3:
				w.takeOverFromCopy(copies[max(0, len(copies)-1-rng.IntN(80))])
			case 4:
				w.takeOver()
			}
		}
		w.delivery = func() delivery { return orderAnswered }
		w.run(time.Minute)
		if len(w.serving("big"))+len(w.serving("small")) == 0 {
			w.fail("no group serves at the end")
		}
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.violation)
		}
	}
}

// The table fails while groups have to be formed. When every tick made a plan whose
// claims couldn't be committed, this cost two calls every 15 ms until the lease expired.
func TestFailingTableIsNotCalledOnEveryTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab, now := &restorableTable{}, clock.NewManual(clock.Instant(time.Hour))
		c := newIdleController(tab, now)
		is.True(c.beginTenure(t.Context(), lease.Grant{Duty: "z", Fence: 1}))
		tab.writesFail = true
		before := tab.calls
		const looks, pause = 100, 15 * time.Millisecond
		for range looks {
			c.tick(t.Context())
			synctest.Wait() // for the probes of this tick
			now.Advance(pause)
		}
		calls := tab.calls - before
		is.True(calls > 0)
		is.True(calls <= 2*int(looks*pause/commitRetryDelay)+2)
	})
}

// newIdleController returns a controller for a domain of nine free engines.
func newIdleController(tab Table, now *clock.Manual) *Controller {
	var list roster.Listing
	for i := range 9 {
		id := roster.ID(fmt.Sprint("e", i))
		list.Endpoints = append(list.Endpoints, roster.Endpoint{ID: id, Service: "s", Zone: "z", Domain: "d"})
	}
	r := roster.Merge(roster.Empty(), list, now.Now(), 0)
	cat, err := catalog.New(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: testEngine()}}})
	if err != nil {
		panic(err) // the document is part of the test
	}
	return (&Controller{
		Zone: "z", Table: tab, Lease: heldLease{&lease.Grant{Duty: "z", Fence: 1}}, Clock: now, Log: slog.New(slog.DiscardHandler),
		Catalog: func() *catalog.Catalog { return cat }, Roster: func() *roster.Roster { return r },
		BeforeFirstRequest: func() bool { return true }, ManyNodes: func() bool { return true }, Announce: func(roster.Hint) {},
		Activity: func(roster.ID) (clock.Instant, bool) { return 0, false },
		Demand:   func(string) demand.Demand { return demand.Demand{} },
		Params:   func(*catalog.Engine) Params { return DefaultParams(5*time.Second, 7, 2) }, Engines: idleEngines{},
	}).Init()
}

// The claims are an older copy, and the table at first rejects the completed ones. A plan
// from the copy would close the groups that it lacks.
func TestNoPlanFromStaleClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tab, now := &restorableTable{}, clock.NewManual(clock.Instant(time.Hour))
		c := newIdleController(tab, now)
		is.True(c.beginTenure(t.Context(), lease.Grant{Duty: "z", Fence: 1}))
		c.ledgerStale, tab.writesFail = true, true
		runTicks := func() {
			for range 100 {
				c.tick(t.Context())
				synctest.Wait()
				now.Advance(15 * time.Millisecond)
			}
		}
		runTicks()
		is.True(c.ledgerStale)
		is.Equal(len(c.memories), 0) // no plan was made
		tab.writesFail = false
		runTicks()
		is.True(!c.ledgerStale)
		is.True(len(c.ledger.Groups) > 0)
	})
}

// idleEngines are free and respond at once.
type idleEngines struct{}

func (idleEngines) Report(context.Context, string, roster.ID) (Report, error) {
	return Report{OrderCount: 1, Domain: "d", Pace: 1, Staged: []string{}}, nil
}

func (idleEngines) Order(context.Context, string, Order) (OrderResult, error) { return Lost, nil }

// Guards against claims of one service that are overwritten by the plan of another one of the same tick:
// both start from the same claims, and the orders for the first one's groups have been sent by then.
func TestPlansOfOneTickKeepEachOthersClaims(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	names := func(l Ledger) (out []string) {
		for _, g := range l.Groups {
			out = append(out, fmt.Sprintf("%s/%s/%v", g.Service, g.Name, g.Ending))
		}
		slices.Sort(out)
		return out
	}
	planOf := func(service string, groups ...Group) servicePlan {
		return servicePlan{service, Output{Changed: true, Ledger: Ledger{Groups: groups}}}
	}
	tab := &restorableTable{row: table.Row{Era: 1}}
	grant := &lease.Grant{Duty: "z", Fence: 1 << 20, Era: 1}
	c := &Controller{Zone: "z", Table: tab, Lease: heldLease{grant}, Clock: clock.NewManual(clock.Instant(time.Hour)), Log: slog.New(slog.DiscardHandler)}
	is.True(c.beginTenure(ctx, *grant))
	oldA, oldB := Group{Name: "a1", Service: "a"}, Group{Name: "b1", Service: "b"}
	is.True(c.commit(ctx, *grant, Ledger{Groups: []Group{oldA, oldB}}))

	ending := oldA
	ending.Ending = true
	c.applyPlans(ctx, *grant, []servicePlan{
		planOf("a", ending, oldB, Group{Name: "a2", Service: "a"}),
		planOf("b", oldA, Group{Name: "b2", Service: "b"}),
	})
	want := []string{"a/a1/true", "a/a2/false", "b/b2/false"}
	is.Equal(names(tab.ledger()), want)
	is.Equal(names(c.ledger), want)

	// Another write came between: the plans are outdated, and none of them is committed.
	tab.row.Version++
	c.applyPlans(ctx, *grant, []servicePlan{planOf("a"), planOf("b")})
	is.Equal(names(tab.ledger()), want)
}
