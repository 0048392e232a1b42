package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"chervilloom/internal/answer"
	"chervilloom/internal/clock"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the test timeout. It is generous and says nothing about performance.
const testTimeout = 30 * time.Second

var testSecret = []byte("a secret of the tests, long enough")

// startMesh starts a mesh that runs until the end of the test.
func startMesh(t testing.TB, vm fleet.VM, change func(*Options)) *Mesh {
	t.Helper()
	id, err := IdentityFromSecret(vm, testSecret)
	if err != nil {
		t.Fatal(err)
	}
	o := Options{
		Self: fleet.Node{VM: vm, Incarnation: 1}, Zone: "z1", Listen: "127.0.0.1:0",
		Identity: id, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		ReadyTimeout: testTimeout, // a slow test machine must not cause timeouts
	}
	if change != nil {
		change(&o)
	}
	m, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return m
}

func exchangeAddrs(ms ...*Mesh) {
	for _, m := range ms {
		for _, o := range ms {
			m.SetPeers([]Peer{{VM: o.opts.Self.VM, Addr: o.Addr()}})
		}
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func testRequest(id string) *request.Request {
	now := clock.Boot{}.Now()
	return &request.Request{
		ID: id, Organisation: "sagarmatha", Class: request.ClassModel, Method: "POST",
		Path: "/v1/chat/completions", Body: []byte(`{"prompt":"` + id + `"}`), Stream: true,
		Arrived: now, Deadline: now.Add(testTimeout), Stage: request.StageDispatch,
	}
}

// recorder is an answer.Writer that records the answer.
type recorder struct {
	mu     sync.Mutex
	head   *answer.Head
	frames []answer.Frame
	end    *answer.End
	onHead func()
}

func (r *recorder) Start(h answer.Head) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &h
	if r.onHead != nil {
		r.onHead()
	}
	return nil
}

func (r *recorder) Frame(f answer.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
	return nil
}

func (r *recorder) Finish(e answer.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		panic("finished twice")
	}
	r.end = &e
}

func (r *recorder) text() string {
	var b strings.Builder
	for _, f := range r.frames {
		b.Write(f.Data)
	}
	return b.String()
}

// tokenHandler returns a handler that answers with n events containing the request ID.
func tokenHandler(n int) filter.Handler {
	return filter.Func(func(_ context.Context, req *request.Request, w answer.Writer) {
		w.Start(answer.Head{Status: 200, Stream: true})
		for i := range n {
			w.Frame(answer.Frame{Offset: uint64(i), Data: fmt.Appendf(nil, "%s-%d ", req.ID, i)})
		}
		w.Finish(answer.End{Complete: true})
	})
}

func wantTokens(id string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s-%d ", id, i)
	}
	return b.String()
}

func TestRelayWhole(t *testing.T) {
	is := is.New(t)
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) { o.Handler = tokenHandler(20) })
	exchangeAddrs(a, b)
	r := &recorder{}
	err := a.Relay(testContext(t), "b", testRequest("q1"), r)
	is.True(err == nil)
	is.Equal(r.text(), wantTokens("q1", 20))
	is.True(r.end.Complete)
	is.Equal(r.end.Frames, uint64(20))
}

// 400 callers share one link. Each answer is compared token by token, to detect
// frames that were misrouted to another caller or reordered.
func TestConcurrentRelaysAreIsolated(t *testing.T) {
	is := is.New(t)
	const callers, length = 400, 60
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) { o.Handler = tokenHandler(length) })
	exchangeAddrs(a, b)
	ctx := testContext(t)
	var wg sync.WaitGroup
	results := make([]recorder, callers)
	errs := make([]*outcome.Error, callers)
	for i := range callers {
		wg.Go(func() { errs[i] = a.Relay(ctx, "b", testRequest(fmt.Sprint("q", i)), &results[i]) })
	}
	wg.Wait()
	for i := range callers {
		is.True(errs[i] == nil)
		is.Equal(results[i].text(), wantTokens(fmt.Sprint("q", i), length))
		is.True(results[i].end.Complete)
	}
}

