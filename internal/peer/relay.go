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

// MaxBodyBytes is the maximum size of the body of a relayed request.
const MaxBodyBytes = 64 << 20

const (
	// retryAfterLinkFailure is the Retry-After sent when a link failed; within this time the
	// membership and the routes are updated.
	retryAfterLinkFailure = time.Second
	// retryAfterStreamLimit is the Retry-After sent when the stream limit of the link is
	// reached.
	retryAfterStreamLimit = 500 * time.Millisecond
)

const (
	remedyRetry  = "try again"
	remedyLookUp = "look up whether it took effect before sending it again"
)

// Relay sends the request to the handler of the VM and writes its answer to w.
//
// A nil result means that an answer started and w.Finish was called: with
// End.Complete if the answer is complete and verified, with End.Error if it was
// cut. A non-nil result means that no answer started and w was not used, so the
// caller may retry on another node if the error's outcome allows it, or finish w
// with the error. Relay itself never retries.
//
// When ctx ends, the context of the request on the other node is cancelled too.
func (m *Mesh) Relay(ctx context.Context, to fleet.VM, req *request.Request, w answer.Writer) *outcome.Error {
	m.relaysInFlight.begin(false)
	defer m.relaysInFlight.end()
	ctx, span := startRelaySpan(ctx, to, req)
	h := &hop{mesh: m, to: to, req: req, traceParent: traceParent(ctx, req.TraceParent)}
	err := h.run(ctx, w)
	result := h.result(err)
	m.metrics.relays.WithLabelValues(result).Inc()
	endSpan(span, result, err)
	return err
}

// hop is the state of one relayed request on the sending node.
type hop struct {
	mesh        *Mesh
	to          fleet.VM
	req         *request.Request
	traceParent string
	committed   bool // the write of Commit was started: the request may run
	frames      frameReader
	answer      answerReader
}

func (h *hop) run(ctx context.Context, w answer.Writer) *outcome.Error {
	if err := h.validate(); err != nil {
		return err
	}
	ch := &h.mesh.link(h.to).relay
	c, err := ch.acquire(ctx)
	if err != nil {
		return h.unreachableError(ctx, err)
	}
	defer ch.release()
	s, err := c.OpenStream()
	if err != nil {
		return h.streamError(err)
	}
	unhook := context.AfterFunc(ctx, func() { resetStream(s) })
	defer unhook()
	buffered := borrowReader(s)
	defer returnReader(buffered)
	h.frames = frameReader{r: buffered}
	end, err := h.start(c, s)
	if err != nil {
		resetStream(s)
		return h.failureError(ctx, err)
	}
	if end == nil {
		h.answer = answerReader{w: w}
		end, err = h.answer.readAll(&h.frames)
	}
	h.mesh.metrics.relayBytes.WithLabelValues("in").Add(float64(h.answer.sum.bytes))
	if err != nil {
		resetStream(s)
		return h.finishCut(ctx, err, w)
	}
	// The other node waits for this FIN as the acknowledgement that its answer was
	// received.
	s.Close()
	s.CancelRead(0)
	h.mesh.metrics.rtt.WithLabelValues(string(c.zone)).Observe(c.ConnectionStats().SmoothedRTT.Seconds())
	return h.finish(end, w)
}

func (h *hop) validate() *outcome.Error {
	switch {
	case h.to == h.mesh.opts.Self.VM:
		return outcome.New(outcome.Internal, outcome.NotRun, "the node would pass the request to itself", remedyRetry)
	case h.req.Hops > maxHops:
		return outcome.New(outcome.Internal, outcome.NotRun, "the request has gone through too many nodes", remedyRetry)
	case len(h.req.Body) > MaxBodyBytes:
		return outcome.New(outcome.TooLarge, outcome.NotRun, fmt.Sprintf("the body is over %d bytes", MaxBodyBytes), "send a smaller body")
	case h.req.Deadline != 0 && !h.mesh.opts.Clock.Now().Before(h.req.Deadline):
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the deadline passed before the request was sent", "allow more time")
	}
	return nil
}

// start sends the request and its Commit and waits for Ready. It returns the End
// frame if the other node refuses the request.
func (h *hop) start(c *conn, s *quic.Stream) (*endFrame, error) {
	if err := h.sendRequest(s); err != nil {
		return nil, err
	}
	if h.req.Idempotent {
		if err := h.commit(s); err != nil {
			return nil, err
		}
		return h.awaitReady(c, s)
	}
	if end, err := h.awaitReady(c, s); end != nil || err != nil {
		return end, err
	}
	return nil, h.commit(s)
}

