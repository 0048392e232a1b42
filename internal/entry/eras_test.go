package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	table "chervilloom/internal/platform"
)

// eraStore is a store with an era set by the test.
type eraStore struct {
	fakeStore
	era uint64
}

func (s *eraStore) Era() uint64 { return s.era }

// Guards against accepting a revoked key after the table was restored from a copy older
// than the newest document: an older document, or an answer without a change, must not
// confirm the configuration in force until the operator has written the newest one again.
func TestOlderDocumentsNotAcceptedAsConfirmation(t *testing.T) {
	is := is.New(t)
	doc := func(version uint64) *catalog.Document { return &catalog.Document{Version: version} }
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	w := n.config
	is.True(!w.showsNewest(nil, false)) // no document was ever written
	is.True(w.showsNewest(doc(7), false))
	w.apply(doc(7))
	is.True(w.showsNewest(nil, true)) // an uninterrupted watch confirms the newest version
	is.True(!w.showsNewest(doc(5), false))
	is.True(!w.showsNewest(nil, false))
	w.recordPeerVersion(9) // another node has a newer version in force
	is.True(!w.showsNewest(nil, true))
	is.True(!w.showsNewest(doc(7), false))
	is.True(w.showsNewest(doc(9), false))
}

// Ten nodes follow a duty holder; the restored table lacks the rows of two of them. Each of
// the two rewrites its row, with one call per check until the holder reports the row; the
// others make no call.
func TestNodesRewriteRowsMissingAfterRestore(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	kept := []table.Row{}
	var nodes []*Node
	var stores []*eraStore
	for i := range 10 {
		s := &eraStore{era: 1}
		n := newTestNode(&s.fakeStore, c)
		n.Store, n.leaseCache.Table = s, s
		n.Settings.VM = string(rune('a' + i))
		n.rowWritten.Store(true)
		n.eras.observe(1)
		row := table.Row{Table: table.TableLeases, Key: nodePrefix + n.Settings.VM, Version: 1, Era: 2, Value: n.address().encode()}
		if i >= 2 {
			kept = append(kept, row)
		}
		nodes, stores = append(nodes, n), append(stores, s)
	}
	for i, n := range nodes {
		n.eras.observe(2) // as reported by the holder
		n.leaseCache.applyRows(kept, 2)
		for range 3 {
			n.rewriteMissingRow()
		}
		want := 0
		if i < 2 {
			want = 3
		}
		is.Equal(stores[i].calls, want)
	}
}

// Guards against rows from before a table restore, which arrive late or come from a holder
// that has not detected the new era: they must not replace newer ones.
func TestRowsOfEarlierEraIgnored(t *testing.T) {
	is := is.New(t)
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "new")}, 2)
	n.leaseCache.applyRows([]table.Row{ownerRow("a", "old")}, 1)
	is.Equal(n.leaseCache.owner("a"), "new")
	is.Equal(n.leaseCache.cachedRow("nobody's").Era, uint64(2)) // an absent row has an era as well
}

// The first era that a node learns is not a restore; each later one is reported once.
func TestEachRestoreReportedOnce(t *testing.T) {
	is := is.New(t)
	n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	restores := 0
	n.eras.onRestore = func() { restores++ }
	for _, era := range []uint64{0, 4, 4, 5, 4, 0, 5, 7} {
		n.eras.observe(era)
	}
	is.Equal(restores, 2)
	is.Equal(n.eras.newest(), uint64(7))
}

// silentSource has a document that its watch does not report.
type silentSource struct {
	doc   *catalog.Document
	reads int
}

func (s *silentSource) Configuration(context.Context) (catalog.Change, error) {
	s.reads++
	return catalog.Change{Document: s.doc, Cursor: catalog.Cursor{Version: uint64(s.reads)}}, nil
}

func (s *silentSource) AwaitConfiguration(_ context.Context, at catalog.Cursor, _ time.Duration) (catalog.Change, error) {
	time.Sleep(configWait)
	return catalog.Change{Cursor: at}, nil
}

// Another node reports a newer version than this node has, and this node's watch ends
// without a change. The document is read immediately: half a second later it would be in
// force too late at nodes that follow this one.
func TestNewerPeerVersionReadImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer func() { cancel(); running.Wait() }()
		source := &silentSource{doc: &catalog.Document{Version: 1}}
		now := bubbleClock{time.Now()}
		w := newTestNode(&fakeStore{}, now).config
		w.source, w.clock, w.isFedByPeer, w.askDutyHolders = source, now, func() bool { return false }, nil
		running.Go(func() { _ = w.run(ctx) })
		time.Sleep(configWait / 2)
		is.Equal(w.version(), uint64(1))
		source.doc = &catalog.Document{Version: 2}
		w.recordPeerVersion(2)
		time.Sleep(configWait/2 + time.Millisecond)
		is.Equal(w.version(), uint64(2))
		is.Equal(source.reads, 2)
	})
}
