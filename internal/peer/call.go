package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// callTimeout bounds a call whose context has no deadline.
const callTimeout = 10 * time.Second

type callHandler = func(ctx context.Context, from fleet.Node, payload []byte) ([]byte, error)

// CallError is a failure that the other node's handler reports.
type CallError struct {
	To     fleet.VM
	Method string
	Text   string
}

// Error tells node, method and the other node's text.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer: %s failed on %s: %s", e.Method, e.To, e.Text)
}

// HandleCall sets what answers the method. An *outcome.Error of f reaches the
// caller as one, any other error as a CallError with its text. ctx ends when the
// caller gives up.
func (m *Mesh) HandleCall(method string, f func(ctx context.Context, from fleet.Node, payload []byte) ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[method] = f
}

// Call asks the VM and waits for its answer, for 10 s unless ctx ends sooner.
// After an error the call may have run or not.
func (m *Mesh) Call(ctx context.Context, to fleet.VM, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := m.link(to).control.get(ctx, dialTimeout)
	if err != nil {
		return nil, err
	}
	s, err := c.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("peer: no room for a call to %s: %w", to, err)
	}
	unhook := context.AfterFunc(ctx, func() { resetStream(s) })
	defer unhook()
	defer s.CancelRead(0)
	if err := writeFrame(s, frameCall, callFrame{Method: method, Payload: payload}, maxCallBytes); err != nil {
		s.CancelWrite(resetCancelled)
		return nil, callFailure(ctx, to, method, err)
	}
	endWrites(s)
	var reply replyFrame
	r := frameReader{r: s}
	if err := r.expect(frameReply, &reply, maxCallBytes); err != nil {
		return nil, callFailure(ctx, to, method, err)
	}
	switch {
	case reply.Error != nil:
		return nil, reply.Error.toError()
	case reply.Failure != "":
		return nil, &CallError{To: to, Method: method, Text: reply.Failure}
	}
	return reply.Payload, nil
}

// endWrites tells the other side that no more follows. A side that has read a
// whole frame may answer and stop reading before that reaches it; closing is then
// an error although the frame has arrived. The answer is to be read all the same;
// where the connection broke, the read tells.
func endWrites(s io.Closer) {
	_ = s.Close()
}

// callFailure prefers the end of ctx, which is the cause when it reset the stream.
func callFailure(ctx context.Context, to fleet.VM, method string, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return fmt.Errorf("peer: call %s to %s has no answer: %w", method, to, err)
}

func resetStream(s *quic.Stream) {
	s.CancelRead(resetCancelled)
	s.CancelWrite(resetCancelled)
}

func (m *Mesh) serveCall(c *conn, s *quic.Stream) {
	defer s.CancelRead(0)
	s.SetReadDeadline(time.Now().Add(callTimeout))
	var f callFrame
	r := frameReader{r: s}
	if err := r.expect(frameCall, &f, maxCallBytes); err != nil {
		s.CancelWrite(resetRefused)
		return
	}
	m.mu.Lock()
	h := m.calls[f.Method]
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(s.Context()) // ends when the caller resets the stream
	defer cancel()
	reply := answerCall(ctx, h, c.node, &f)
	if err := writeFrame(s, frameReply, reply, maxCallBytes); err != nil {
		s.CancelWrite(resetRefused)
		return
	}
	s.Close()
}

func answerCall(ctx context.Context, h callHandler, from fleet.Node, f *callFrame) replyFrame {
	if h == nil {
		return replyFrame{Failure: "no such method; run the same version on all nodes"}
	}
	payload, err := h(ctx, from, f.Payload)
	if err == nil {
		return replyFrame{Payload: payload}
	}
	var typed *outcome.Error
	if errors.As(err, &typed) {
		return replyFrame{Error: toErrorFrame(typed)}
	}
	return replyFrame{Failure: err.Error()}
}
