package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/engine"
	"chervilloom/internal/testkit"
)

// pair starts a replica of two VMs, in generation 1, with the first as rank 0.
func pair(t *testing.T, change func(*Options)) (*vm, *vm) {
	t.Helper()
	o := fast("a")
	o.TokensPerSecond, o.PeerInterval = 200, config.Duration(5*time.Millisecond)
	if change != nil {
		change(&o)
	}
	a := start(t, o)
	o.VM = "b"
	b := start(t, o)
	a.join(1, 1, 0, a.addr, b.addr)
	b.join(1, 1, 1, a.addr, b.addr)
	return a, b
}

// A member of a replica is lost while an answer runs: it dies, restarts as if
// nothing had happened, or is ordered into another generation. The answer breaks
// by a reset or by an end that looks proper, never with the end marker, and the
// replica serves no more, even when the member takes its old place again.
func TestLosingAMemberKillsTheReplica(t *testing.T) {
	for name, lose := range map[string]func(t *testing.T, b *vm){
		"restarts":         func(_ *testing.T, b *vm) { b.Restart() },
		"other generation": func(_ *testing.T, b *vm) { b.join(2, 2, 1, "192.0.2.1:1", b.addr) },
	} {
		for _, clean := range []bool{false, true} {
			t.Run(name+map[bool]string{true: ", clean end", false: ", reset"}[clean], func(t *testing.T) {
				is := is.New(t)
				a, b := pair(t, nil)
				a.SetFaults(Faults{CleanEOF: clean})
				res, err := a.chat(within(t), "r", prompt("x", MaxTokens, true))
				is.NoErr(err)
				lose(t, b)
				got := readEvents(res, nil)
				is.Equal(got.err == nil, clean)
				is.True(!got.whole())
				b.join(1, 3, 1, a.addr, b.addr)
				is.True(!a.State().Loaded)
				res, err = a.chat(within(t), "again", prompt("x", 1, false))
				is.NoErr(err)
				is.NoErr(res.Body.Close())
				is.Equal(res.Header.Get(engine.HeaderNotRun), "true")
				is.Equal(a.Executions("again"), 0)
			})
		}
	}
}

// A member restarts between two requests and takes its old place again before
// anyone looks: same address, same group and generation, another boot id. What it
// held of the replica's state is gone, so rank 0 must not serve.
func TestReturnedMemberIsNotTaken(t *testing.T) {
	is := is.New(t)
	a, b := pair(t, nil)
	_, err := content(a.chat(within(t), "before", prompt("x", 1, false)))
	is.NoErr(err)
	b.Restart()
	b.join(1, 2, 1, a.addr, b.addr)
	testkit.Eventually(t, "a replica that gave up", func() bool {
		_, err = content(a.chat(within(t), "after", prompt("x", 1, false)))
		return err != nil && !a.State().Loaded
	})
	_, err = content(a.chat(within(t), "last", prompt("x", 1, false)))
	is.True(err != nil)
}

// A member that has not taken its place yet is no loss: rank 0 refuses as not
// run and serves once the member is there.
func TestReplicaWaitsForItsMembers(t *testing.T) {
	is := is.New(t)
	o := fast("a")
	o.PeerInterval = config.Duration(time.Millisecond)
	a := start(t, o)
	o.VM = "b"
	b := start(t, o)
	a.join(1, 1, 0, a.addr, b.addr)
	res, err := a.chat(within(t), "early", prompt("x", 1, false))
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.Header.Get(engine.HeaderNotRun), "true")
	b.join(1, 1, 1, a.addr, b.addr)
	_, err = content(a.chat(within(t), "r", prompt("x", 1, false)))
	is.NoErr(err)
}

// A member that pauses stalls the whole replica; when it wakes in time, the
// answer goes on where it stood.
func TestPausedMemberStallsTheReplica(t *testing.T) {
	is := is.New(t)
	a, b := pair(t, nil)
	body := prompt("x", 200, true)
	res, err := a.chat(within(t), "r", body)
	is.NoErr(err)
	b.SetFaults(Faults{Stall: true})
	testkit.Eventually(t, "a stalled replica", func() bool {
		a.mu.Lock()
		r := a.replica
		a.mu.Unlock()
		return r.gate.Shut()
	})
	b.SetFaults(Faults{})
	got := readEvents(res, nil)
	is.NoErr(got.err)
	is.True(got.whole())
	is.Equal(got.tokens, ExpectedTokens([]byte(body)))
}

// A member that stays silent for long kills the replica.
func TestSilentMemberKillsTheReplica(t *testing.T) {
	is := is.New(t)
	a, b := pair(t, func(o *Options) { o.PeerLost = config.Duration(time.Millisecond) })
	res, err := a.chat(within(t), "r", prompt("x", MaxTokens, true))
	is.NoErr(err)
	b.SetFaults(Faults{Stall: true})
	got := readEvents(res, nil)
	is.True(!got.whole())
	b.SetFaults(Faults{})
	is.True(!a.State().Loaded)
}

// An answer that is not streamed breaks without a byte when the replica does.
func TestBrokenReplicaAnswersNothing(t *testing.T) {
	is := is.New(t)
	a, b := pair(t, nil)
	done := make(chan error, 1)
	ctx := within(t)
	go func() {
		_, err := content(a.chat(ctx, "r", prompt("x", MaxTokens, false)))
		done <- err
	}()
	testkit.Eventually(t, "a request that runs", func() bool { return a.Executions("r") == 1 })
	b.Restart()
	is.True(<-done != nil)
}
