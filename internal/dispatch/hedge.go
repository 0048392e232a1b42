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

// Cancellation causes of a lookup's first try: errOvertaken if the second try answered
// first, errStuck if it did so in less than half of HedgeAfter.
var (
	errOvertaken = errors.New("dispatch: another endpoint answered first")
	errStuck     = errors.New("dispatch: another endpoint answered long before")
)

// sendLookup sends a lookup and, if no response arrives within HedgeAfter, also sends it
// to a second endpoint: the first may be paused, which its probes do not show for
// seconds. The first complete response is used. Lookups may run twice. The second try
// consumes retry budget, so that a slow service does not get every lookup twice.
func (d *Dispatcher) sendLookup(ctx context.Context, s *session, first route.Choice) *outcome.Error {
	raceCtx, end := context.WithCancel(ctx) // closes the unread parts of both responses
	defer end()
	firstCtx, stopFirst := context.WithCancelCause(raceCtx)
	defer stopFirst(nil)
	r := &race{d: d, s: s, ctx: raceCtx, stopFirst: stopFirst, secondResult: make(chan tryResult, 1)}
	t := d.beginTry(ctx, s, first)
	hedge := time.AfterFunc(d.opt.HedgeAfter, r.runSecond)
	a := r.runTry(firstCtx, first, t)
	hedge.Stop()
	if a.err != nil && r.close() {
		b := <-r.secondResult
		if b.err == nil {
			return d.deliver(ctx, s, b.reply)
		}
		s.recordFailure(b.err)
	}
	if a.err != nil {
		s.recordFailure(a.err)
		return a.err
	}
	r.close()
	return d.deliver(ctx, s, a.reply)
}

// race runs the two tries of one lookup. The second try runs on the timer's goroutine and
// ends with ctx at the latest.
type race struct {
	d            *Dispatcher
	s            *session
	ctx          context.Context
	stopFirst    context.CancelCauseFunc
	secondResult chan tryResult // result of the second try; buffered, so that sending never blocks

	mu          sync.Mutex
	secondBegun bool // the second try has begun
	firstEnded  bool // the first try has ended: the second must neither begin nor cancel it
}

// tryResult is the result of one try of a lookup.
type tryResult struct {
	reply    *reply
	err      *outcome.Error
	duration time.Duration
}

// close prevents the second try from beginning and reports whether it has begun.
// Afterwards only the first try's goroutine uses the session.
func (r *race) close() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.firstEnded = true
	return r.secondBegun
}

// runSecond makes the second try.
func (r *race) runSecond() {
	c, t := r.beginSecond()
	if t == nil {
		return
	}
	a := r.runTry(r.ctx, c, t)
	r.secondResult <- a
	r.mu.Lock()
	defer r.mu.Unlock()
	won := a.err == nil && !r.firstEnded
	r.d.metrics.hedges.WithLabelValues(strconv.FormatBool(won)).Inc()
	if !won {
		return
	}
	if 2*a.duration < r.d.opt.HedgeAfter {
		r.stopFirst(errStuck)
	}
	r.stopFirst(errOvertaken)
}

// beginSecond picks another endpoint; the returned try is nil if there is none or the
// retry budget is exhausted.
func (r *race) beginSecond() (route.Choice, *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEnded {
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
	r.secondBegun = true
	return c, d.beginTry(r.ctx, r.s, c)
}

// runTry makes one try and returns its result.
func (r *race) runTry(ctx context.Context, c route.Choice, t *try) tryResult {
	ctx, span := r.d.startTrySpan(ctx, c)
	rep, err := r.d.fetchAny(ctx, r.s.req, c, t)
	endTrySpan(span, err)
	now := r.d.opt.Clock.Now()
	t.endpointFailed = t.endpointFailed || errors.Is(context.Cause(ctx), errStuck)
	r.d.finishTry(r.s, c, t.result(now, err))
	return tryResult{reply: rep, err: err, duration: now.Sub(t.started)}
}

func (d *Dispatcher) fetchAny(ctx context.Context, req *request.Request, c route.Choice, t *try) (*reply, *outcome.Error) {
	if c.Kind == route.ToEndpoint {
		return d.fetch(ctx, req, c.VM, t)
	}
	w := &bufferWriter{limit: d.opt.AnswerBufferBytes}
	if err := d.opt.Peers.Relay(ctx, c.Node, d.forwardedRequest(req), w); err != nil {
		return nil, err
	}
	return w.reply()
}

// bufferWriter is an answer.Writer that buffers a response up to a size limit.
type bufferWriter struct {
	limit int
	rep   reply
	end   answer.End
}

var errTooLong = errors.New("dispatch: the response exceeds the buffer limit")

// Start stores the head.
func (h *bufferWriter) Start(head answer.Head) error {
	h.rep.head = head
	return nil
}

// Frame buffers the data of f, or returns errTooLong.
func (h *bufferWriter) Frame(f answer.Frame) error {
	if len(h.rep.data)+len(f.Data) > h.limit {
		return errTooLong
	}
	h.rep.data = append(h.rep.data, f.Data...)
	return nil
}

// Finish stores the end of the response.
func (h *bufferWriter) Finish(e answer.End) { h.end = e }

func (h *bufferWriter) reply() (*reply, *outcome.Error) {
	switch {
	case h.end.Complete:
		return &h.rep, nil
	case h.end.Error != nil:
		return nil, h.end.Error
	}
	return nil, answerCutError("the other node's answer has no end", nil)
}
