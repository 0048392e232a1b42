package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

func TestRepeatOnOtherNodeGetsFirstAnswer(t *testing.T) {
	// The answer is lost on its way to the caller, and the load balancer sends the
	// repeat to another node. The repeat must get the first answer, which the holder
	// has stored; a second run would issue a second receipt.
	for _, name := range []string{mechanismKey, mechanismTicket} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newTestCluster(t)
			k := b.start("a")
			b.start("b")
			call := withKey("k1")
			if name == mechanismTicket {
				call = withTicket(k.newTicket("org"))
			}
			first := b.send("a", call)
			again := b.send("b", call)
			is.Equal(first.body, "receipt 1")
			is.Equal(first.head.Header.Get(KeyStateHeader), KeyStateFirst)
			is.Equal(again.body, "receipt 1")
			is.True(again.end.Complete)
			is.Equal(again.head.Header.Get(KeyStateHeader), KeyStateRepeat)
			is.Equal(b.endpoint.runs.Load(), int64(1))
		})
	}
}

func TestLostHolderReturnsUnknown(t *testing.T) {
	// The node that ran the call is restarted and has lost its state. The repeat must
	// not run, and its outcome must be "unknown", as "not-run" would be wrong.
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	b.start("b")
	call := withTicket(k.newTicket("org"))
	is.True(b.send("b", call).end.Complete)
	b.net.setPath("a", nil)
	is.Equal(b.send("b", call).outcome(), outcome.Unknown)
	b.start("a")
	for _, vm := range []fleet.VM{"a", "b"} {
		g := b.send(vm, call)
		is.Equal(g.outcome(), outcome.Unknown)
		is.Equal(g.end.Error.Kind, outcome.HolderLost)
	}
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestRefusedClaimLeavesNoEntry(t *testing.T) {
	// The platform refuses every write, as another release of it might. Each call
	// must be refused, and the refused claims must not stay in memory: a full memory
	// would also make the node refuse tickets, which need no table.
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	b.table.refuse.Store(true)
	for i := range 3 {
		b.clock.Advance(time.Minute) // past the pause after a refusal
		g := b.send("a", withKey(fmt.Sprint(i)))
		is.Equal(g.end.Error.Kind, outcome.PlatformDown)
		is.Equal(k.mem.entryCount.Load(), int64(0))
	}
	is.Equal(b.endpoint.runs.Load(), int64(0))
}

func TestPlatformDownRefusesKeys(t *testing.T) {
	// The table is down, so keys cannot be claimed and nothing is dispatched. Only a
	// caller that asserts a first try may get "not-run": an earlier try may have run
	// on another node, which cannot be looked up now.
	is := is.New(t)
	b := newTestCluster(t)
	b.start("a")
	b.table.down.Store(true)
	g := b.send("a", withKey("k"))
	is.Equal(g.end.Error.Kind, outcome.PlatformDown)
	is.Equal(g.outcome(), outcome.Unknown)
	is.True(g.end.Error.RetryAfter > 0)
	g = b.send("a", func(r *request.Request) {
		r.Key = "k"
		r.Header = map[string][]string{KeyStateHeader: {KeyStateFirst}}
	})
	is.Equal(g.outcome(), outcome.NotRun)
	is.Equal(b.endpoint.runs.Load(), int64(0))
}

func TestNotRunReleasesKey(t *testing.T) {
	// The dispatch is refused with "not-run". A caller on another node must get the
	// same outcome, since it comes from the holder and not from the link. When the
	// caller repeats through another node, the call must run.
	is := is.New(t)
	b := newTestCluster(t)
	k := b.start("a")
	b.start("b")
	b.endpoint.fail.Store(outcome.New(outcome.NoCapacity, outcome.NotRun, "no capacity", "later"))
	is.Equal(b.send("a", withKey("k")).outcome(), outcome.NotRun)
	passedOn := b.send("b", withTicket(k.newTicket("org")))
	is.Equal(passedOn.outcome(), outcome.NotRun)
	is.Equal(passedOn.end.Error.Kind, outcome.NoCapacity)
	b.endpoint.fail.Store(nil)
	is.True(b.send("b", withKey("k")).end.Complete)
	is.True(b.send("a", withKey("k")).end.Complete)
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestOtherBodyIsRefused(t *testing.T) {
	is := is.New(t)
	b := newTestCluster(t)
	b.start("a")
	b.start("b")
	is.True(b.send("a", withKey("k")).end.Complete)
	for _, vm := range []fleet.VM{"a", "b"} {
		g := b.send(vm, func(r *request.Request) { r.Key, r.Body = "k", []byte("driver 8") })
		is.Equal(g.end.Error.Kind, outcome.KeyReused)
	}
}

func TestLostClaimResponse(t *testing.T) {
	// The claim is committed, but its response is lost and reading it back fails.
	// Nothing was dispatched, and the key is claimed by this incarnation. The repeat
	// must run once, because this incarnation knows that it never dispatched.
	is := is.New(t)
	b := newTestCluster(t)
	b.start("a")
	b.start("b")
	b.table.loseResponses.Store(1)
	b.table.failReads.Store(true)
	is.Equal(b.send("a", withKey("k")).end.Error.Kind, outcome.PlatformDown)
	is.Equal(b.endpoint.runs.Load(), int64(0))
	b.table.failReads.Store(false)
	b.clock.Advance(maxPause) // claims are sent to the table again
	is.True(b.send("b", withKey("k")).end.Complete)
	is.True(b.send("a", withKey("k")).end.Complete)
	is.Equal(b.endpoint.runs.Load(), int64(1))
}