func TestCallAndMessage(t *testing.T) {
	is := is.New(t)
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	got := make(chan string, 1)
	b.HandleCall("upper", func(_ context.Context, from fleet.Node, p []byte) ([]byte, error) {
		return []byte(from.String() + " " + strings.ToUpper(string(p))), nil
	})
	b.HandleCall("refuse", func(context.Context, fleet.Node, []byte) ([]byte, error) {
		return nil, outcome.New(outcome.PlatformDown, outcome.NotRun, "m", "r")
	})
	b.Subscribe("news", func(from fleet.Node, p []byte) { got <- from.String() + " " + string(p) })
	exchangeAddrs(a, b)
	ctx := testContext(t)
	out, err := a.Call(ctx, "b", "upper", []byte("x"))
	is.NoErr(err)
	is.Equal(string(out), "a#1 X")
	_, err = a.Call(ctx, "b", "refuse", nil)
	var typed *outcome.Error
	is.True(errors.As(err, &typed))
	is.Equal(typed.Kind, outcome.PlatformDown)
	_, err = a.Call(ctx, "b", "missing", nil)
	var failed *CallError
	is.True(errors.As(err, &failed))
	is.NoErr(a.Send("b", "news", []byte("hello")))
	select {
	case s := <-got:
		is.Equal(s, "a#1 hello")
	case <-ctx.Done():
		t.Fatal("message not delivered")
	}
}

// A VM with another secret must be rejected in both directions. Relays must fail
// as not run, because no link was established.
func TestWrongSecretRefused(t *testing.T) {
	is := is.New(t)
	ran := make(chan struct{}, 2)
	h := filter.Func(func(_ context.Context, _ *request.Request, w answer.Writer) {
		ran <- struct{}{}
		w.Finish(answer.End{Error: outcome.New(outcome.Internal, outcome.Ran, "", "")})
	})
	a := startMesh(t, "a", func(o *Options) { o.Handler = h })
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = h
		o.Identity, _ = IdentityFromSecret("b", []byte("quite another secret than that"))
	})
	exchangeAddrs(a, b)
	ctx := testContext(t)
	for from, to := range map[*Mesh]fleet.VM{a: "b", b: "a"} {
		r := &recorder{}
		err := from.Relay(ctx, to, testRequest("q"), r)
		is.True(err != nil)
		is.Equal(err.Outcome, outcome.NotRun)
		is.True(r.end == nil)
		_, cerr := from.Call(ctx, to, "any", nil)
		is.True(cerr != nil)
	}
	is.Equal(len(ran), 0)
}

// Another VM answers at the address, as after the address was reassigned. The
// request must not be sent to the wrong node.
func TestWrongVMRefused(t *testing.T) {
	is := is.New(t)
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) { o.Handler = tokenHandler(1) })
	a.SetPeers([]Peer{{VM: "c", Addr: b.Addr()}})
	err := a.Relay(testContext(t), "c", testRequest("q"), &recorder{})
	is.True(err != nil)
	is.Equal(err.Outcome, outcome.NotRun)
	is.True(strings.Contains(err.Cause.Error(), `VM "b" answers at the address of "c"`))
}

// When the caller disconnects during the answer, the context on the other node
// must be cancelled, so that the engine can be stopped.
func TestCancelPropagates(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(ctx context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			<-ctx.Done()
			close(cancelled)
			w.Finish(answer.End{Error: outcome.New(outcome.CallerGone, outcome.Unknown, "", "")})
		})
	})
	exchangeAddrs(a, b)
	ctx, cancel := context.WithCancel(testContext(t))
	r := &recorder{onHead: cancel}
	err := a.Relay(ctx, "b", testRequest("q"), r)
	is.True(err == nil) // the answer had started and was finished as cut
	is.True(!r.end.Complete)
	is.Equal(r.end.Error.Kind, outcome.CallerGone)
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the handler's context was not cancelled")
	}
}

