// Package once makes a call that is marked as not repeatable run at most once,
// also when its caller repeats it through other nodes while nodes, availability
// zones and the platform fail.
//
// A caller names its call by one of two means. A ticket, asked for beforehand,
// names the life of one node; that node alone dispatches the call and remembers
// how it ended, and every other node passes tries to it. No platform is needed,
// and when the holder is lost the answer is "unknown". An Idempotency-Key alone
// is claimed in the platform's table before each dispatch, and the claim names
// the node that remembers; when the table does not answer, nothing is sent.
//
// Calls without either, and requests that carry no key and may be repeated,
// pass through.
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

// Options are what a Keeper needs. Zero values of the bounds stand for the
// defaults.
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
	// Authorise tells the organisation of a caller who asks for a ticket.
	Authorise func(http.Header) (fleet.Organisation, *outcome.Error)
	// Owns reports whether this node has the duty of the subject (SweepSubject).
	Owns func(subject string) bool

	TicketLife  time.Duration // default 30min
	ClaimWait   time.Duration // how long a caller waits for a claim; default 1s
	Skew        time.Duration // how far wall clocks of nodes may differ; default 5min
	MaxEntries  int           // keys and tickets in memory; default 200,000
	MaxHeld     int64         // bytes of first answers in memory; default 64 MiB
	MaxAnswer   int           // bytes of one first answer in memory; default 64 KiB
	MaxRecorded int           // bytes of one first answer in the table; default 4 KiB
	SweepEvery  time.Duration // default 5s
	SweepBatch  int           // rows deleted a round; default 100
	Write       WriteLimits
}

func (o Options) withDefaults() Options {
	setDefault(&o.TicketLife, 30*time.Minute)
	setDefault(&o.ClaimWait, time.Second)
	setDefault(&o.Skew, 5*time.Minute)
	setDefault(&o.MaxEntries, 200_000)
	setDefault(&o.MaxHeld, 64<<20)
	setDefault(&o.MaxAnswer, 64<<10)
	setDefault(&o.MaxRecorded, 4<<10)
	setDefault(&o.SweepEvery, 5*time.Second)
	setDefault(&o.SweepBatch, 100)
	if o.WallNow == nil {
		o.WallNow = time.Now
	}
	if o.Owns == nil {
		o.Owns = func(string) bool { return false }
	}
	o.Write = o.Write.withDefaults()
	return o
}

const defaultRetention = 24 * time.Hour

// Keeper holds the keys and tickets of one life of a node.
type Keeper struct {
	opt    Options
	mem    *memory
	writer *writer
	sealer sealer
	meters *meters
	sweep  sweepCursor
}

// New returns a keeper. It fails when tickets could not be made or read.
func New(opt Options) (*Keeper, error) {
	opt = opt.withDefaults()
	if len(opt.Secret) < minSecret {
		return nil, errors.New("once: the secret for tickets is shorter than 16 bytes; set a longer one, the same on all nodes")
	}
	if len(opt.Self.VM) > maxTicketName {
		return nil, errors.New("once: the VM's name is longer than 255 bytes; shorten it")
	}
	k := &Keeper{opt: opt, sealer: newSealer(opt.Secret)}
	k.mem = newMemory(opt.Self, opt.MaxEntries, opt.MaxHeld)
	k.meters = newMeters(opt.Registerer, k.mem)
	k.writer = newWriter(opt.Table, opt.Clock, opt.Log, k.meters, opt.Write)
	return k, nil
}

const minSecret = 16

// Run commits claims and sweeps until ctx ends. It is to end after the last
// request has and after Flush: a request that comes later is refused for want of
// a claim.
func (k *Keeper) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.writer.run(ctx)
	}()
	k.sweepLoop(ctx)
	<-done
}

// Filter returns the filter of the request path.
func (k *Keeper) Filter() filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			if req.Stage == request.StageKey {
				w = &sealing{Writer: w}
			}
			k.serve(ctx, req, w, next)
		})
	}
}

func (k *Keeper) serve(ctx context.Context, req *request.Request, w answer.Writer, next filter.Handler) {
	switch {
	case req.Stage == request.StageDispatch:
		// The node that passed it on holds its state.
		next.Serve(ctx, req, w)
	case req.ResumeID != "":
		// The rest of an answer that has begun is not another run.
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

// try is one try of a call on its way through the filter.
type try struct {
	k         *Keeper
	req       *request.Request
	w         answer.Writer
	next      filter.Handler
	id        string // of the entry
	mechanism string
	hash      Hash
	began     clock.Instant // before any claim was sent
	valid     time.Duration // how long from then a claim keeps others away
}

func (k *Keeper) newTry(req *request.Request, w answer.Writer, next filter.Handler, mechanism string) *try {
	return &try{
		k: k, req: req, w: w, next: next, mechanism: mechanism, hash: bodyHash(req),
		began: k.opt.Clock.Now(), valid: k.retention(),
	}
}

// The mechanisms, as metrics and explanations name them.
const (
	byTicket = "ticket"
	byKey    = "key"
)

func (t *try) note(act Action) {
	t.k.meters.decisions.WithLabelValues(t.mechanism, act.Verb.String()).Inc()
	if t.k.opt.Explain == nil {
		return
	}
	t.k.opt.Explain.Note(explain.Step{
		Subject: t.req.ID, Stage: "once", Decision: act.Verb.String(), Reason: act.Reason,
		Facts: []explain.Fact{{Name: t.mechanism, Value: t.id}},
	})
}
