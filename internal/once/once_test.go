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

func TestRepeatElsewhereGetsTheFirstAnswer(t *testing.T) {
	// The caller's answer is lost on its way and the balancer hands the repeat
	// to another node. A second run would issue a second receipt; the repeat
	// gets the first answer, which the holder remembers.
	for _, name := range []string{byKey, byTicket} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			k := b.start("a")
			b.start("b")
			call := withKey("k1")
			if name == byTicket {
				call = withTicket(k.newTicket("org"))
			}
			first := b.send("a", call)
			again := b.send("b", call)
			is.Equal(first.body, "receipt 1")
			is.Equal(first.head.Header.Get(KeyStateHeader), KeyStateFirst)
			is.Equal(again.body, "receipt 1")
			is.True(again.end.Whole)
			is.Equal(again.head.Header.Get(KeyStateHeader), KeyStateRepeat)
			is.Equal(b.endpoint.runs.Load(), int64(1))
		})
	}
}

func TestLostHolderMeansUnknown(t *testing.T) {
	// The node that ran the call restarts and has forgotten it. The repeat must
	// not run, and "not-run" would be false: it is told "unknown".
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	b.start("b")
	call := withTicket(k.newTicket("org"))
	is.True(b.send("b", call).end.Whole)
	b.net.set("a", nil)
	is.Equal(b.send("b", call).outcome(), outcome.Unknown)
	b.start("a")
	for _, vm := range []fleet.VM{"a", "b"} {
		g := b.send(vm, call)
		is.Equal(g.outcome(), outcome.Unknown)
		is.Equal(g.end.Error.Kind, outcome.HolderLost)
	}
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestRefusedClaimLeavesNothing(t *testing.T) {
	// The platform refuses every write, as another release of it might. Each
	// clerk is told that nothing was claimed, and the refused claims do not fill
	// the memory: full, the node would refuse tickets, which need no table, too.
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	b.table.refuses.Store(true)
	for i := range 3 {
		b.clock.Advance(time.Minute) // the pause after a refusal is over
		g := b.send("a", withKey(fmt.Sprint(i)))
		is.Equal(g.end.Error.Kind, outcome.PlatformDown)
		is.Equal(k.mem.used.Load(), int64(0))
	}
	is.Equal(b.endpoint.runs.Load(), int64(0))
}

func TestPlatformDownRefusesKeys(t *testing.T) {
	// The table is down. A key cannot be claimed, so nothing is sent. Only a
	// caller that vouches for a first try is told "not-run": an earlier try may
	// have run at another node, which cannot be looked up now.
	is := is.New(t)
	b := newBench(t)
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

func TestNotRunFreesTheKey(t *testing.T) {
	// The dispatch is refused "not-run", which a caller is told also through
	// another node: it is the holder's word, not the link's. The caller repeats
	// through another node, and the call runs then.
	is := is.New(t)
	b := newBench(t)
	k := b.start("a")
	b.start("b")
	b.endpoint.fail.Store(outcome.New(outcome.NoCapacity, outcome.NotRun, "no capacity", "later"))
	is.Equal(b.send("a", withKey("k")).outcome(), outcome.NotRun)
	passedOn := b.send("b", withTicket(k.newTicket("org")))
	is.Equal(passedOn.outcome(), outcome.NotRun)
	is.Equal(passedOn.end.Error.Kind, outcome.NoCapacity)
	b.endpoint.fail.Store(nil)
	is.True(b.send("b", withKey("k")).end.Whole)
	is.True(b.send("a", withKey("k")).end.Whole)
	is.Equal(b.endpoint.runs.Load(), int64(1))
}

func TestOtherBodyIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.start("a")
	b.start("b")
	is.True(b.send("a", withKey("k")).end.Whole)
	for _, vm := range []fleet.VM{"a", "b"} {
		g := b.send(vm, func(r *request.Request) { r.Key, r.Body = "k", []byte("driver 8") })
		is.Equal(g.end.Error.Kind, outcome.KeyReused)
	}
}

func TestLostClaimAnswer(t *testing.T) {
	// The claim lands, its answer is lost and reading back fails. Nothing was
	// dispatched, and the key stands claimed by this life. The repeat may run,
	// once, for this life remembers that it never dispatched.
	is := is.New(t)
	b := newBench(t)
	b.start("a")
	b.start("b")
	b.table.lose.Store(1)
	b.table.blind.Store(true)
	is.Equal(b.send("a", withKey("k")).end.Error.Kind, outcome.PlatformDown)
	is.Equal(b.endpoint.runs.Load(), int64(0))
	b.table.blind.Store(false)
	b.clock.Advance(maxPause) // the table is asked again
	is.True(b.send("b", withKey("k")).end.Whole)
	is.True(b.send("a", withKey("k")).end.Whole)
	is.Equal(b.endpoint.runs.Load(), int64(1))
}
