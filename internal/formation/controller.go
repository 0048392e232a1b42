package formation

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/demand"
	"chervilloom/internal/lease"
	table "chervilloom/internal/platform"
	"chervilloom/internal/roster"
)

// Table is the subset of the platform's table that the claims need.
type Table interface {
	Get(ctx context.Context, table, key string) (table.Row, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
}

// Lease reports whether this node holds the zone's lease.
type Lease interface {
	Held(now clock.Instant) (lease.Grant, bool)
}

// Controller manages the groups of one availability zone while this node holds the zone's
// lease.
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
	// BeforeFirstRequest reports whether no request has arrived yet, so that loads need no
	// throttling.
	BeforeFirstRequest func() bool
	// Activity returns the time of an endpoint's newest activity on this node's own
	// requests (0 if none), and whether activity is overdue.
	Activity func(roster.ID) (last clock.Instant, suspect bool)
	// Demand returns the zone's recent demand for a service.
	Demand func(service string) demand.Demand
	// Elsewhere returns the number of groups of a service, by model, that stand free in other
	// zones; nil: not known.
	Elsewhere func(s *catalog.Service) map[string]float64
	// CountConversions is called with the number of conversions that have begun; nil: no call.
	CountConversions func(int)
	// ManyNodes reports whether the zone has so many nodes that each has only a few of a
	// head's streams.
	ManyNodes func() bool
	// Evacuated reports whether the zone is evacuated: its engines get neither probes nor
	// orders. nil: never.
	Evacuated func() bool
	// Announce notifies all nodes that a head has started or stopped accepting requests.
	Announce func(roster.Hint)

	mu            sync.Mutex // guards the fields below
	engineStates  map[roster.ID]*EngineState
	probes        map[roster.ID]*probe
	ledger        Ledger
	ledgerRow     table.Row     // table row of the ledger, as last read or written
	ledgerLoaded  bool          // the ledger was read in this tenure
	ledgerStale   bool          // the ledger is an older copy; serving groups may be missing from it
	fence         uint64        // lease fence of this tenure
	tenureStart   clock.Instant // when this node acquired the lease
	epochs        uint64        // number of epochs issued under this fence
	memories      map[string]*Memory
	reportRTT     roundTrip     // round trips of this tenure's reports
	planNotBefore clock.Instant // no plan before this time, because a commit failed
	wake          chan struct{}
}

// Intervals, timeouts and limits of the controller.
const (
	tickInterval = 50 * time.Millisecond // between two ticks
	// idleTickInterval is the tick interval while another node holds the lease;
	// acquiring the lease triggers a tick. Each node runs a controller per zone: at 50
	// ms, five of them wake an idle node a hundred times a second.
	idleTickInterval = time.Second
	// tickRestFactor sets the minimum pause after a tick, as a multiple of the tick's
	// duration. In a zone of 219 engines, a hundred reports arrive per second and each
	// requests a tick. In a small zone a tick takes a fraction of a millisecond, so
	// ticks follow each other at once.
	tickRestFactor = 4
	// maxTickRest limits that pause, since a tick may have waited for the table.
	maxTickRest = 10 * time.Millisecond
	// probeInterval is the interval between probes of an engine with no pending change.
	// The streams of a group's head usually reveal a lost member earlier; this interval
	// covers idle groups.
	probeInterval = 1500 * time.Millisecond
	// servingProbeInterval applies to members of a group with activity within
	// maxSignAge: the group would stall without that member.
	servingProbeInterval = 4 * time.Second
	maxSignAge           = time.Second
	// probeRetryDelay is the delay before the next probe after a failed one.
	probeRetryDelay = 100 * time.Millisecond
	// probeTimeout is the time limit of a probe. A round trip across zones takes 3 ms, a
	// resent packet 200 ms.
	probeTimeout      = 250 * time.Millisecond
	suspicionDuration = 400 * time.Millisecond // how long a stall report shortens probe timeouts and marks the head as suspect
	// minProbeInterval is the minimum interval between probes of a responsive engine
	// that stall reports trigger. The nodes with streams at a head report a stall at
	// different moments: without this limit, one long pass would cost several probes of
	// each of 16 members.
	minProbeInterval = 100 * time.Millisecond
	orderTimeout     = 500 * time.Millisecond
	tableTimeout     = time.Second
	// commitRetryDelay is the delay before planning resumes after a failed commit.
	// Replanning on every tick would cost two calls per tick while the table fails.
	commitRetryDelay = 150 * time.Millisecond
	// epochsPerFence is the maximum number of epochs per lease fence. The fence forms
	// the high bits of an epoch, so no later tenure issues a lower one.
	epochsPerFence = 1 << 18
)

// Run manages the groups until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	for {
		pause := tickInterval
		if _, held := c.Lease.Held(c.Clock.Now()); !held {
			pause = idleTickInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		case <-c.wake:
		}
		began := c.Clock.Now()
		c.tick(ctx)
		clock.Sleep(ctx, min(maxTickRest, tickRestFactor*c.Clock.Now().Sub(began)))
	}
}

