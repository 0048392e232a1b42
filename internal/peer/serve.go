package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quic-go/quic-go"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// serveRelay answers one request relayed by another node.
func (m *Mesh) serveRelay(c *conn, s *quic.Stream) {
	if !m.relaysInFlight.begin(true) {
		m.refuse(s, outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node takes no new work", remedyRetry).WithRetryAfter(retryAfterLinkFailure))
		return
	}
	defer m.relaysInFlight.end()
	buffered := borrowReader(s)
	in := &frameReader{r: buffered}
	if m.serveAccepted(c, s, in) {
		returnReader(buffered)
	}
}

// serveAccepted serves the request on a node that isn't draining. It reports whether
// in is no longer in use, so that its buffer can be reused.
func (m *Mesh) serveAccepted(c *conn, s *quic.Stream, in *frameReader) bool {
	s.SetReadDeadline(time.Now().Add(requestReadTimeout))
	req, err := m.readRequest(c, s, in)
	if err != nil {
		// No Commit was read, so the request has not run, whatever the error.
		m.opts.Log.Warn("cannot read relayed request", "from", c.node.String(), "error", err)
		m.refuse(s, outcome.New(outcome.BadRequest, outcome.NotRun, "the relayed request didn't arrive whole", remedyRetry))
		return true
	}
	s.SetReadDeadline(time.Time{})
	h := m.handler.Load()
	switch {
	case h == nil:
		m.refuse(s, outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node doesn't take requests yet", remedyRetry).WithRetryAfter(retryAfterLinkFailure))
		return true
	case req.Hops > maxHops:
		m.refuse(s, outcome.New(outcome.Internal, outcome.NotRun, "the request has gone through too many nodes", remedyRetry))
		return true
	}
	return m.answerRelay(c, s, in, req, *h)
}

func (m *Mesh) refuse(s *quic.Stream, e *outcome.Error) {
	m.metrics.served.WithLabelValues("refused").Inc()
	if err := writeFrame(s, frameEnd, endFrame{Error: toErrorFrame(e)}, maxAnswerBytes); err != nil {
		s.CancelWrite(resetRefused)
	}
	s.Close()
	s.CancelRead(resetRefused)
}

// readRequest reads the request and its body, sends Ready and reads Commit.
func (m *Mesh) readRequest(c *conn, s *quic.Stream, in *frameReader) (*request.Request, error) {
	var f requestFrame
	if err := in.expect(frameRequest, &f, maxRequestBytes); err != nil {
		return nil, err
	}
	body, err := readBody(&f, in)
	if err != nil {
		return nil, err
	}
	if err := writeFrame(s, frameReady, nil, 0); err != nil {
		return nil, err
	}
	kind, _, err := in.next(0)
	if err != nil {
		return nil, err
	}
	if kind != frameCommit {
		return nil, fmt.Errorf("%w: frame type %d, want Commit", errProtocol, kind)
	}
	return f.toRequest(c.node.VM, m.opts.Clock.Now(), body), nil
}

// maxBodyPrealloc limits the memory that is preallocated for a body on the basis of
// its announced length.
const maxBodyPrealloc = 4 << 20

func readBody(f *requestFrame, in *frameReader) ([]byte, error) {
	if f.BodyBytes < 0 || f.BodyBytes > MaxBodyBytes {
		return nil, fmt.Errorf("%w: request body of %d bytes, limit %d", errProtocol, f.BodyBytes, MaxBodyBytes)
	}
	body := make([]byte, 0, min(f.BodyBytes, maxBodyPrealloc))
	for len(body) < f.BodyBytes {
		kind, content, err := in.next(bodyChunkBytes)
		if err != nil {
			return nil, err
		}
		if kind != frameBody || len(content) == 0 || len(body)+len(content) > f.BodyBytes {
			return nil, fmt.Errorf("%w: unexpected frame of type %d with %d bytes in a request body", errProtocol, kind, len(content))
		}
		body = append(body, content...)
	}
	if xxhash.Sum64(body) != f.BodyHash {
		return nil, fmt.Errorf("%w: hash mismatch of the request body", errProtocol)
	}
	return body, nil
}

// answerRelay runs the handler and sends its answer. It reports whether in is no
// longer in use.
func (m *Mesh) answerRelay(c *conn, s *quic.Stream, in *frameReader, req *request.Request, h interface {
	Serve(context.Context, *request.Request, answer.Writer)
}) bool {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	peerClosed := make(chan struct{})
	started := m.spawn(func() {
		defer close(peerClosed)
		watchPeerClose(in, cancel)
	})
	if !started {
		m.refuse(s, outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node takes no new work", remedyRetry).WithRetryAfter(retryAfterLinkFailure))
		return true
	}
	ctx, span := startServeSpan(ctx, c.node.VM, req)
	req.TraceParent = traceParent(ctx, req.TraceParent)
	w := &relayWriter{mesh: m, stream: s, sum: newSummary(false)}
	m.runHandler(ctx, h, req, w)
	w.close(ctx)
	m.metrics.served.WithLabelValues(w.result()).Inc()
	endSpan(span, w.result(), w.failure)
	// The other node closes its side when it has received the whole answer. From
	// then on, closing the connection cannot cut the answer.
	linger := time.NewTimer(finWaitTimeout)
	defer linger.Stop()
	defer s.CancelRead(resetRefused)
	select {
	case <-peerClosed:
		return true
	case <-linger.C:
		return false
	}
}

// watchPeerClose waits until the other node closes its side: with a FIN after the answer,
// with a reset if the request was cancelled, or because the link broke. In the
// last two cases it calls cancel.
func watchPeerClose(in *frameReader, cancel context.CancelFunc) {
	_, _, err := in.next(0)
	if !errors.Is(err, io.EOF) {
		cancel()
	}
}

func (m *Mesh) runHandler(ctx context.Context, h interface {
	Serve(context.Context, *request.Request, answer.Writer)
}, req *request.Request, w *relayWriter) {
	defer func() {
		if p := recover(); p != nil {
			m.opts.Log.Error("handler panicked", "request", req.ID, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	h.Serve(ctx, req, w)
}

// relayWriter is an answer.Writer that sends the answer as frames to the node
// that relayed the request.
type relayWriter struct {
	mesh     *Mesh
	stream   *quic.Stream
	started  bool
	finished bool
	whole    bool
	firstErr error
	failure  *outcome.Error
	sum      summary
}

// Start implements answer.Writer.
func (w *relayWriter) Start(h answer.Head) error {
	if w.started {
		return w.fail(errors.New("peer: the handler started the answer twice"))
	}
	w.started = true
	w.sum = newSummary(h.Stream)
	return w.write(frameStart, h)
}

// Frame implements answer.Writer. Long body data is split into several frames; a
// stream event is always sent in one frame.
func (w *relayWriter) Frame(f answer.Frame) error {
	for !w.sum.stream && len(f.Data) > bodyChunkBytes {
		head := answer.Frame{Offset: f.Offset, ID: f.ID, Data: f.Data[:bodyChunkBytes]}
		if err := w.writeData(&head); err != nil {
			return err
		}
		f.Offset += bodyChunkBytes
		f.Data = f.Data[bodyChunkBytes:]
	}
	return w.writeData(&f)
}

func (w *relayWriter) writeData(f *answer.Frame) error {
	if !w.started {
		return w.fail(errors.New("peer: the handler wrote a frame before it started the answer"))
	}
	if err := w.sum.add(f); err != nil {
		return w.fail(err)
	}
	w.mesh.metrics.relayBytes.WithLabelValues("out").Add(float64(len(f.Data)))
	return w.write(frameData, f)
}

func (w *relayWriter) write(t frameType, v any) error {
	if w.firstErr != nil {
		return w.firstErr
	}
	if err := writeFrame(w.stream, t, v, maxAnswerBytes); err != nil {
		return w.fail(err)
	}
	return nil
}

// fail records the first error, after which the answer can only end as cut.
func (w *relayWriter) fail(err error) error {
	if w.firstErr == nil {
		w.firstErr = err
	}
	return w.firstErr
}

// Finish implements answer.Writer and sends the End frame. An answer that the
// handler reports as whole is still sent as cut if a write failed or the
// handler's counts and hash don't match the written data.
func (w *relayWriter) Finish(e answer.End) {
	if w.finished {
		return
	}
	w.finished = true
	end := w.sum.end()
	w.failure = w.incompleteReason(&e)
	w.whole = w.failure == nil
	end.Whole, end.Error = w.whole, toErrorFrame(w.failure)
	if err := writeFrame(w.stream, frameEnd, end, maxAnswerBytes); err != nil {
		w.fail(err)
		w.stream.CancelWrite(resetRefused)
	}
}

// incompleteReason returns the reason why the answer is incomplete, or nil if it is whole.
func (w *relayWriter) incompleteReason(e *answer.End) *outcome.Error {
	cut := outcome.New(outcome.AnswerCut, outcome.Unknown, "the answer was cut", remedyLookUp)
	switch {
	case !e.Complete && e.Error != nil:
		return e.Error
	case !e.Complete:
		return outcome.New(outcome.Internal, outcome.Unknown, "the answer ended without a reason", remedyLookUp)
	case !w.started:
		return outcome.New(outcome.Internal, outcome.Unknown, "the answer ended before it began", remedyLookUp)
	case w.firstErr != nil:
		return cut.WithCause(w.firstErr)
	case e.Hash != 0 && (e.Hash != w.sum.hash.Sum64() || e.Bytes != w.sum.bytes):
		return cut.WithCause(errors.New("the handler's hash or byte count does not match the written data"))
	case e.Hash != 0 && w.sum.stream && e.Frames != w.sum.frames:
		return cut.WithCause(errors.New("the handler's event count does not match the written events"))
	}
	return nil
}

// close closes the stream. If the handler returned without calling Finish, it
// first sends an End frame with an error.
func (w *relayWriter) close(ctx context.Context) {
	if !w.finished {
		w.Finish(answer.End{Error: unfinishedReason(ctx)})
	}
	w.stream.Close()
}

// unfinishedReason returns the reason why a handler with this context returned without calling
// Finish. A handler that was cancelled, as when the node closes, has not failed.
func unfinishedReason(ctx context.Context) *outcome.Error {
	if ctx.Err() != nil {
		return outcome.New(outcome.AnswerCut, outcome.Unknown, "the answer was cut", remedyLookUp).WithCause(ctx.Err())
	}
	return outcome.New(outcome.Internal, outcome.Unknown, "the node failed", remedyLookUp)
}

func (w *relayWriter) result() string {
	switch {
	case w.whole && w.firstErr == nil:
		return "whole"
	case w.started:
		return "cut"
	}
	return "error"
}
