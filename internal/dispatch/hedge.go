package dispatch

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/route"
)

// errOvertaken ends the try of a lookup whose other try answered first,
// errStuck one that was overtaken by far.
var (
	errOvertaken = errors.New("dispatch: another endpoint answered first")
	errStuck     = errors.New("dispatch: another endpoint answered long before")
)

// lookUp sends a lookup and, when no answer has come for a while, sends it to
// a second endpoint as well: the first may be paused, which its probes do not
// show for seconds. The first whole answer wins. Lookups may run twice, and the
// second try is taken from the retry budget, so that a slow service is not
// asked twice for every lookup.
func (d *Dispatcher) lookUp(ctx context.Context, s *session, first route.Choice) *outcome.Error {
	raceCtx, end := context.WithCancel(ctx) // closes what is left of both answers
	defer end()
	firstCtx, stopFirst := context.WithCancelCause(raceCtx)
	defer stopFirst(nil)
	r := &race{d: d, s: s, ctx: raceCtx, stopFirst: stopFirst, got: make(chan asked, 1)}
	t := d.begin(ctx, s, first)
	hedge := time.AfterFunc(d.opt.HedgeAfter, r.second)
	a := r.ask(firstCtx, first, t)
	hedge.Stop()
	if a.err != nil && r.close() {
		b := <-r.got
		if b.err == nil {
			return d.deliver(ctx, s, b.reply)
		}
		s.add(b.err)
	}
	if a.err != nil {
		s.add(a.err)
		return a.err
	}
	r.close()
	return d.deliver(ctx, s, a.reply)
}

// race is the two tries of one lookup. The second try runs on the goroutine of
// the timer and ends with ctx at the latest.
type race struct {
	d         *Dispatcher
	s         *session
	ctx       context.Context
	stopFirst context.CancelCauseFunc
	got       chan asked // the result of the second try; never blocks

	mu     sync.Mutex
	begun  bool // the second try
	closed bool // the first try has ended: the second must not begin or stop it
}

// asked is how a try of a lookup ended.
type asked struct {
	reply *reply
	err   *outcome.Error
	took  time.Duration
}

// close keeps the second try from beginning and reports whether it has begun.
// From then on the session belongs to the first try's goroutine alone.
func (r *race) close() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.begun
}

// second makes the second try.
func (r *race) second() {
	c, t := r.beginSecond()
	if t == nil {
		return
	}
	a := r.ask(r.ctx, c, t)
	r.got <- a
	r.mu.Lock()
	defer r.mu.Unlock()
	won := a.err == nil && !r.closed
	r.d.metrics.hedges.WithLabelValues(strconv.FormatBool(won)).Inc()
	if !won {
		return
	}
	if 2*a.took < r.d.opt.HedgeAfter {
		r.stopFirst(errStuck)
	}
	r.stopFirst(errOvertaken)
}

// beginSecond picks another endpoint, if there is one and the budget allows it.
func (r *race) beginSecond() (route.Choice, *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return route.Choice{}, nil
	}
	d := r.d
	c, err := d.pickNow(r.s)
	if err != nil || c.Kind == route.ToGroup || c.Kind == route.ToNode && d.opt.Peers == nil {
		return c, nil
	}
	if ok, _ := d.opt.Retry.Allow(r.s.req.Class); !ok {
		return c, nil
	}
	r.begun = true
	return c, d.begin(r.ctx, r.s, c)
}

// ask makes one try to its end.
func (r *race) ask(ctx context.Context, c route.Choice, t *try) asked {
	ctx, span := r.d.startTry(ctx, c)
	rep, err := r.d.fetchFrom(ctx, r.s.req, c, t)
	endTry(span, err)
	now := r.d.opt.Clock.Now()
	t.blamed = t.blamed || errors.Is(context.Cause(ctx), errStuck)
	r.d.ended(r.s, c, t.result(now, err))
	return asked{reply: rep, err: err, took: now.Sub(t.started)}
}

func (d *Dispatcher) fetchFrom(ctx context.Context, req *request.Request, c route.Choice, t *try) (*reply, *outcome.Error) {
	if c.Kind == route.ToEndpoint {
		return d.fetch(ctx, req, c.VM, t)
	}
	w := &holder{room: d.opt.AnswerBuffer}
	if err := d.opt.Peers.Relay(ctx, c.Node, d.passedOn(req), w); err != nil {
		return nil, err
	}
	return w.reply()
}

// holder is an answer.Writer that holds a bounded answer back.
type holder struct {
	room int
	rep  reply
	end  answer.End
}

var errNoRoom = errors.New("dispatch: the answer is too long to be held back")

// Start keeps the head.
func (h *holder) Start(head answer.Head) error {
	h.rep.head = head
	return nil
}

// Frame keeps a piece.
func (h *holder) Frame(f answer.Frame) error {
	if len(h.rep.held)+len(f.Data) > h.room {
		return errNoRoom
	}
	h.rep.held = append(h.rep.held, f.Data...)
	return nil
}

// Finish keeps the end.
func (h *holder) Finish(e answer.End) { h.end = e }

func (h *holder) reply() (*reply, *outcome.Error) {
	switch {
	case h.end.Whole:
		return &h.rep, nil
	case h.end.Error != nil:
		return nil, h.end.Error
	}
	return nil, answerCut("the other node's answer has no end", nil)
}