// awaitReady reads Ready, or the End frame of a refusal.
func (h *hop) awaitReady(c *conn, s *quic.Stream) (*endFrame, error) {
	packets := func() uint64 { return c.ConnectionStats().PacketsReceived }
	wait := newReadyWait(h.mesh.opts.ReadyTimeout, packets, func(t time.Time) { s.SetReadDeadline(t) })
	defer wait.stop()
	kind, content, err := h.frames.next(maxAnswerBytes)
	switch {
	case err != nil:
		return nil, err
	case kind == frameReady:
		return nil, nil
	case kind != frameEnd:
		return nil, fmt.Errorf("%w: frame type %d, want Ready", errProtocol, kind)
	}
	var e endFrame
	if err := decode(content, &e); err != nil {
		return nil, err
	}
	e.Whole = false // no answer has started
	return &e, nil
}

// commit allows the request to run. committed is set before the write, because a
// failed write doesn't prove that nothing was sent.
func (h *hop) commit(s *quic.Stream) error {
	h.committed = true
	return writeFrame(s, frameCommit, nil, 0)
}

// sendRequest writes the request header and body.
func (h *hop) sendRequest(s *quic.Stream) error {
	b := bufferPool.Get().(*bytes.Buffer)
	defer releaseBuffer(b)
	b.Reset()
	f := toRequestFrame(h.req, h.mesh.opts.Clock.Now(), xxhash.Sum64(h.req.Body))
	f.TraceParent = h.traceParent
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

// outcomeWithoutEnd returns the outcome to report when no End frame was received.
func (h *hop) outcomeWithoutEnd() outcome.Outcome {
	if h.committed {
		return outcome.Unknown
	}
	return outcome.NotRun
}

func (h *hop) remedyWithoutEnd() string {
	if h.committed {
		return remedyLookUp
	}
	return remedyRetry
}

func (h *hop) unreachableError(ctx context.Context, err error) *outcome.Error {
	if ctx.Err() != nil {
		return h.contextError(ctx)
	}
	return outcome.New(outcome.EndpointFailed, outcome.NotRun, "another node of the system can't be reached", remedyRetry).
		WithCause(err).WithRetryAfter(retryAfterLinkFailure)
}

func (h *hop) streamError(err error) *outcome.Error {
	var full *quic.StreamLimitReachedError
	if errors.As(err, &full) {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "the link to another node carries as many requests as it may", remedyRetry).
			WithCause(err).WithRetryAfter(retryAfterStreamLimit)
	}
	return outcome.New(outcome.EndpointFailed, outcome.NotRun, "the link to another node broke", remedyRetry).
		WithCause(err).WithRetryAfter(retryAfterLinkFailure)
}

// contextError returns the error of a request whose context ended before End arrived.
func (h *hop) contextError(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineExceeded, h.outcomeWithoutEnd(), "the deadline passed", h.remedyWithoutEnd())
	}
	return outcome.New(outcome.CallerGone, h.outcomeWithoutEnd(), "the caller left", h.remedyWithoutEnd())
}

// failureError returns the error of a request that failed before its answer started.
func (h *hop) failureError(ctx context.Context, err error) *outcome.Error {
	var typed *outcome.Error
	switch {
	case errors.As(err, &typed):
		return typed
	case ctx.Err() != nil:
		return h.contextError(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.New(outcome.EndpointFailed, h.outcomeWithoutEnd(), "another node of the system doesn't answer", h.remedyWithoutEnd()).
			WithCause(err).WithRetryAfter(retryAfterLinkFailure)
	}
	return outcome.New(outcome.EndpointFailed, h.outcomeWithoutEnd(), "the link to another node broke", h.remedyWithoutEnd()).
		WithCause(err).WithRetryAfter(retryAfterLinkFailure)
}

// finishCut finishes an answer that was received only in part. Its outcome is
// unknown: although the answer started, the request may not have run to its end.
func (h *hop) finishCut(ctx context.Context, err error, w answer.Writer) *outcome.Error {
	if !h.answer.started {
		return h.failureError(ctx, err)
	}
	cut := outcome.New(outcome.AnswerCut, outcome.Unknown, "the answer was cut on its way from another node", remedyLookUp)
	switch {
	case errors.Is(err, errWriter):
		cut = outcome.New(outcome.CallerGone, outcome.Unknown, "the caller left", remedyLookUp)
	case ctx.Err() != nil:
		cut = h.contextError(ctx)
	}
	w.Finish(h.answer.cutEnd(cut.WithCause(err)))
	return nil
}

// finish passes on the End frame of the other node.
func (h *hop) finish(end *endFrame, w answer.Writer) *outcome.Error {
	var peerErr *outcome.Error
	if end.Error != nil {
		peerErr = end.Error.toError()
	}
	switch {
	case end.Whole:
		w.Finish(h.answer.wholeEnd())
		return nil
	case peerErr == nil:
		peerErr = outcome.New(outcome.Internal, outcome.Unknown, "another node ended the answer without a reason", remedyLookUp)
	}
	if !h.answer.started {
		return peerErr
	}
	w.Finish(h.answer.cutEnd(peerErr))
	return nil
}

// result returns the result label of the relay for metrics and spans.
func (h *hop) result(err *outcome.Error) string {
	switch {
	case err != nil:
		return string(err.Outcome)
	case h.answer.complete:
		return "whole"
	}
	return "cut"
}
