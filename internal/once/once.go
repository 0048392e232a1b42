// Package once provides at-most-once execution of non-repeatable calls, also when
// the caller retries through other nodes while nodes, availability zones and the
// platform fail.
//
// A caller identifies its call in one of two ways. A ticket, requested
// beforehand, names one incarnation of a node, its holder. Only the holder
// dispatches the call and stores its outcome; every other node forwards tries to
// it. Tickets don't need the platform; if the holder is lost, the outcome is
// "unknown". An Idempotency-Key alone is claimed in the platform's table before
// each dispatch, and the row names the holder; if the table does not answer,
// nothing is dispatched.
//
// Requests with neither a ticket nor a key pass through.
package once

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

// Options configure a Keeper. A zero limit selects its default.
type Options struct {
	Self    fleet.Node
	Table   Table
	Peers   Peers
	View    view.Source
	Clock   clock.Clock
	WallNow func() time.Time // default time.Now
	Log     *slog.Logger
	Explain explain.Recorder // nil: none

	Registerer prometheus.Registerer // nil: none
	// Secret authenticates tickets. All nodes have the same.
	Secret []byte
	// Authorise returns the organisation of a caller that requests a ticket.
	Authorise func(http.Header) (fleet.Organisation, *outcome.Error)
	// OwnsDuty reports whether this node owns the duty of the subject (SweepSubject).
	OwnsDuty func(subject string) bool

	TicketTTL              time.Duration // default 30min
	ClaimTimeout           time.Duration // timeout of a caller's wait for a claim; default 1s
	MaxClockSkew           time.Duration // maximum difference between the wall clocks of nodes; default 5min
	MaxEntries             int           // maximum number of keys and tickets in memory; default 200,000
	MaxStoredBytes         int64         // maximum total bytes of first answers in memory; default 64 MiB
	MaxAnswerBytes         int           // maximum bytes of one first answer in memory; default 64 KiB
	MaxRecordedAnswerBytes int           // maximum bytes of one first answer in the table; default 4 KiB
	SweepInterval          time.Duration // default 5s
	SweepBatchRows         int           // maximum rows deleted per sweep; default 100
	Write                  WriteLimits
}

func (o Options) withDefaults() Options {
	setDefault(&o.TicketTTL, 30*time.Minute)
	setDefault(&o.ClaimTimeout, time.Second)
	setDefault(&o.MaxClockSkew, 5*time.Minute)
	setDefault(&o.MaxEntries, 200_000)
	setDefault(&o.MaxStoredBytes, 64<<20)
	setDefault(&o.MaxAnswerBytes, 64<<10)
	setDefault(&o.MaxRecordedAnswerBytes, 4<<10)
	setDefault(&o.SweepInterval, 5*time.Second)
	setDefault(&o.SweepBatchRows, 100)
	if o.WallNow == nil {
		o.WallNow = time.Now
	}
	if o.OwnsDuty == nil {
		o.OwnsDuty = func(string) bool { return false }
	}
	o.Write = o.Write.withDefaults()
	return o
}

const defaultRetention = 24 * time.Hour

// Keeper manages the keys and tickets held by one incarnation of a node.
type Keeper struct {
	opt         Options
	mem         *memory
	writer      *writer
	ticketCodec ticketCodec
	metrics     *metrics
	sweepPos    sweepPosition
}

// New returns a Keeper. It fails if the secret is too short or the VM name too
// long for tickets.
func New(opt Options) (*Keeper, error) {
	opt = opt.withDefaults()
	if len(opt.Secret) < minSecretBytes {
		return nil, errors.New("once: the ticket secret is shorter than 16 bytes; set a longer one, the same on all nodes")
	}
	if len(opt.Self.VM) > maxNameBytes {
		return nil, errors.New("once: the VM name is longer than 255 bytes; use a shorter one")
	}
	k := &Keeper{opt: opt, ticketCodec: newTicketCodec(opt.Secret)}
	k.mem = newMemory(opt.Self, opt.MaxEntries, opt.MaxStoredBytes)
	k.metrics = newMetrics(opt.Registerer, k.mem)
	k.writer = newWriter(opt.Table, opt.Clock, opt.Log, k.metrics, opt.Write)
	return k, nil
}

const minSecretBytes = 16

// Run commits claims and sweeps expired entries and rows until ctx ends. Cancel
// ctx only after the last request has finished and Flush has returned; keyed
// requests that arrive later are refused because they cannot be claimed.
func (k *Keeper) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.writer.run(ctx)
	}()
	k.sweepLoop(ctx)
	<-done
}

// Filter returns the filter that handles keys and tickets on the request path.
func (k *Keeper) Filter() filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			if req.Stage == request.StageKey {
				w = &refusalEncoder{Writer: w}
			}
			k.serve(ctx, req, w, next)
		})
	}
}

func (k *Keeper) serve(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	switch {
	case req.Stage == request.StageDispatch:
		// The state is held by the node that forwarded the request.
		next.Serve(ctx, req, w)
	case req.ResumeID != "":
		// Resuming an answer does not run the call again.
		next.Serve(ctx, req, w)
	case req.Ticket != "":
		k.serveTicket(ctx, req, w, next)
	case req.Key != "":
		k.serveKey(ctx, req, w, next)
	default:
		next.Serve(ctx, req, w)
	}
}

func (k *Keeper) retention() time.Duration {
	doc := k.opt.View.Snapshot().Config
	if doc == nil {
		return defaultRetention
	}
	return doc.Policy.KeyRetention.Or(defaultRetention)
}

// try is one try of a call in the filter.
type try struct {
	k             *Keeper
	req           *request.Request
	w             answer.Writer
	next          filter.Handler
	id            string // ID of the entry
	mechanism     string
	hash          Hash
	startedAt     clock.Instant // start of the try, before a claim is sent
	claimValidity time.Duration // validity of a claim, counted from startedAt
}

func (k *Keeper) newTry(req *request.Request, w answer.Writer, next filter.Handler, mechanism string) *try {
	return &try{
		k: k, req: req, w: w, next: next, mechanism: mechanism, hash: bodyHash(req),
		startedAt: k.opt.Clock.Now(), claimValidity: k.retention(),
	}
}

// Names of the mechanisms in metrics and explanations.
const (
	mechanismTicket = "ticket"
	mechanismKey    = "key"
)

func (t *try) recordDecision(act Action) {
	t.k.metrics.decisions.WithLabelValues(t.mechanism, act.Verb.String()).Inc()
	if t.k.opt.Explain == nil {
		return
	}
	t.k.opt.Explain.Record(explain.Step{
		Subject: t.req.ID, Stage: "once", Decision: act.Verb.String(), Reason: act.Reason,
		Facts: []explain.Fact{{Name: t.mechanism, Value: t.id}},
	})
}