// Init prepares the controller for use and returns it.
func (c *Controller) Init() *Controller {
	c.wake = make(chan struct{}, 1)
	return c
}

// TriggerTick triggers a tick at once, for example after the lease was acquired.
func (c *Controller) TriggerTick() { c.signalWake() }

func (c *Controller) signalWake() {
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
	if c.Evacuated != nil && c.Evacuated() {
		c.endTenure() // the engines' states are read anew afterwards
		return
	}
	if (!c.ledgerLoaded || grant.Fence != c.fence) && !c.beginTenure(ctx, grant) {
		return
	}
	if c.Roster().Partial {
		return // members missing from a partial list would look lost
	}
	if grant.Era != c.ledgerRow.Era && !c.restoreClaims(ctx, grant) {
		return
	}
	c.mu.Lock()
	c.syncRoster()
	c.startDueProbes(ctx)
	recovered, ready := c.completeClaims()
	var plans []servicePlan
	if ready && !c.Clock.Now().Before(c.planNotBefore) {
		plans = c.plan()
	}
	c.mu.Unlock()
	if recovered != nil {
		c.ledgerStale = !c.commit(ctx, grant, *recovered) // on failure, retried in the next tick
		return
	}
	c.applyPlans(ctx, grant, plans)
}

func (c *Controller) endTenure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledgerLoaded {
		c.Log.Info("duty over", "zone", c.Zone, "fence", c.fence)
	}
	c.ledgerLoaded = false
}

// beginTenure reads the claims that the previous owner left. A lease that was renewed
// late returns with its old fence: the engine state is outdated then, but epochs
// continue, because none may be issued twice.
func (c *Controller) beginTenure(ctx context.Context, grant lease.Grant) bool {
	if !c.readLedger(ctx) || c.ledgerRow.Era != grant.Era {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledgerStale = c.ledger.Era < grant.Era
	if c.fence != grant.Fence {
		c.fence, c.epochs = grant.Fence, 0
	}
	c.tenureStart = c.Clock.Now()
	c.engineStates = map[roster.ID]*EngineState{}
	c.probes = map[roster.ID]*probe{}
	c.memories = map[string]*Memory{}
	c.reportRTT = roundTrip{}
	c.Log.Info("duty begun", "zone", c.Zone, "fence", grant.Fence, "taken_over", grant.TakenOver, "groups", len(c.ledger.Groups), "claims_era", c.ledger.Era, "era", grant.Era)
	return true
}

func (c *Controller) readLedger(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, err := c.Table.Get(ctx, table.TableGroups, c.Zone)
	if err != nil {
		c.Log.Warn("cannot read claims", "zone", c.Zone, "err", err)
		return false
	}
	var l Ledger
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &l); err != nil {
			c.Log.Error("cannot decode claims; delete the row manually", "zone", c.Zone, "err", err)
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger, c.ledgerRow, c.ledgerLoaded = l, row, true
	return true
}

// servicePlan is the plan of one service.
type servicePlan struct {
	service string
	output  Output
}

// plan makes the plans of all services that have engines.
func (c *Controller) plan() []servicePlan {
	cat := c.Catalog()
	if cat == nil || !c.ledgerLoaded {
		return nil
	}
	var all []servicePlan
	for i := range cat.Services {
		s := &cat.Services[i]
		if s.Engine == nil || !c.allEnginesProbed(s.Name) {
			continue
		}
		out := c.planService(s)
		for id, pause := range out.ProbeDelays {
			c.probeWithin(id, pause)
		}
		all = append(all, servicePlan{s.Name, out})
	}
	return all
}

func (c *Controller) planService(s *catalog.Service) Output {
	mem := c.memories[s.Name]
	if mem == nil {
		mem = NewMemory()
		c.memories[s.Name] = mem
	}
	engineStates := map[roster.ID]*EngineState{}
	r := c.Roster()
	for id, f := range c.engineStates {
		e := r.Get(id)
		if e != nil && e.Service != s.Name {
			continue
		}
		f.LastActivity, f.Stalled = c.Activity(id)
		if p := c.probes[id]; p != nil && c.Clock.Now().Before(p.suspectUntil) {
			f.Stalled = true // in a large fleet most requests at a head come from other nodes
		}
		engineStates[id] = f
	}
	var elsewhere map[string]float64
	if c.Elsewhere != nil {
		elsewhere = c.Elsewhere(s)
	}
	return Plan(&Input{
		Now: c.Clock.Now(), TenureStart: c.tenureStart, Zone: c.Zone, Service: s.Name, Engine: s.Engine,
		Engines: engineStates, Ledger: c.ledger, NextEpoch: c.nextEpoch, Demand: c.Demand(s.Name), Elsewhere: elsewhere,
		BeforeFirstRequest: c.BeforeFirstRequest(), Params: c.Params(s.Engine),
	}, mem)
}

func (c *Controller) nextEpoch() uint64 {
	c.epochs++
	return c.fence*epochsPerFence + c.epochs
}
