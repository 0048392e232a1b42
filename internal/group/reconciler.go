package group

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"golang.org/x/sync/errgroup"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

var tracer = otel.Tracer("chervilloom/group")

// Lease tells whether this node holds the duty now.
type Lease interface {
	Held(now clock.Instant) (lease.Grant, bool)
}

// Orderer sends an order to an engine and returns its state after it.
type Orderer interface {
	Order(ctx context.Context, addr string, o engine.Order) (engine.OrderResult, error)
}

// Sink takes events for the view; it never blocks.
type Sink interface{ Put(view.Event) }

// Targets says how many replicas of each spec the snapshot's zone should hold,
// by spec name.
type Targets func(*view.Snapshot) map[string]int

// Duty returns the name of the lease for the zone's groups.
func Duty(zone fleet.AvailabilityZone) string { return "groups/" + string(zone) }

// Deps is what a Reconciler works with.
type Deps struct {
	Zone     fleet.AvailabilityZone
	Table    Table
	Orders   Orderer
	Lease    Lease
	View     view.Source
	Sink     Sink
	Clock    clock.Clock
	Targets  Targets // nil: the zone's share of each spec's minimum
	Explain  explain.Recorder
	Log      *slog.Logger
	Registry prometheus.Registerer
	Tune     Tune // zero: DefaultTune
	Timing   Timing
}

// Timing holds the reconciler's intervals; zero values stand for the defaults.
type Timing struct {
	Tick         time.Duration // between plans; default 200 ms
	Read         time.Duration // between reads of the table by the holder, besides those after its own writes; default 2 s
	ReadTimeout  time.Duration // of one read of the table; default 2 s
	SlowRead     time.Duration // between reads by another node, at least; default 3 s
	OrderTimeout time.Duration // of one order; default 1 s
	// CommitTimeout is for one transaction, the client's read-back included;
	// default 3 s.
	CommitTimeout time.Duration
	Commits       int           // transactions at once; default 8
	AtOnce        int           // orders at once; default 16
	Margin        time.Duration // of the lease that must be left to act; default 500 ms
}

func (t Timing) withDefaults() Timing {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&t.Tick, 200*time.Millisecond)
	def(&t.Read, 2*time.Second)
	def(&t.ReadTimeout, 2*time.Second)
	def(&t.SlowRead, 3*time.Second)
	def(&t.OrderTimeout, time.Second)
	def(&t.CommitTimeout, 3*time.Second)
	def(&t.Margin, 500*time.Millisecond)
	if t.Commits == 0 {
		t.Commits = 8
	}
	if t.AtOnce == 0 {
		t.AtOnce = 16
	}
	return t
}

// Reconciler carries out the plans of one availability zone.
type Reconciler struct {
	Deps
	metrics *metrics
	mem     *Memory
	rows    *rows
	dirty   bool // the rows must be read before the next plan
	fence   uint64
	// retryRead: not to be read before; reads fail while the platform is down.
	retryRead clock.Instant
	lastPlan  clock.Instant // of this tenure; 0: none
	told      map[Note]bool // notes of the plan before
}

// New returns a reconciler; Run starts it.
func New(d Deps) *Reconciler {
	if d.Tune == (Tune{}) {
		d.Tune = DefaultTune()
	}
	d.Timing = d.Timing.withDefaults()
	if d.Targets == nil {
		d.Targets = MinTargets
	}
	return &Reconciler{Deps: d, metrics: newMetrics(d.Registry), mem: NewMemory(), dirty: true}
}

// Run reconciles until ctx ends. The lease must be released only after Run has
// returned: an order may be on its way until then.
func (r *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(r.Timing.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			r.Step(ctx)
		}
	}
}

// Step reads what is due, plans and acts once.
func (r *Reconciler) Step(ctx context.Context) {
	now := r.Clock.Now()
	grant, ok := r.Lease.Held(now)
	if !ok || grant.Left(now) < r.Timing.Margin {
		if r.fence != 0 {
			r.metrics.retired()
		}
		r.fence, r.lastPlan = 0, 0
		r.read(ctx, now, r.slowRead())
		return
	}
	if grant.Fence != r.fence {
		r.fence, r.dirty, r.mem = grant.Fence, true, r.mem.Restart()
	}
	every := r.Timing.Read
	if r.dirty {
		every = 0
	}
	if !r.read(ctx, now, every) {
		return // cut off from the platform: nothing is claimed, what is formed goes on
	}
	r.act(ctx, grant)
}

// slowRead grows with the number of nodes, so that their reads together stay a
// small share of what the table can serve.
func (r *Reconciler) slowRead() time.Duration {
	const perNode = 50 * time.Millisecond
	return max(r.Timing.SlowRead, time.Duration(len(r.View.Snapshot().Nodes))*perNode)
}

