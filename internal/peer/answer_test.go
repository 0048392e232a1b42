package peer

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// encodeFrames returns the encoded frames in order, as they are read from a stream.
func encodeFrames(frames ...any) []byte {
	b := &bytes.Buffer{}
	kinds := map[string]frameType{
		"answer.Head": frameStart, "answer.Frame": frameData, "peer.endFrame": frameEnd, "peer.callFrame": frameCall,
	}
	for _, f := range frames {
		if err := appendFrame(b, kinds[fmt.Sprintf("%T", f)], f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

// An answer that is incomplete or out of order must not be reported as whole.
// QUIC delivers in order and without loss, so only a software or memory fault on
// the other node causes these sequences; the caller must still not receive a
// corrupt answer that looks valid.
func TestIncompleteAnswersAreRejected(t *testing.T) {
	head := answer.Head{Status: 200, Stream: true}
	a, b, c := answer.Frame{Offset: 0, Data: []byte("a")}, answer.Frame{Offset: 1, Data: []byte("b")}, answer.Frame{Offset: 2, Data: []byte("c")}
	sum := newSummary(true)
	for _, f := range []answer.Frame{a, b, c} {
		if err := sum.add(&f); err != nil {
			t.Fatal(err)
		}
	}
	end := sum.end()
	end.Whole = true
	wrongHash, wrongBytes, wrongFirst := end, end, end
	wrongHash.Hash++
	wrongBytes.Bytes++
	wrongFirst.First++
	body := answer.Head{Status: 200}
	whole := encodeFrames(head, a, b, c, end)
	for name, bytes := range map[string][]byte{
		"clean end of stream without End": encodeFrames(head, a, b, c),
		"end within a frame":              whole[:len(whole)-3],
		"frame twice":                     encodeFrames(head, a, b, b, c, end),
		"frames exchanged":                encodeFrames(head, a, c, b, end),
		"frame missing":                   encodeFrames(head, a, c, end),
		"last frame missing":              encodeFrames(head, a, b, end),
		"first frame missing":             encodeFrames(head, b, c, end),
		"other content":                   encodeFrames(head, a, answer.Frame{Offset: 1, Data: []byte("x")}, c, end),
		"other hash":                      encodeFrames(head, a, b, c, wrongHash),
		"other length":                    encodeFrames(head, a, b, c, wrongBytes),
		"other beginning":                 encodeFrames(head, a, b, c, wrongFirst),
		"body that begins late":           encodeFrames(body, answer.Frame{Offset: 3, Data: []byte("x")}, end),
		"data before start":               encodeFrames(a, b, c, end),
		"start twice":                     encodeFrames(head, head, a, b, c, end),
		"whole without start":             encodeFrames(end),
		"a frame of another kind":         encodeFrames(head, callFrame{}, a, b, c, end),
		"a frame over the bound":          append(encodeFrames(head), 0xff, 0xff, 0xff, 0xff, byte(frameData)),
		"a frame of no length":            append(encodeFrames(head), 0, 0, 0, 0, byte(frameData)),
		"no CBOR":                         append(encodeFrames(head), 0, 0, 0, 2, byte(frameData), 0xff),
	} {
		t.Run(name, func(t *testing.T) {
			taker := answerReader{w: &recorder{}}
			_, err := taker.readAll(newFrameReader(bytes))
			is.New(t).True(err != nil)
		})
	}
	taker := answerReader{w: &recorder{}}
	got, err := taker.readAll(newFrameReader(whole))
	is.New(t).NoErr(err)
	is.New(t).True(got.Whole)
}

func newFrameReader(b []byte) *frameReader { return &frameReader{r: bytes.NewReader(b)} }

// startFaultyPeer starts a node that follows the protocol up to Commit and then calls act
// with the stream.
func startFaultyPeer(t *testing.T, act func(*quic.Stream)) *Mesh {
	t.Helper()
	id, err := IdentityFromSecret("b", testSecret)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New(Options{Self: fleet.Node{VM: "b", Incarnation: 1}, Listen: "127.0.0.1:0", Identity: id})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		q, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		c, err := m.exchangeHello(m.ctx, q)
		if err != nil {
			return
		}
		s, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		if _, err := m.readRequest(c, s, &frameReader{r: s}); err == nil {
			act(s)
		}
		<-q.Context().Done()
	}()
	t.Cleanup(func() { m.Close(); <-done })
	return m
}

// The other node closes the stream cleanly but without an End frame, as after
// taking an engine's broken connection for the end of the answer. The answer must
// be reported as cut, although the caller has received every token.
func TestCleanCloseWithoutEndIsCut(t *testing.T) {
	is := is.New(t)
	b := startFaultyPeer(t, func(s *quic.Stream) {
		s.Write(encodeFrames(answer.Head{Status: 200, Stream: true}, answer.Frame{Data: []byte("all of it")}))
		s.Close()
	})
	a := startMesh(t, "a", nil)
	exchangeAddrs(a, b)
	r := &recorder{}
	err := a.Relay(testContext(t), "b", testRequest("q"), r)
	is.True(err == nil)
	is.Equal(r.text(), "all of it")
	is.True(!r.end.Complete)
	is.Equal(r.end.Error.Kind, outcome.AnswerCut)
}

// The other node reads Commit and closes the stream without an answer. The
// outcome must be unknown, because the request may have run.
func TestCloseBeforeAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	b := startFaultyPeer(t, func(s *quic.Stream) { s.Close() })
	a := startMesh(t, "a", nil)
	exchangeAddrs(a, b)
	r := &recorder{}
	err := a.Relay(testContext(t), "b", testRequest("q"), r)
	is.True(err != nil)
	is.Equal(err.Outcome, outcome.Unknown)
	is.True(r.head == nil && r.end == nil)
}

// A handler that violates the answer.Writer contract or panics must lead to an
// error at the caller, not to a whole answer, and must not crash the node.
func TestFaultyHandlers(t *testing.T) {
	start := func(w answer.Writer) { w.Start(answer.Head{Status: 200, Stream: true}) }
	frame := func(w answer.Writer, at uint64) { w.Frame(answer.Frame{Offset: at, Data: []byte("x")}) }
	end := answer.End{Complete: true}
	for name, serve := range map[string]func(answer.Writer){
		"returns without Finish": func(w answer.Writer) { start(w); frame(w, 0) },
		"panics":                 func(w answer.Writer) { start(w); frame(w, 0); panic("test") },
		"leaves a gap":           func(w answer.Writer) { start(w); frame(w, 0); frame(w, 2); w.Finish(end) },
		"repeats a frame":        func(w answer.Writer) { start(w); frame(w, 0); frame(w, 0); w.Finish(end) },
		"starts twice":           func(w answer.Writer) { start(w); start(w); w.Finish(end) },
		"ends without a reason":  func(w answer.Writer) { start(w); w.Finish(answer.End{}) },
		"has another hash": func(w answer.Writer) {
			start(w)
			frame(w, 0)
			w.Finish(answer.End{Complete: true, Frames: 1, Bytes: 1, Hash: 1})
		},
		"sends too long an event": func(w answer.Writer) {
			start(w)
			w.Frame(answer.Frame{Data: make([]byte, maxAnswerBytes+1)})
			w.Finish(end)
		},
		"never starts": func(w answer.Writer) { w.Finish(end) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := startMesh(t, "a", nil)
			b := startMesh(t, "b", func(o *Options) {
				o.Handler = filter.Func(func(_ context.Context, _ *request.Request, w answer.Writer) { serve(w) })
			})
			exchangeAddrs(a, b)
			r := &recorder{}
			err := a.Relay(testContext(t), "b", testRequest("q"), r)
			if name == "never starts" {
				is.Equal(err.Outcome, outcome.Unknown)
				return
			}
			is.True(err == nil)
			is.True(!r.end.Complete)
			is.True(r.end.Error != nil)
		})
	}
}
