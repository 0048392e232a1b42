package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quic-go/quic-go"

	"chervilloom/internal/answer"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// MaxBodyBytes bounds the body of a relayed request.
const MaxBodyBytes = 64 << 20

const (
	// comeBack is the advice after a link failed: the membership and the routes
	// have changed by then.
	comeBack = time.Second
	// streamsFull is the advice when the link carries as many requests as it may.
	streamsFull = 500 * time.Millisecond
)

const (
	remedyTryAgain = "try again"
	remedyLookUp   = "look up whether it took effect before sending it again"
)

// Relay passes the request to the VM's handler and its answer to w.
//
// A nil result means that an answer began and that w.Finish was called: with
// End.Whole when the answer is whole and verified, with End.Error when it was
// cut. A non-nil result means that no answer began and w was not touched, so the
// caller may try elsewhere when the error's outcome allows it, or finish w with
// the error. Nothing is sent twice here.
//
// When ctx ends, the other node's context for the request is cancelled too.
func (m *Mesh) Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error {
	m.hops.enter(false)
	defer m.hops.leave()
	ctx, span := startRelaySpan(ctx, to, req)
	h := &hop{mesh: m, to: to, req: req, trace: traceParent(ctx, req.TraceParent)}
	err := h.run(ctx, w)
	result := h.result(err)
	m.metrics.relays.WithLabelValues(result).Inc()
	endSpan(span, result, err)
	return err
}

// hop is one request on its way to another node and its answer on its way back.
type hop struct {
	mesh      *Mesh
	to        fleet.VM
	req       *request.Request
	trace     string
	committed bool // Commit was handed to the connection: the request may run
	in        frameReader
	taker     taker
}

func (h *hop) run(ctx context.Context, w answer.Writer) *outcome.Error {
	if err := h.check(); err != nil {
		return err
	}
	lane := &h.mesh.link(h.to).relay
	c, err := lane.acquire(ctx)
	if err != nil {
		return h.unreachable(ctx, err)
	}
	defer lane.release()
	s, err := c.OpenStream()
	if err != nil {
		return h.noStream(err)
	}
	unhook := context.AfterFunc(ctx, func() { resetStream(s) })
	defer unhook()
	buffered := borrowReader(s)
	defer returnReader(buffered)
	h.in = frameReader{r: buffered}
	end, err := h.open(c, s)
	if err != nil {
		resetStream(s)
		return h.fail(ctx, err)
	}
	if end == nil {
		h.taker = taker{w: w}
		end, err = h.taker.take(&h.in)
	}
	h.mesh.metrics.relayBytes.WithLabelValues("in").Add(float64(h.taker.sum.bytes))
	if err != nil {
		resetStream(s)
		return h.broken(ctx, err, w)
	}
	// The other node waits for this side's end as the sign that its answer has
	// arrived.
	s.Close()
	s.CancelRead(0)
	h.mesh.metrics.rtt.WithLabelValues(string(c.zone)).Observe(c.ConnectionStats().SmoothedRTT.Seconds())
	return h.finish(end, w)
}

func (h *hop) check() *outcome.Error {
	switch {
	case h.to == h.mesh.opts.Self.VM:
		return outcome.New(outcome.Internal, outcome.NotRun, "the node would pass the request to itself", remedyTryAgain)
	case h.req.Hops > maxHops:
		return outcome.New(outcome.Internal, outcome.NotRun, "the request has gone through too many nodes", remedyTryAgain)
	case len(h.req.Body) > MaxBodyBytes:
		return outcome.New(outcome.TooLarge, outcome.NotRun, fmt.Sprintf("the body is over %d bytes", MaxBodyBytes), "send a smaller body")
	case h.req.Deadline != 0 && !h.mesh.opts.Clock.Now().Before(h.req.Deadline):
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the deadline passed before the request was sent", "allow more time")
	}
	return nil
}

// open sends the request, its Commit, and waits until the other node is ready.
// It returns an End when the other node refuses.
func (h *hop) open(c *conn, s *quic.Stream) (*endFrame, error) {
	if err := h.send(s); err != nil {
		return nil, err
	}
	if h.req.Idempotent {
		if err := h.commit(s); err != nil {
			return nil, err
		}
		return h.await(c, s)
	}
	if end, err := h.await(c, s); end != nil || err != nil {
		return end, err
	}
	return nil, h.commit(s)
}

// await reads Ready, or the End of a refusal.
func (h *hop) await(c *conn, s *quic.Stream) (*endFrame, error) {
	packets := func() uint64 { return c.ConnectionStats().PacketsReceived }
	p := newReadyWait(h.mesh.opts.Ready, packets, func(t time.Time) { s.SetReadDeadline(t) })
	defer p.end()
	kind, content, err := h.in.next(maxAnswerBytes)
	switch {
	case err != nil:
		return nil, err
	case kind == frameReady:
		return nil, nil
	case kind != frameEnd:
		return nil, fmt.Errorf("%w: frame type %d in place of Ready", errFrame, kind)
	}
	var e endFrame
	if err := decode(content, &e); err != nil {
		return nil, err
	}
	e.Whole = false // nothing came before it
	return &e, nil
}

