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

// wire returns the frames in order, as they would come from a stream.
func wire(frames ...any) []byte {
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

// An answer that arrives in any way other than whole and in order must not be
// told as whole. QUIC keeps order and loses nothing, so only a fault of the other
// node's program or memory can bring these about; the caller must still not get
// a wrong receipt that looks right.
func TestAnswersThatAreNotWhole(t *testing.T) {
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
	whole := wire(head, a, b, c, end)
	for name, bytes := range map[string][]byte{
		"clean end of stream without End": wire(head, a, b, c),
		"end within a frame":              whole[:len(whole)-3],
		"frame twice":                     wire(head, a, b, b, c, end),
		"frames exchanged":                wire(head, a, c, b, end),
		"frame missing":                   wire(head, a, c, end),
		"last frame missing":              wire(head, a, b, end),
		"first frame missing":             wire(head, b, c, end),
		"other content":                   wire(head, a, answer.Frame{Offset: 1, Data: []byte("x")}, c, end),
		"other hash":                      wire(head, a, b, c, wrongHash),
		"other length":                    wire(head, a, b, c, wrongBytes),
		"other beginning":                 wire(head, a, b, c, wrongFirst),
		"body that begins late":           wire(body, answer.Frame{Offset: 3, Data: []byte("x")}, end),
		"data before start":               wire(a, b, c, end),
		"start twice":                     wire(head, head, a, b, c, end),
		"whole without start":             wire(end),
		"a frame of another kind":         wire(head, callFrame{}, a, b, c, end),
		"a frame over the bound":          append(wire(head), 0xff, 0xff, 0xff, 0xff, byte(frameData)),
		"a frame of no length":            append(wire(head), 0, 0, 0, 0, byte(frameData)),
		"no CBOR":                         append(wire(head), 0, 0, 0, 2, byte(frameData), 0xff),
	} {
		t.Run(name, func(t *testing.T) {
			taker := taker{w: &recorder{}}
			_, err := taker.take(readerOf(bytes))
			is.New(t).True(err != nil)
		})
	}
	taker := taker{w: &recorder{}}
	got, err := taker.take(readerOf(whole))
	is.New(t).NoErr(err)
	is.New(t).True(got.Whole)
}

func readerOf(b []byte) *frameReader { return &frameReader{r: bytes.NewReader(b)} }

// rogue is a node that speaks the protocol up to the Commit and then does what
// the test says with the stream.
func rogue(t *testing.T, act func(*quic.Stream)) *Mesh {
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
		c, err := m.greet(m.ctx, q)
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

// The other node ends the stream in good order but without an End, as when an
// engine's dead connection was taken for the end of the answer. The caller has
// all the tokens there are, and must still be told that the answer is cut.
func TestCleanCloseWithoutEndIsCut(t *testing.T) {
	is := is.New(t)
	b := rogue(t, func(s *quic.Stream) {
		s.Write(wire(answer.Head{Status: 200, Stream: true}, answer.Frame{Data: []byte("all of it")}))
		s.Close()
	})
	a := startMesh(t, "a", nil)
	introduce(a, b)
	r := &recorder{}
	err := a.Relay(testContext(t), "b", testRequest("q"), r)
	is.True(err == nil)
	is.Equal(r.text(), "all of it")
	is.True(!r.end.Whole)
	is.Equal(r.end.Error.Kind, outcome.AnswerCut)
}

// The other node takes the Commit and closes without a word: the request may
// have run.
func TestCloseBeforeAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	b := rogue(t, func(s *quic.Stream) { s.Close() })
	a := startMesh(t, "a", nil)
	introduce(a, b)
	r := &recorder{}
	err := a.Relay(testContext(t), "b", testRequest("q"), r)
	is.True(err != nil)
	is.Equal(err.Outcome, outcome.Unknown)
	is.True(r.head == nil && r.end == nil)
}

// What a faulty handler does must reach the caller as a failure, not as a whole
// answer, and must not take the node down.
func TestFaultyHandlers(t *testing.T) {
	start := func(w answer.Writer) { w.Start(answer.Head{Status: 200, Stream: true}) }
	frame := func(w answer.Writer, at uint64) { w.Frame(answer.Frame{Offset: at, Data: []byte("x")}) }
	end := answer.End{Whole: true}
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
			w.Finish(answer.End{Whole: true, Frames: 1, Bytes: 1, Hash: 1})
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
			introduce(a, b)
			r := &recorder{}
			err := a.Relay(testContext(t), "b", testRequest("q"), r)
			if name == "never starts" {
				is.Equal(err.Outcome, outcome.Unknown)
				return
			}
			is.True(err == nil)
			is.True(!r.end.Whole)
			is.True(r.end.Error != nil)
		})
	}
}
