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
	// Demand returns what requests for a service have asked for of late in the zone.
	Demand func(service string) demand.Demand
	// ManyNodes reports whether the zone has so many nodes that each has few of a head's
	// streams.
	ManyNodes func() bool
	// Announce tells all nodes that a head takes requests, or no longer does.
	Announce func(roster.Hint)

	mu      sync.Mutex // guards what follows
	facts   map[roster.ID]*Fact
	probes  map[roster.ID]*probe
	ledger  Ledger
	row     table.Row     // of the ledger, as it was last read or written
	loaded  bool          // the ledger was read in this tenure
	partial bool          // it is an older copy: groups that stand may be missing in it
	fence   uint64        // of the tenure
	since   clock.Instant // when the tenure began
	epochs  uint64        // given out in this tenure
	memory  map[string]*Memory
	pace    roundTrip     // of this tenure's reports
	rests   clock.Instant // no plan before that: the table failed
	wake    chan struct{}
}

// The pace of the controller.
const (
	step = 50 * time.Millisecond // between two looks
	// stepIdle is the pause while another node holds the lease, whose acquisition asks
	// for a look. Each node has a controller for each zone: at 50 ms five of them wake an
	// idle node a hundred times a second.
	stepIdle = time.Second
	// stepRest is how many times as long as a look took the next one waits at least: the
	// reports of a zone of 219 engines come a hundred a second, and each asks for one. A
	// small zone's looks take a fraction of a ms and follow each other at once.
	stepRest = 4
	// stepRestMost bounds that: a look may have waited for the store.
	stepRestMost = 10 * time.Millisecond
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
	briefFor   = 400 * time.Millisecond // how long a doubt shortens reports' limit
	// sureFor is the least pause between two reports of an engine that answers.
	// Each node that has streams at a head doubts it at another moment: without
	// the pause one long pass would cost several reports of each of 16 members.
	sureFor    = 100 * time.Millisecond
	orderLimit = 500 * time.Millisecond
	writeLimit = time.Second
	// commitAgain is the pause after claims that the table did not take: planned anew with
	// each look, they would cost two calls a look while the table fails.
	commitAgain = 150 * time.Millisecond
	// epochsPerFence is how many epochs one tenure may give out; the fence of
	// the lease stands above them, so that no later tenure gives out a lower one.
	epochsPerFence = 1 << 18
)

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		pause := step
		if _, held := c.Lease.Held(c.Clock.Now()); !held {
			pause = stepIdle
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		case <-c.wake:
		}
		began := c.Clock.Now()
		c.tick(ctx)
		clock.Sleep(ctx, min(stepRestMost, stepRest*c.Clock.Now().Sub(began)))
	}
}

// Init makes the controller ready for Run and Nudge.
func (c *Controller) Init() *Controller {
	c.wake = make(chan struct{}, 1)
	return c
}

// Nudge asks for a look at once, as when the lease has been acquired.
func (c *Controller) Nudge() { c.nudge() }

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
	if c.Roster().Partial {
		return // members that it doesn't name would seem lost
	}
	if grant.Era != c.row.Era && !c.putBack(ctx, grant) {
		return
	}
	c.mu.Lock()
	c.follow()
	c.probeDue(ctx)
	recovered, ready := c.completeClaims()
	var plans []planned
	if ready && !c.Clock.Now().Before(c.rests) {
		plans = c.plan()
	}
	c.mu.Unlock()
	if recovered != nil {
		c.partial = !c.commit(ctx, grant, *recovered) // tried again
		return
	}
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
	if !c.readLedger(ctx) || c.row.Era != grant.Era {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = c.ledger.Era < grant.Era
	if c.fence != grant.Fence {
		c.fence, c.epochs = grant.Fence, 0
	}
	c.since = c.Clock.Now()
	c.facts = map[roster.ID]*Fact{}
	c.probes = map[roster.ID]*probe{}
	c.memory = map[string]*Memory{}
	c.pace = roundTrip{}
	c.Log.Info("duty begun", "zone", c.Zone, "fence", grant.Fence, "taken_over", grant.TakenOver, "groups", len(c.ledger.Groups), "claims_era", c.ledger.Era, "era", grant.Era)
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
	c.ledger, c.row, c.loaded = l, row, true
	return true
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
		if p := c.probes[id]; p != nil && c.Clock.Now().Before(p.suspect) {
			f.Suspect = true // most requests at a head are other nodes' in a large fleet
		}
		facts[id] = f
	}
	return Plan(&Input{
		Now: c.Clock.Now(), Since: c.since, Zone: c.Zone, Service: s.Name, Engine: s.Engine,
		Facts: facts, Ledger: c.ledger, NextEpoch: c.nextEpoch, Demand: c.Demand(s.Name),
		FreeLoads: c.FreeLoads(), Params: c.Params(s.Engine),
	}, mem)
}

func (c *Controller) nextEpoch() uint64 {
	c.epochs++
	return c.fence*epochsPerFence + c.epochs
}
