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

// Lease reports whether this node holds the duty, with the grant.
type Lease interface {
	Held(now clock.Instant) (lease.Grant, bool)
}

// Orderer sends an order to an engine and returns the engine's state after it.
type Orderer interface {
	Order(ctx context.Context, addr string, o engine.Order) (engine.OrderResult, error)
}

// Sink receives events for the view; Put must not block.
type Sink interface{ Put(view.Event) }

// Targets returns the wanted number of replicas of each spec in the snapshot's
// zone, by spec name.
type Targets func(*view.Snapshot) map[string]int

// Duty returns the name of the lease for the zone's groups.
func Duty(zone fleet.AvailabilityZone) string { return "groups/" + string(zone) }

// Deps holds the dependencies and settings of a Reconciler.
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
	Params   Params // zero: DefaultParams
	Timing   Timing
}

// Timing holds the reconciler's intervals and limits; zero values select the
// defaults.
type Timing struct {
	PlanInterval        time.Duration // between plans; default 200 ms
	ReadInterval        time.Duration // between the holder's reads of the table, except after failed writes; default 2 s
	ReadTimeout         time.Duration // of one read of the table; default 2 s
	StandbyReadInterval time.Duration // minimum between reads of the table by other nodes; default 3 s
	OrderTimeout        time.Duration // of one order; default 1 s
	// CommitTimeout limits one transaction including the client's read-back;
	// default 3 s.
	CommitTimeout        time.Duration
	MaxConcurrentCommits int           // concurrent transactions; default 8
	MaxConcurrentOrders  int           // concurrent orders; default 16
	LeaseMargin          time.Duration // remaining lease time required to act; default 500 ms
}

func (t Timing) withDefaults() Timing {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&t.PlanInterval, 200*time.Millisecond)
	setDefault(&t.ReadInterval, 2*time.Second)
	setDefault(&t.ReadTimeout, 2*time.Second)
	setDefault(&t.StandbyReadInterval, 3*time.Second)
	setDefault(&t.OrderTimeout, time.Second)
	setDefault(&t.CommitTimeout, 3*time.Second)
	setDefault(&t.LeaseMargin, 500*time.Millisecond)
	if t.MaxConcurrentCommits == 0 {
		t.MaxConcurrentCommits = 8
	}
	if t.MaxConcurrentOrders == 0 {
		t.MaxConcurrentOrders = 16
	}
	return t
}

// Reconciler carries out the plans of one availability zone.
type Reconciler struct {
	Deps
	metrics     *metrics
	mem         *Memory
	rows        *rows
	rowsStale   bool // the rows must be read again before the next plan
	tenureFence uint64
	// nextRead is the earliest time of the next read after a failed one; it limits
	// reads while the platform is down.
	nextRead          clock.Instant
	lastPlan          clock.Instant     // in this tenure; 0: none
	previousDeferrals map[Deferral]bool // from the previous plan
}

// New returns a reconciler; Run starts it.
func New(d Deps) *Reconciler {
	if d.Params == (Params{}) {
		d.Params = DefaultParams()
	}
	d.Timing = d.Timing.withDefaults()
	if d.Targets == nil {
		d.Targets = MinTargets
	}
	return &Reconciler{Deps: d, metrics: newMetrics(d.Registry), mem: NewMemory(), rowsStale: true}
}

