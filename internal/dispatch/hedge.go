package dispatch

import (
	"context"
	"errors"
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
// a second endpoint as well: the first may be paused, which nothing shows for
// seconds, while a clerk stands at the window. The first whole answer wins.
// Lookups may run twice, and the second try is taken from the retry budget, so
// that a slow service is not asked twice by everybody.
func (d *Dispatcher) lookUp(ctx context.Context, s *session, first route.Choice) *outcome.Error {
	raceCtx, end := context.WithCancelCause(ctx)
	defer end(errOvertaken)
	race := &race{d: d, got: make(chan asked, 2)}
	race.ask(raceCtx, s, first)
	hedge := time.NewTimer(d.opt.HedgeAfter)
	defer hedge.Stop()
	var last *outcome.Error
	for race.waiting > 0 {
		select {
		case a := <-race.got:
			race.waiting--
			if a.err == nil {
				if race.waiting > 0 && 2*a.took < d.opt.HedgeAfter {
					defer end(errStuck)
				}
				return d.deliver(ctx, s, a.reply)
			}
			s.add(a.err)
			last = a.err
		case <-hedge.C:
			if c, ok := d.second(s); ok {
				race.ask(raceCtx, s, c)
			}
		}
	}
	return last
}

// second picks another endpoint, if there is one and the budget allows it.
func (d *Dispatcher) second(s *session) (route.Choice, bool) {
	c, err := d.opt.Router.Pick(s.req, d.opt.View.Snapshot(), d.opt.Clock.Now(), s.tried)
	if err != nil || c.Kind == route.ToGroup || c.Kind == route.ToNode && d.opt.Peers == nil {
		return c, false
	}
	ok, _ := d.opt.Retry.Allow(s.req.Class)
	return c, ok
}

// race is the tries of one lookup that are under way.
type race struct {
	d       *Dispatcher
	got     chan asked // holds the results of all tries: none blocks
	waiting int
}

// asked is how a try of a lookup ended.
type asked struct {
	reply *reply
	err   *outcome.Error
	took  time.Duration
}

// ask starts a try. Its goroutine ends with ctx at the latest.
func (r *race) ask(ctx context.Context, s *session, c route.Choice) {
	r.waiting++
	t := r.d.begin(ctx, s, c)
	req := s.req
	go func() {
		ctx, span := r.d.startTry(ctx, c)
		rep, err := r.d.fetchFrom(ctx, req, c, t)
		endTry(span, err)
		now := r.d.opt.Clock.Now()
		if errors.Is(context.Cause(ctx), errStuck) {
			t.blamed = true
		}
		r.d.opt.Router.End(c, t.result(now, err))
		r.got <- asked{reply: rep, err: err, took: now.Sub(t.started)}
	}()
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
