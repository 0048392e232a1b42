package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/testkit"
)

// startReplica starts a replica of two VMs in generation 1; the first has rank 0.
func startReplica(t *testing.T, change func(*Options)) (*vm, *vm) {
	t.Helper()
	o := fastOptions("a")
	o.TokensPerSecond, o.PeerInterval = 200, config.Duration(5*time.Millisecond)
	if change != nil {
		change(&o)
	}
	a := startEngine(t, o)
	o.VM = "b"
	b := startEngine(t, o)
	a.join(1, 1, 0, a.addr, b.addr)
	b.join(1, 1, 1, a.addr, b.addr)
	return a, b
}

// A member of a replica is lost during an answer: it restarts or is ordered into
// another generation. The answer ends by a reset or by a regular end of the response,
// never with the end marker. The replica serves no further request, even after the
// member joins the same generation again.
func TestLostMemberEndsReplica(t *testing.T) {
	for name, lose := range map[string]func(t *testing.T, b *vm){
		"restarts":         func(_ *testing.T, b *vm) { b.Restart() },
		"other generation": func(_ *testing.T, b *vm) { b.join(2, 2, 1, "192.0.2.1:1", b.addr) },
	} {
		for _, clean := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", clean end", false: ", reset"}[clean], func(t *testing.T) {
				is := is.New(t)
				a, b := startReplica(t, nil)
				a.SetFaults(Faults{CleanEOF: clean})
				res, err := a.chat(testContext(t), "r", chatBody("x", MaxTokens, true))
				is.NoErr(err)
				lose(t, b)
				got := readEvents(res, nil)
				is.Equal(got.err == nil, clean)
				is.True(!got.isComplete())
				b.join(1, 3, 1, a.addr, b.addr)
				is.True(!a.State().Loaded)
				res, err = a.chat(testContext(t), "again", chatBody("x", 1, false))
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				is.Equal(res.Header.Get(engine.HeaderNotRun), "true")
				is.Equal(a.Executions("again"), 0)
			})
		}
	}
}

// A member restarts between two requests and joins again before the next check: same
// address, group and generation, another boot id. Its part of the replica's state is
// lost, so rank 0 must not serve.
func TestRestartedMemberEndsReplica(t *testing.T) {
	is := is.New(t)
	a, b := startReplica(t, nil)
	_, err := answerText(a.chat(testContext(t), "before", chatBody("x", 1, false)))
	is.NoErr(err)
	b.Restart()
	b.join(1, 2, 1, a.addr, b.addr)
	testkit.Eventually(t, "the end of the replica", func() bool {
		_, err = answerText(a.chat(testContext(t), "after", chatBody("x", 1, false)))
		return err != nil && !a.State().Loaded
	})
	_, err = answerText(a.chat(testContext(t), "last", chatBody("x", 1, false)))
	is.True(err != nil)
}

// A member that has not joined yet does not count as lost: rank 0 refuses requests as
// not run and serves once the member has joined.
func TestReplicaWaitsForMembers(t *testing.T) {
	is := is.New(t)
	o := fastOptions("a")
	o.PeerInterval = config.Duration(time.Millisecond)
	a := startEngine(t, o)
	o.VM = "b"
	b := startEngine(t, o)
	a.join(1, 1, 0, a.addr, b.addr)
	res, err := a.chat(testContext(t), "early", chatBody("x", 1, false))
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.Header.Get(engine.HeaderNotRun), "true")
	b.join(1, 1, 1, a.addr, b.addr)
	_, err = answerText(a.chat(testContext(t), "r", chatBody("x", 1, false)))
	is.NoErr(err)
}

// A paused member stalls the whole replica. If it resumes in time, the answer continues
// with the next token.
func TestPausedMemberStallsReplica(t *testing.T) {
	is := is.New(t)
	a, b := startReplica(t, nil)
	body := chatBody("x", 200, true)
	res, err := a.chat(testContext(t), "r", body)
	is.NoErr(err)
	b.SetFaults(Faults{Stall: true})
	testkit.Eventually(t, "a stalled replica", func() bool {
		a.mu.Lock()
		r := a.replica
		a.mu.Unlock()
		return r.gate.IsShut()
	})
	b.SetFaults(Faults{})
	got := readEvents(res, nil)
	is.NoErr(got.err)
	is.True(got.isComplete())
	is.Equal(got.tokens, ExpectedTokens([]byte(body)))
}

// A member that does not reply for longer than PeerLossTimeout ends the replica.
func TestSilentMemberEndsReplica(t *testing.T) {
	is := is.New(t)
	a, b := startReplica(t, func(o *Options) { o.PeerLossTimeout = config.Duration(time.Millisecond) })
	res, err := a.chat(testContext(t), "r", chatBody("x", MaxTokens, true))
	is.NoErr(err)
	b.SetFaults(Faults{Stall: true})
	got := readEvents(res, nil)
	is.True(!got.isComplete())
	b.SetFaults(Faults{})
	is.True(!a.State().Loaded)
}

// An answer that is not streamed fails without a response if the replica ends.
func TestEndedReplicaSendsNoAnswer(t *testing.T) {
	is := is.New(t)
	a, b := startReplica(t, nil)
	done := make(chan error, 1)
	ctx := testContext(t)
	go func() {
		_, err := answerText(a.chat(ctx, "r", chatBody("x", MaxTokens, false)))
		done <- err
	}()
	testkit.Eventually(t, "a running request", func() bool { return a.Executions("r") == 1 })
	b.Restart()
	is.True(<-done != nil)
}