// read reports whether the rows are at most every old, reading them when not.
func (r *Reconciler) read(ctx context.Context, now clock.Instant, every time.Duration) bool {
	if r.rows != nil && every > 0 && now.Sub(r.rows.at) < every {
		return true
	}
	if now.Before(r.retryRead) {
		return false
	}
	rctx, cancel := context.WithTimeout(ctx, r.Timing.ReadTimeout)
	defer cancel()
	fresh, err := readRows(rctx, r.Table, r.Zone, now, r.Log)
	if err != nil {
		r.metrics.readFailed.Inc()
		r.retryRead = r.Clock.Now().Add(r.Timing.Read / 2)
		return false
	}
	r.rows, r.dirty = fresh, false
	r.Sink.Put(fresh.event(r.Zone))
	return true
}

func (r *Reconciler) act(ctx context.Context, grant lease.Grant) {
	snap := r.View.Snapshot()
	now := r.Clock.Now()
	plan := Make(&Input{
		Now: now, Snap: snap, Claims: r.rows.claims, Groups: r.rows.groupList(),
		Targets: r.Targets(snap), Grant: grant, Tune: r.Tune,
	}, r.mem)
	since := time.Duration(0)
	if r.lastPlan != 0 {
		since = now.Sub(r.lastPlan)
	}
	r.lastPlan = now
	r.metrics.planned(r.Clock.Now().Sub(now), since, &plan)
	r.explainNotes(plan.Notes)
	if !r.commitAll(ctx, grant, plan.Changes) {
		return // the orders were made for rows that are not known now
	}
	r.sendOrders(ctx, grant, plan.Orders)
}

// commitAll commits the changes, a few at a time: they touch different rows. It
// reports whether all landed.
func (r *Reconciler) commitAll(ctx context.Context, grant lease.Grant, changes []Change) bool {
	results := make([]platform.Result, len(changes))
	var eg errgroup.Group
	eg.SetLimit(r.Timing.Commits)
	landed := make([]bool, len(changes))
	for i := range changes {
		eg.Go(func() error {
			results[i], landed[i] = r.commit(ctx, grant, &changes[i])
			return nil
		})
	}
	_ = eg.Wait() // commit reports by its results
	all := true
	for i := range changes {
		if !landed[i] {
			all, r.dirty = false, true
			continue
		}
		r.took(&changes[i], &results[i])
	}
	if len(changes) > 0 {
		r.Sink.Put(r.rows.event(r.Zone))
	}
	return all
}

// took brings the rows up to date with a change that landed.
func (r *Reconciler) took(c *Change, res *platform.Result) {
	for i := range res.Rows {
		r.rows.put(&res.Rows[i], r.Log)
	}
	for _, w := range c.Txn.Writes {
		if w.Delete {
			delete(r.rows.groups, fleet.GroupID(w.Key))
		}
	}
}

// commit writes one change under the lease and reports whether it landed.
func (r *Reconciler) commit(ctx context.Context, grant lease.Grant, c *Change) (platform.Result, bool) {
	now := r.Clock.Now()
	held, ok := r.Lease.Held(now)
	if !ok || held.Fence != grant.Fence || held.Left(now) < r.Timing.Margin {
		return platform.Result{}, false
	}
	// The lease may have been renewed since the plan was made.
	c.Txn.Checks[0].Version = held.Version
	ctx, span := tracer.Start(ctx, "group."+string(c.Kind))
	defer span.End()
	span.SetAttributes(attribute.String("group", string(c.Group.ID)), attribute.String("reason", c.Reason))
	ctx, cancel := context.WithTimeout(ctx, min(r.Timing.CommitTimeout, held.Left(now)))
	defer cancel()
	c.Txn.Attempt = uuid.NewString()
	res, err := r.Table.Commit(ctx, c.Txn)
	result := committed
	switch {
	case errors.Is(err, platform.ErrAmbiguous):
		// It may have landed. Nothing is assumed: the rows are read again and
		// the next plan starts from what they hold.
		result = "ambiguous"
	case err != nil:
		result = "failed"
	case !res.Committed:
		result = "conflict"
	}
	if result != committed {
		span.SetStatus(codes.Error, result)
	}
	r.metrics.change(c.Kind, result)
	r.explainChange(c, result)
	return res, result == committed
}

const committed = "committed"

// explainNotes records the notes that differ from those of the plan before.
func (r *Reconciler) explainNotes(notes []Note) {
	told := make(map[Note]bool, len(notes))
	for _, n := range notes {
		told[n] = true
		if !r.told[n] {
			r.Explain.Note(explain.Step{Subject: n.Subject, Stage: "group", Decision: n.Decision, Reason: n.Reason})
		}
	}
	r.told = told
}

func (r *Reconciler) explainChange(c *Change, result string) {
	r.Explain.Note(explain.Step{
		Subject: string(c.Group.ID), Stage: "group", Decision: string(c.Kind) + " " + result,
		Reason: c.Reason, Facts: c.Facts,
	})
	r.Log.Info("group changed", "group", c.Group.ID, "generation", c.Group.Generation,
		"change", c.Kind, "result", result, "reason", c.Reason)
}

// MinTargets is the zone's share of each spec's minimum.
func MinTargets(snap *view.Snapshot) map[string]int {
	out := map[string]int{}
	if snap.Config == nil {
		return out
	}
	for i := range snap.Config.Groups {
		s := &snap.Config.Groups[i]
		out[s.Name] = Share(s, s.Min, snap)
	}
	return out
}
