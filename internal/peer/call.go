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

// callTimeout limits every call; the context may set an earlier deadline.
const callTimeout = 10 * time.Second

type callHandler = func(ctx context.Context, from fleet.Node, payload []byte) ([]byte, error)

// CallError is an error returned by the other node's handler.
type CallError struct {
	To     fleet.VM
	Method string
	Text   string
}

// Error returns the method, the node and the error text sent by the node.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer: %s failed on %s: %s", e.Method, e.To, e.Text)
}

// HandleCall sets the handler of the method. An *outcome.Error returned by f
// reaches the caller as such, any other error as a CallError with its text. ctx
// is cancelled when the caller gives up.
func (m *Mesh) HandleCall(method string, f func(ctx context.Context, from fleet.Node, payload []byte) ([]byte, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[method] = f
}

// Call calls the method on the VM and returns the reply. The timeout is 10 s, or
// less if ctx ends earlier. After an error the call may or may not have run.
func (m *Mesh) Call(ctx context.Context, to fleet.VM, method string, payload []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := m.link(to).control.get(ctx, dialTimeout)
	if err != nil {
		return nil, err
	}
	s, err := c.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("peer: cannot open a stream for a call to %s: %w", to, err)
	}
	unhook := context.AfterFunc(ctx, func() { resetStream(s) })
	defer unhook()
	defer s.CancelRead(0)
	if err := writeFrame(s, frameCall, callFrame{Method: method, Payload: payload}, maxCallBytes); err != nil {
		s.CancelWrite(resetCancelled)
		return nil, callError(ctx, to, method, err)
	}
	closeWrite(s)
	var reply replyFrame
	r := frameReader{r: s}
	if err := r.expect(frameReply, &reply, maxCallBytes); err != nil {
		return nil, callError(ctx, to, method, err)
	}
	switch {
	case reply.Error != nil:
		return nil, reply.Error.toError()
	case reply.Failure != "":
		return nil, &CallError{To: to, Method: method, Text: reply.Failure}
	}
	return reply.Payload, nil
}

// closeWrite closes the write side of the stream and ignores the error. The other
// side may answer and stop reading as soon as it has read the whole frame, before
// it receives the FIN; Close then fails although the frame arrived, and the
// answer must still be read. If the connection broke, that read fails.
func closeWrite(s io.Closer) {
	_ = s.Close()
}

// callError returns the error of a failed call. If ctx has ended, ctx.Err() is
// reported, because the end of ctx resets the stream.
func callError(ctx context.Context, to fleet.VM, method string, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return fmt.Errorf("peer: call of %s on %s failed without a reply: %w", method, to, err)
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