// commit lets the request run. It counts as handed over before the write: an
// error of the write doesn't prove that nothing left.
func (h *hop) commit(s *quic.Stream) error {
	h.committed = true
	return writeFrame(s, frameCommit, nil, 0)
}

// send writes the request.
func (h *hop) send(s *quic.Stream) error {
	b := buffers.Get().(*bytes.Buffer)
	defer release(b)
	b.Reset()
	f := toRequestFrame(h.req, h.mesh.opts.Clock.Now(), xxhash.Sum64(h.req.Body))
	f.TraceParent = h.trace
	if err := appendFrame(b, frameRequest, f); err != nil {
		return err
	}
	if b.Len() > maxRequestBytes {
		return outcome.New(outcome.TooLarge, outcome.NotRun, "the request's headers are too large", "send fewer or shorter headers")
	}
	for rest := h.req.Body; len(rest) > 0; {
		n := min(len(rest), bodyChunkBytes)
		appendRaw(b, frameBody, rest[:n])
		if rest = rest[n:]; len(rest) == 0 {
			break
		}
		if _, err := s.Write(b.Bytes()); err != nil {
			return err
		}
		b.Reset()
	}
	if _, err := s.Write(b.Bytes()); err != nil {
		return err
	}
	h.mesh.metrics.relayBytes.WithLabelValues("out").Add(float64(len(h.req.Body)))
	return nil
}

// outcome is what is true when no End arrived.
func (h *hop) outcome() outcome.Outcome {
	if h.committed {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (h *hop) remedy() string {
	if h.committed {
		return remedyLookUp
	}
	return remedyTryAgain
}

func (h *hop) unreachable(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return h.ended(ctx)
	}
	return outcome.New(outcome.EndpointFailed, outcome.NotRun, "another node of the system can't be reached", remedyTryAgain).
		WithCause(err).After(comeBack)
}

func (h *hop) noStream(err error) *outcome.Error {
	var full *quic.StreamLimitReachedError
	if errors.As(err, &full) {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "the link to another node carries as many requests as it may", remedyTryAgain).
			WithCause(err).After(streamsFull)
	}
	return outcome.New(outcome.EndpointFailed, outcome.NotRun, "the link to another node broke", remedyTryAgain).
		WithCause(err).After(comeBack)
}

// ended is the error of a request whose context ended before an answer began.
func (h *hop) ended(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineExceeded, h.outcome(), "the deadline passed", h.remedy())
	}
	return outcome.New(outcome.CallerGone, h.outcome(), "the caller left", h.remedy())
}

// fail is the error of a request that broke before an answer began.
func (h *hop) fail(ctx context.Context, err error) *outcome.Error {
	var typed *outcome.Error
	switch {
	case errors.As(err, &typed):
		return typed
	case ctx.Err() != nil:
		return h.ended(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.New(outcome.EndpointFailed, h.outcome(), "another node of the system doesn't answer", h.remedy()).
			WithCause(err).After(comeBack)
	}
	return outcome.New(outcome.EndpointFailed, h.outcome(), "the link to another node broke", h.remedy()).
		WithCause(err).After(comeBack)
}

// broken ends an answer that didn't arrive whole. Whether the request ran to
// its end is not known, even though its answer began.
func (h *hop) broken(ctx context.Context, err error, w answer.Writer) *outcome.Error {
	if !h.taker.started {
		return h.fail(ctx, err)
	}
	cut := outcome.New(outcome.AnswerCut, outcome.Unknown, "the answer was cut on its way from another node", remedyLookUp)
	switch {
	case errors.Is(err, errTaker):
		cut = outcome.New(outcome.CallerGone, outcome.Unknown, "the caller left", remedyLookUp)
	case ctx.Err() != nil:
		cut = h.ended(ctx)
	}
	w.Finish(h.taker.cut(cut.WithCause(err)))
	return nil
}

// finish hands on what the other node said at the end of its answer.
func (h *hop) finish(end *endFrame, w answer.Writer) *outcome.Error {
	var told *outcome.Error
	if end.Error != nil {
		told = end.Error.toError()
	}
	switch {
	case end.Whole:
		w.Finish(h.taker.whole())
		return nil
	case told == nil:
		told = outcome.New(outcome.Internal, outcome.Unknown, "another node ended the answer without a reason", remedyLookUp)
	}
	if !h.taker.started {
		return told
	}
	w.Finish(h.taker.cut(told))
	return nil
}

// result names what became of the relay, for metrics and spans.
func (h *hop) result(err *outcome.Error) string {
	switch {
	case err != nil:
		return string(err.Outcome)
	case h.taker.finishedWhole:
		return "whole"
	}
	return "cut"
}
