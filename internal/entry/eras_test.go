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

// eraStore is a store whose era a test sets.
type eraStore struct {
	fakeStore
	era uint64
}

func (s *eraStore) Era() uint64 { return s.era }

// The table comes back from a copy of before the newest document. Nothing that shows the
// older one, or only tells that nothing has changed since, confirms what is in force: a key
// that was taken away would be served for as long. The operator writes the document again.
func TestOlderDocumentsConfirmNothing(t *testing.T) {
	is := is.New(t)
	doc := func(version uint64) *catalog.Document { return &catalog.Document{Version: version} }
	n := testNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	w := n.config
	is.True(!w.shows(nil, false)) // none was ever written
	is.True(w.shows(doc(7), false))
	w.apply(doc(7))
	is.True(w.shows(nil, true)) // a watch tells that it is the newest
	is.True(!w.shows(doc(5), false))
	is.True(!w.shows(nil, false))
	w.hear(9) // another node has a newer one in force
	is.True(!w.shows(nil, true))
	is.True(!w.shows(doc(7), false))
	is.True(w.shows(doc(9), false))
}

// Ten nodes follow a holder; the table comes back without the rows of two of them. Each of
// the two writes its row again, one call a look until the holder tells of it; the others
// call nothing.
func TestNodesThatTheTableLacksAnnounceThemselvesAgain(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	kept := []table.Row{}
	var nodes []*Node
	var stores []*eraStore
	for i := range 10 {
		s := &eraStore{era: 1}
		n := testNode(&s.fakeStore, c)
		n.Store, n.leaseRows.Table = s, s
		n.Settings.VM = string(rune('a' + i))
		n.announced.Store(true)
		n.eras.note(1)
		row := table.Row{Table: table.TableLeases, Key: nodePrefix + n.Settings.VM, Version: 1, Era: 2, Value: n.address().value()}
		if i >= 2 {
			kept = append(kept, row)
		}
		nodes, stores = append(nodes, n), append(stores, s)
	}
	for i, n := range nodes {
		n.eras.note(2) // as the holder tells
		n.leaseRows.take(kept, 2)
		for range 3 {
			n.keepAnnounced()
		}
		want := 0
		if i < 2 {
			want = 3
		}
		is.Equal(stores[i].calls, want)
	}
}

// What a holder that has not seen the new era tells, or rows of before that arrive late,
// take nothing back.
func TestRowsOfAnEarlierEraAreDropped(t *testing.T) {
	is := is.New(t)
	n := testNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	n.leaseRows.take([]table.Row{ownerRow("a", "new")}, 2)
	n.leaseRows.take([]table.Row{ownerRow("a", "old")}, 1)
	is.Equal(n.leaseRows.owner("a"), "new")
	is.Equal(n.leaseRows.row("nobody's").Era, uint64(2)) // an absent row is absent in an era
}

// The first era that a node hears of is no restore; each later one is told once.
func TestEachRestoreIsNotedOnce(t *testing.T) {
	is := is.New(t)
	n := testNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
	restores := 0
	n.eras.restored = func() { restores++ }
	for _, era := range []uint64{0, 4, 4, 5, 4, 0, 5, 7} {
		n.eras.note(era)
	}
	is.Equal(restores, 2)
	is.Equal(n.eras.newest(), uint64(7))
}

// quietSource has a document that its watch has not told of yet.
type quietSource struct {
	doc   *catalog.Document
	reads int
}

func (s *quietSource) Configuration(context.Context) (catalog.Change, error) {
	s.reads++
	return catalog.Change{Document: s.doc, Cursor: catalog.Cursor{Version: uint64(s.reads)}}, nil
}

func (s *quietSource) AwaitConfiguration(_ context.Context, at catalog.Cursor, _ time.Duration) (catalog.Change, error) {
	time.Sleep(configWait)
	return catalog.Change{Cursor: at}, nil
}

// Another node asks with a newer document than this one, the watch of which ends without a
// word of it. It is read at once: half a second later it would be in force too late at the
// nodes that follow.
func TestHeardDocumentIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer func() { cancel(); running.Wait() }()
		source := &quietSource{doc: &catalog.Document{Version: 1}}
		now := bubbleClock{time.Now()}
		w := testNode(&fakeStore{}, now).config
		w.source, w.clock, w.idle, w.askOthers = source, now, func() bool { return false }, nil
		running.Go(func() { _ = w.run(ctx) })
		time.Sleep(configWait / 2)
		is.Equal(w.version(), uint64(1))
		source.doc = &catalog.Document{Version: 2}
		w.hear(2)
		time.Sleep(configWait/2 + time.Millisecond)
		is.Equal(w.version(), uint64(2))
		is.Equal(source.reads, 2)
	})
}
