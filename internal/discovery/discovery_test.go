package discovery_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/discovery"
	"chervilloom/internal/fleet"
	"chervilloom/internal/peer"
	"chervilloom/internal/platform"
	standin "chervilloom/internal/standin/platform"
	"chervilloom/internal/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is one directory at a stand-in platform.
type rig struct {
	dir   *discovery.Directory
	clock *clock.Manual
	found atomic.Pointer[[]peer.Peer]
	alive atomic.Bool // whether membership believes in every other node
	stop  func()
}

func start(t *testing.T, p *standin.Platform, vm fleet.VM, row discovery.Row) *rig {
	t.Helper()
	r := &rig{clock: clock.NewManual(1)}
	r.found.Store(&[]peer.Peer{})
	r.dir = discovery.New(discovery.Options{
		Self: vm, Row: row, Table: p, Log: slog.New(slog.DiscardHandler),
		Found: func(ps []peer.Peer) { r.found.Store(&ps) },
		Owns:  func(string) bool { return true },
		Alive: func(fleet.VM) bool { return r.alive.Load() },
		Clock: r.clock, Least: 10 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.dir.Run(ctx)
	}()
	r.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(r.stop)
	return r
}

func version(t *testing.T, p *standin.Platform, vm string) uint64 {
	t.Helper()
	row, err := p.Get(context.Background(), platform.TableNodes, vm)
	if err != nil {
		t.Fatal(err)
	}
	return row.Version
}

// Two nodes find each other by their rows; the platform's list still has the
// address that one of them had before it was replaced, and names a third whose
// row is not there yet.
func TestOwnRowGoesBeforeTheList(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	a := start(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1"})
	start(t, p, "b", discovery.Row{Zone: "z", Peer: "127.0.0.1:2"})
	a.dir.Listed([]fleet.Record{
		{VM: "a", Kind: fleet.KindEntry, Addr: "127.0.0.1:9"},
		{VM: "b", Kind: fleet.KindEntry, Addr: "127.0.0.1:9"},
		{VM: "c", Kind: fleet.KindEntry, Addr: "127.0.0.1:3", Zone: "y"},
		{VM: "e", Kind: fleet.KindEngine, Addr: "127.0.0.1:4"},
	})
	want := []peer.Peer{{VM: "b", Zone: "z", Addr: "127.0.0.1:2"}, {VM: "c", Zone: "y", Addr: "127.0.0.1:3"}}
	testkit.Eventually(t, "a knows b's own address", func() bool {
		got := *a.found.Load()
		return len(got) == 2 && got[0] == want[0]
	})
	is.Equal(*a.found.Load(), want)
}

// The platform's store is put back to a state from before the node started. The
// node's row is gone, so new nodes would not find it: it is written again.
func TestALostRowIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	p.Save()
	start(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1"})
	testkit.Eventually(t, "the row is written", func() bool { return version(t, p, "a") > 0 })
	is.NoErr(p.Restore())
	testkit.Eventually(t, "the row is written again", func() bool { return version(t, p, "a") > 0 })
}

// A node ends: its row goes at once. But when a later life of the VM has
// written its own row already, the earlier one leaves it alone.
func TestLeavingDeletesOnlyTheOwnRow(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	a := start(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1", Incarnation: 1})
	testkit.Eventually(t, "the row is written", func() bool { return version(t, p, "a") == 1 })
	a.stop()
	is.Equal(version(t, p, "a"), uint64(0))
	first := start(t, p, "b", discovery.Row{Zone: "z", Peer: "127.0.0.1:2", Incarnation: 1})
	testkit.Eventually(t, "the first life's row", func() bool { return version(t, p, "b") > 0 })
	written := version(t, p, "b")
	_, err := p.Commit(context.Background(), platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: "b", Version: written}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: "b", Value: []byte(`{"incarnation":2}`)}},
	})
	is.NoErr(err)
	first.stop()
	is.True(version(t, p, "b") > 0)
}

// A node's VM is replaced under another name and never says goodbye. Its row
// stays while it may be beyond a cut, and is deleted after that; the row of a
// node that membership believes in is never deleted.
func TestRowsOfTheDeadAreSwept(t *testing.T) {
	p := standin.New(standin.Options{})
	_, err := p.Commit(context.Background(), platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: "old"}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: "old", Value: []byte(`{"peer":"127.0.0.1:7"}`)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	a := start(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1"})
	a.alive.Store(true)
	testkit.Eventually(t, "a sees the old row", func() bool { return len(*a.found.Load()) == 1 })
	a.clock.Advance(24 * time.Hour)
	a.alive.Store(false)
	looks := p.Stats().Lists
	testkit.Eventually(t, "a looks again", func() bool { return p.Stats().Lists > looks+1 })
	if version(t, p, "old") == 0 {
		t.Fatal("the row was deleted as soon as the node looked dead")
	}
	a.clock.Advance(31 * time.Minute)
	testkit.Eventually(t, "the row is deleted", func() bool { return version(t, p, "old") == 0 })
}
