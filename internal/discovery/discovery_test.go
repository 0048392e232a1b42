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

// fixture is a running directory connected to a stand-in platform.
type fixture struct {
	dir   *discovery.Directory
	clock *clock.Manual
	found atomic.Pointer[[]peer.Peer]
	alive atomic.Bool // whether membership considers every other node alive
	stop  func()
}

func startDirectory(t *testing.T, p *standin.Platform, vm fleet.VM, row discovery.Row) *fixture {
	t.Helper()
	r := &fixture{clock: clock.NewManual(1)}
	r.found.Store(&[]peer.Peer{})
	r.dir = discovery.New(discovery.Options{
		Self: vm, Row: row, Table: p, Log: slog.New(slog.DiscardHandler),
		OnPeersChanged: func(ps []peer.Peer) { r.found.Store(&ps) },
		OwnsDuty:       func(string) bool { return true },
		IsAlive:        func(fleet.VM) bool { return r.alive.Load() },
		Clock:          r.clock, MinInterval: 10 * time.Millisecond,
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

func rowVersion(t *testing.T, p *standin.Platform, vm string) uint64 {
	t.Helper()
	row, err := p.Get(context.Background(), platform.TableNodes, vm)
	if err != nil {
		t.Fatal(err)
	}
	return row.Version
}

// Tests that a node's own row takes precedence over the platform's list, which
// still has the node's address before its replacement. A node that is listed
// but has no row yet is found by its listed address.
func TestOwnRowTakesPrecedenceOverList(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	a := startDirectory(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1"})
	startDirectory(t, p, "b", discovery.Row{Zone: "z", Peer: "127.0.0.1:2"})
	a.dir.UpdateListed([]fleet.Record{
		{VM: "a", Kind: fleet.KindEntry, Addr: "127.0.0.1:9"},
		{VM: "b", Kind: fleet.KindEntry, Addr: "127.0.0.1:9"},
		{VM: "c", Kind: fleet.KindEntry, Addr: "127.0.0.1:3", Zone: "y"},
		{VM: "e", Kind: fleet.KindEngine, Addr: "127.0.0.1:4"},
	})
	want := []peer.Peer{{VM: "b", Zone: "z", Addr: "127.0.0.1:2"}, {VM: "c", Zone: "y", Addr: "127.0.0.1:3"}}
	testkit.Eventually(t, "a has the address from b's row", func() bool {
		got := *a.found.Load()
		return len(got) == 2 && got[0] == want[0]
	})
	is.Equal(*a.found.Load(), want)
}

// Tests that a node writes its row again after the platform's store was
// restored to a state from before the node started. Otherwise new nodes would
// not find it.
func TestLostRowIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	p.Save()
	startDirectory(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1"})
	testkit.Eventually(t, "the row is written", func() bool { return rowVersion(t, p, "a") > 0 })
	is.NoErr(p.Restore())
	testkit.Eventually(t, "the row is written again", func() bool { return rowVersion(t, p, "a") > 0 })
}

// Tests that a node deletes its row when it ends, unless a later incarnation on
// the same VM has already replaced the row.
func TestLeaveDeletesOnlyOwnRow(t *testing.T) {
	is := is.New(t)
	p := standin.New(standin.Options{})
	a := startDirectory(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1", Incarnation: 1})
	testkit.Eventually(t, "the row is written", func() bool { return rowVersion(t, p, "a") == 1 })
	a.stop()
	is.Equal(rowVersion(t, p, "a"), uint64(0))
	first := startDirectory(t, p, "b", discovery.Row{Zone: "z", Peer: "127.0.0.1:2", Incarnation: 1})
	testkit.Eventually(t, "the row of the first incarnation is written", func() bool { return rowVersion(t, p, "b") > 0 })
	written := rowVersion(t, p, "b")
	_, err := p.Commit(context.Background(), platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: "b", Version: written}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: "b", Value: []byte(`{"incarnation":2}`)}},
	})
	is.NoErr(err)
	first.stop()
	is.True(rowVersion(t, p, "b") > 0)
}

// Tests that the row of a node which left without deleting it is kept while the
// node may be on the other side of a partition, and is deleted after that. The
// row of a node that membership considers alive is never deleted.
func TestRowsOfDepartedNodesAreSwept(t *testing.T) {
	p := standin.New(standin.Options{})
	_, err := p.Commit(context.Background(), platform.Txn{
		Checks: []platform.Check{{Table: platform.TableNodes, Key: "old"}},
		Writes: []platform.Write{{Table: platform.TableNodes, Key: "old", Value: []byte(`{"peer":"127.0.0.1:7"}`)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	a := startDirectory(t, p, "a", discovery.Row{Zone: "z", Peer: "127.0.0.1:1"})
	a.alive.Store(true)
	testkit.Eventually(t, "a finds the peer of the old row", func() bool { return len(*a.found.Load()) == 1 })
	a.clock.Advance(24 * time.Hour)
	a.alive.Store(false)
	listsBefore := p.Stats().Lists
	testkit.Eventually(t, "a reads the table again", func() bool { return p.Stats().Lists > listsBefore+1 })
	if rowVersion(t, p, "old") == 0 {
		t.Fatal("the row was deleted as soon as the node was not alive")
	}
	a.clock.Advance(31 * time.Minute)
	testkit.Eventually(t, "the row is deleted", func() bool { return rowVersion(t, p, "old") == 0 })
}