// Run reconciles until ctx is done. The lease must be released only after Run has
// returned, because an order may be in flight until then.
func (r *Reconciler) Run(ctx context.Context) error {
	tick := time.NewTicker(r.Timing.PlanInterval)
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

// Step runs one cycle: it reads the table if due, plans, commits and sends orders.
// Without the lease it only reads.
func (r *Reconciler) Step(ctx context.Context) {
	now := r.Clock.Now()
	grant, ok := r.Lease.Held(now)
	if !ok || grant.Remaining(now) < r.Timing.LeaseMargin {
		if r.tenureFence != 0 {
			r.metrics.resetGauges()
		}
		r.tenureFence, r.lastPlan = 0, 0
		r.refreshRows(ctx, now, r.standbyReadInterval())
		return
	}
	if grant.Fence != r.tenureFence {
		r.tenureFence, r.rowsStale, r.mem = grant.Fence, true, r.mem.ForNewTenure()
	}
	interval := r.Timing.ReadInterval
	if r.rowsStale {
		interval = 0
	}
	if !r.refreshRows(ctx, now, interval) {
		return // the platform is unreachable: no new claims; existing groups keep serving
	}
	r.planAndApply(ctx, grant)
}

// standbyReadInterval returns the interval between reads without the lease. It
// grows with the number of nodes, so that all of them together use a small share
// of the table's capacity.
func (r *Reconciler) standbyReadInterval() time.Duration {
	const perNode = 50 * time.Millisecond
	return max(r.Timing.StandbyReadInterval, time.Duration(len(r.View.Snapshot().Nodes))*perNode)
}

// refreshRows reads the rows unless they are younger than interval, and reports
// whether they are up to date; interval 0 always reads.
func (r *Reconciler) refreshRows(ctx context.Context, now clock.Instant, interval time.Duration) bool {
	if r.rows != nil && interval > 0 && now.Sub(r.rows.readAt) < interval {
		return true
	}
	if now.Before(r.nextRead) {
		return false
	}
	rctx, cancel := context.WithTimeout(ctx, r.Timing.ReadTimeout)
	defer cancel()
	fresh, err := readRows(rctx, r.Table, r.Zone, now, r.Log)
	if err != nil {
		r.metrics.readFailed.Inc()
		r.nextRead = r.Clock.Now().Add(r.Timing.ReadInterval / 2)
		return false
	}
	r.rows, r.rowsStale = fresh, false
	r.Sink.Put(fresh.event(r.Zone))
	return true
}

func (r *Reconciler) planAndApply(ctx context.Context, grant lease.Grant) {
	snap := r.View.Snapshot()
	now := r.Clock.Now()
	plan := MakePlan(&Input{
		Now: now, Snap: snap, Claims: r.rows.claims, Groups: r.rows.groupList(),
		Targets: r.Targets(snap), Grant: grant, Params: r.Params,
	}, r.mem)
	since := time.Duration(0)
	if r.lastPlan != 0 {
		since = now.Sub(r.lastPlan)
	}
	r.lastPlan = now
	r.metrics.observePlan(r.Clock.Now().Sub(now), since, &plan)
	r.explainDeferrals(plan.Deferrals)
	if !r.commitAll(ctx, grant, plan.Changes) {
		return // the orders were planned for rows that may have changed
	}
	r.sendOrders(ctx, grant, plan.Orders)
}

// commitAll commits the changes concurrently, since they write different rows. It
// reports whether all were committed.
func (r *Reconciler) commitAll(ctx context.Context, grant lease.Grant, changes []Change) bool {
	results := make([]platform.Result, len(changes))
	var eg errgroup.Group
	eg.SetLimit(r.Timing.MaxConcurrentCommits)
	done := make([]bool, len(changes))
	for i := range changes {
		eg.Go(func() error {
			results[i], done[i] = r.commit(ctx, grant, &changes[i])
			return nil
		})
	}
	_ = eg.Wait() // commit returns no error, only a result
	all := true
	for i := range changes {
		if !done[i] {
			all, r.rowsStale = false, true
			continue
		}
		r.applyCommitted(&changes[i], &results[i])
	}
	if len(changes) > 0 {
		r.Sink.Put(r.rows.event(r.Zone))
	}
	return all
}

// applyCommitted updates the cached rows with a committed change.
func (r *Reconciler) applyCommitted(c *Change, res *platform.Result) {
	for i := range res.Rows {
		r.rows.put(&res.Rows[i], r.Log)
	}
	for _, w := range c.Txn.Writes {
		if w.Delete {
			delete(r.rows.groups, fleet.GroupID(w.Key))
		}
	}
}

// commit commits one change if the lease is still held with the margin left, and
// reports whether it was committed.
func (r *Reconciler) commit(ctx context.Context, grant lease.Grant, c *Change) (platform.Result, bool) {
	now := r.Clock.Now()
	held, ok := r.Lease.Held(now)
	if !ok || held.Fence != grant.Fence || held.Remaining(now) < r.Timing.LeaseMargin {
		return platform.Result{}, false
	}
	// The lease may have been renewed since the plan was made.
	c.Txn.Checks[0].Version = held.Version
	ctx, span := tracer.Start(ctx, "group."+string(c.Kind))
	defer span.End()
	span.SetAttributes(attribute.String("group", string(c.Group.ID)), attribute.String("reason", c.Reason))
	ctx, cancel := context.WithTimeout(ctx, min(r.Timing.CommitTimeout, held.Remaining(now)))
	defer cancel()
	c.Txn.Attempt = uuid.NewString()
	res, err := r.Table.Commit(ctx, c.Txn)
	result := resultCommitted
	switch {
	case errors.Is(err, platform.ErrAmbiguous):
		// The outcome is unknown: the rows are read again, and the next plan
		// starts from them.
		result = "ambiguous"
	case err != nil:
		result = "failed"
	case !res.Committed:
		result = "conflict"
	}
	if result != resultCommitted {
		span.SetStatus(codes.Error, result)
	}
	r.metrics.countChange(c.Kind, result)
	r.explainChange(c, result)
	return res, result == resultCommitted
}

const resultCommitted = "committed"

// explainDeferrals records the postponed actions that the previous plan did not have.
func (r *Reconciler) explainDeferrals(deferrals []Deferral) {
	current := make(map[Deferral]bool, len(deferrals))
	for _, n := range deferrals {
		current[n] = true
		if !r.previousDeferrals[n] {
			r.Explain.Record(explain.Step{Subject: n.Subject, Stage: "group", Decision: n.Decision, Reason: n.Reason})
		}
	}
	r.previousDeferrals = current
}

func (r *Reconciler) explainChange(c *Change, result string) {
	r.Explain.Record(explain.Step{
		Subject: string(c.Group.ID), Stage: "group", Decision: string(c.Kind) + " " + result,
		Reason: c.Reason, Facts: c.Facts,
	})
	r.Log.Info("group changed", "group", c.Group.ID, "generation", c.Group.Generation,
		"change", c.Kind, "result", result, "reason", c.Reason)
}

// MinTargets returns the zone's share of each spec's minimum, by spec name.
func MinTargets(snap *view.Snapshot) map[string]int {
	out := map[string]int{}
	if snap.Config == nil {
		return out
	}
	for i := range snap.Config.Groups {
		s := &snap.Config.Groups[i]
		out[s.Name] = ZoneShare(s, s.Min, snap)
	}
	return out
}
