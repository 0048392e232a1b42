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

// serveRelay answers one request that another node passed on.
func (m *Mesh) serveRelay(c *conn, s *quic.Stream) {
	if !m.hops.enter(true) {
		m.refuse(s, outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node takes no new work", remedyTryAgain).After(comeBack))
		return
	}
	defer m.hops.leave()
	buffered := borrowReader(s)
	in := &frameReader{r: buffered}
	if m.serveOpen(c, s, in) {
		returnReader(buffered)
	}
}

// serveOpen is serveRelay for a node that isn't draining. It reports whether in
// is read no more.
func (m *Mesh) serveOpen(c *conn, s *quic.Stream, in *frameReader) bool {
	s.SetReadDeadline(time.Now().Add(requestTimeout))
	req, err := m.readRequest(c, s, in)
	if err != nil {
		// No Commit was read, so "not run" is true whatever went wrong.
		m.opts.Log.Warn("relayed request unreadable", "from", c.node.String(), "error", err)
		m.refuse(s, outcome.New(outcome.BadRequest, outcome.NotRun, "the relayed request didn't arrive whole", remedyTryAgain))
		return true
	}
	s.SetReadDeadline(time.Time{})
	h := m.handler.Load()
	switch {
	case h == nil:
		m.refuse(s, outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node doesn't take requests yet", remedyTryAgain).After(comeBack))
		return true
	case req.Hops > maxHops:
		m.refuse(s, outcome.New(outcome.Internal, outcome.NotRun, "the request has gone through too many nodes", remedyTryAgain))
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

// readRequest reads request and body, says Ready and reads Commit.
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
		return nil, fmt.Errorf("%w: frame type %d in place of Commit", errFrame, kind)
	}
	return f.toRequest(c.node.VM, m.opts.Clock.Now(), body), nil
}

// startingBody is what a body's length may make this node set aside before any
// of it has arrived.
const startingBody = 4 << 20

func readBody(f *requestFrame, in *frameReader) ([]byte, error) {
	if f.BodyBytes < 0 || f.BodyBytes > MaxBodyBytes {
		return nil, fmt.Errorf("%w: a body of %d bytes, limit %d", errFrame, f.BodyBytes, MaxBodyBytes)
	}
	body := make([]byte, 0, min(f.BodyBytes, startingBody))
	for len(body) < f.BodyBytes {
		kind, content, err := in.next(bodyChunkBytes)
		if err != nil {
			return nil, err
		}
		if kind != frameBody || len(content) == 0 || len(body)+len(content) > f.BodyBytes {
			return nil, fmt.Errorf("%w: frame type %d of %d bytes in a body", errFrame, kind, len(content))
		}
		body = append(body, content...)
	}
	if xxhash.Sum64(body) != f.BodyHash {
		return nil, fmt.Errorf("%w: the body is not the one that was sent", errFrame)
	}
	return body, nil
}

// answerRelay reports whether in is read no more.
func (m *Mesh) answerRelay(c *conn, s *quic.Stream, in *frameReader, req *request.Request, h interface {
	Serve(context.Context, *request.Request, answer.Writer)
}) bool {
	ctx, cancel := context.WithCancel(m.ctx)
	defer cancel()
	taken := make(chan struct{})
	watching := m.spawn(func() {
		defer close(taken)
		watch(in, cancel)
	})
	if !watching {
		m.refuse(s, outcome.New(outcome.ShuttingDown, outcome.NotRun, "this node takes no new work", remedyTryAgain).After(comeBack))
		return true
	}
	ctx, span := startServeSpan(ctx, c.node.VM, req)
	req.TraceParent = traceParent(ctx, req.TraceParent)
	w := &relayWriter{mesh: m, stream: s, sum: newSummary(false)}
	m.runHandler(ctx, h, req, w)
	w.close()
	m.metrics.served.WithLabelValues(w.result()).Inc()
	endSpan(span, w.result(), w.failure)
	// The hop is over when the other node has closed its side: it has the whole
	// answer then, and closing the connection can't cut it any more.
	linger := time.NewTimer(drainedLinger)
	defer linger.Stop()
	defer s.CancelRead(resetRefused)
	select {
	case <-taken:
		return true
	case <-linger.C:
		return false
	}
}

// watch waits for the end of the other node's side: its Close after the answer,
// its reset when the request was cancelled, or the end of the link.
func watch(in *frameReader, cancel context.CancelFunc) {
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

// relayWriter is an answer.Writer that writes frames to the node that passed
// the request on.
type relayWriter struct {
	mesh     *Mesh
	stream   *quic.Stream
	started  bool
	finished bool
	whole    bool
	broken   error
	failure  *outcome.Error
	sum      summary
}

// Start opens the answer.
func (w *relayWriter) Start(h answer.Head) error {
	if w.started {
		return w.fail(errors.New("peer: an answer was started twice; the handler is at fault"))
	}
	w.started = true
	w.sum = newSummary(h.Stream)
	return w.write(frameStart, h)
}

// Frame writes a piece of the answer. A long run of body bytes goes in several
// frames; an event goes whole.
func (w *relayWriter) Frame(f answer.Frame) error {
	for !w.sum.stream && len(f.Data) > bodyChunkBytes {
		head := answer.Frame{Offset: f.Offset, ID: f.ID, Data: f.Data[:bodyChunkBytes]}
		if err := w.frame(&head); err != nil {
			return err
		}
		f.Offset += bodyChunkBytes
		f.Data = f.Data[bodyChunkBytes:]
	}
	return w.frame(&f)
}

func (w *relayWriter) frame(f *answer.Frame) error {
	if !w.started {
		return w.fail(errors.New("peer: a frame came before the answer's start; the handler is at fault"))
	}
	if err := w.sum.add(f); err != nil {
		return w.fail(err)
	}
	w.mesh.metrics.relayBytes.WithLabelValues("out").Add(float64(len(f.Data)))
	return w.write(frameData, f)
}

func (w *relayWriter) write(t frameType, v any) error {
	if w.broken != nil {
		return w.broken
	}
	if err := writeFrame(w.stream, t, v, maxAnswerBytes); err != nil {
		return w.fail(err)
	}
	return nil
}

// fail makes sure that the answer can no longer end whole.
func (w *relayWriter) fail(err error) error {
	if w.broken == nil {
		w.broken = err
	}
	return w.broken
}

// Finish writes End. An answer that the handler calls whole is still told as
// cut when a write failed or the handler's own sums are not those of what it
// wrote.
func (w *relayWriter) Finish(e answer.End) {
	if w.finished {
		return
	}
	w.finished = true
	end := w.sum.end()
	w.failure = w.judge(&e)
	w.whole = w.failure == nil
	end.Whole, end.Error = w.whole, toErrorFrame(w.failure)
	if err := writeFrame(w.stream, frameEnd, end, maxAnswerBytes); err != nil {
		w.fail(err)
		w.stream.CancelWrite(resetRefused)
	}
}

// judge returns why the answer is not whole, or nil.
func (w *relayWriter) judge(e *answer.End) *outcome.Error {
	cut := outcome.New(outcome.AnswerCut, outcome.Unknown, "the answer was cut", remedyLookUp)
	switch {
	case !e.Whole && e.Error != nil:
		return e.Error
	case !e.Whole:
		return outcome.New(outcome.Internal, outcome.Unknown, "the answer ended without a reason", remedyLookUp)
	case !w.started:
		return outcome.New(outcome.Internal, outcome.Unknown, "the answer ended before it began", remedyLookUp)
	case w.broken != nil:
		return cut.WithCause(w.broken)
	case e.Hash != 0 && (e.Hash != w.sum.hash.Sum64() || e.Bytes != w.sum.bytes):
		return cut.WithCause(errors.New("the handler's sums are not those of what it wrote"))
	case e.Hash != 0 && w.sum.stream && e.Frames != w.sum.frames:
		return cut.WithCause(errors.New("the handler's count of events is not that of what it wrote"))
	}
	return nil
}

// close ends the stream, with an error when the handler returned without Finish.
func (w *relayWriter) close() {
	if !w.finished {
		w.Finish(answer.End{Error: outcome.New(outcome.Internal, outcome.Unknown, "the node failed", remedyLookUp)})
	}
	w.stream.Close()
}

func (w *relayWriter) result() string {
	switch {
	case w.whole && w.broken == nil:
		return "whole"
	case w.started:
		return "cut"
	}
	return "error"
}