// The answering node shuts down during the answer. The partial answer must be
// reported as cut.
func TestPeerClosesDuringAnswer(t *testing.T) {
	is := is.New(t)
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(ctx context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			<-ctx.Done()
		})
	})
	exchangeAddrs(a, b)
	r := &recorder{onHead: func() { go b.Close() }}
	err := a.Relay(testContext(t), "b", testRequest("q"), r)
	is.True(err == nil)
	is.True(!r.end.Complete)
	is.Equal(r.end.Error.Kind, outcome.AnswerCut)
}

// Guards against an answer that is reported as an internal failure because its node closes: the
// handler may return, and its End frame arrive, before the connection closes.
func TestUnfinishedAnswerOfClosingNodeIsCut(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	is.Equal(unfinishedReason(ctx).Kind, outcome.Internal)
	cancel()
	is.Equal(unfinishedReason(ctx).Kind, outcome.AnswerCut)
}

// A draining node must refuse new requests as not run and complete the one in
// flight: Drain returns only after the caller has received the whole answer.
func TestDrain(t *testing.T) {
	is := is.New(t)
	resume := make(chan struct{})
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) {
		o.Handler = filter.Func(func(_ context.Context, _ *request.Request, w answer.Writer) {
			w.Start(answer.Head{Status: 200})
			<-resume
			w.Frame(answer.Frame{Data: []byte("late")})
			w.Finish(answer.End{Complete: true})
		})
	})
	exchangeAddrs(a, b)
	ctx := testContext(t)
	started := make(chan struct{})
	first := &recorder{onHead: func() { close(started) }}
	relayed := make(chan *outcome.Error, 1)
	go func() { relayed <- a.Relay(ctx, "b", testRequest("q1"), first) }()
	select {
	case <-started:
	case err := <-relayed:
		t.Fatal("no answer was started: ", err)
	}
	short, cancel := context.WithCancel(ctx)
	cancel()
	is.True(b.Drain(short) != nil)
	err := a.Relay(ctx, "b", testRequest("q2"), &recorder{})
	is.True(err != nil)
	is.Equal(err.Kind, outcome.ShuttingDown)
	is.Equal(err.Outcome, outcome.NotRun)
	close(resume)
	is.NoErr(b.Drain(ctx))
	b.Close()
	is.True(<-relayed == nil)
	is.True(first.end.Complete)
	is.Equal(first.text(), "late")
}

// A seed from the settings is an address without a VM name. The VM that answers
// there must receive the message and be known from then on; a message to the
// node's own address must be dropped.
func TestSendAddr(t *testing.T) {
	is := is.New(t)
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	got := make(chan string, 16)
	b.Subscribe("news", func(from fleet.Node, p []byte) { got <- from.String() + " " + string(p) })
	ctx := testContext(t)
	for want := range 3 {
		text := fmt.Sprint("hello ", want)
		is.NoErr(a.SendAddr(a.Addr(), "news", []byte(text)))
		is.NoErr(a.SendAddr(b.Addr(), "news", []byte(text)))
		select {
		case s := <-got:
			is.Equal(s, "a#1 "+text)
		case <-ctx.Done():
			t.Fatal("message not delivered")
		}
	}
	_, err := a.Call(ctx, "b", "none", nil)
	var failed *CallError
	is.True(errors.As(err, &failed))
}

// A node answers a call and stops reading as soon as it has read the whole frame,
// before the caller has closed its side of the stream. That close then fails, but
// the call must succeed, since its reply arrives. Otherwise a call that ran would
// be reported as unknown.
func TestCallAnsweredBeforeRequestIsClosed(t *testing.T) {
	is := is.New(t)
	a, b := startMesh(t, "a", nil), startMesh(t, "b", nil)
	exchangeAddrs(a, b)
	b.HandleCall("echo", func(_ context.Context, _ fleet.Node, payload []byte) ([]byte, error) { return payload, nil })
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			for range 500 {
				if _, err := a.Call(testContext(t), "b", "echo", []byte("x")); err != nil {
					return err
				}
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
}
