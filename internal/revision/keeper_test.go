package revision_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"chervilloom/internal/fleet"
	"chervilloom/internal/revision"
	"chervilloom/internal/testkit"
)

const (
	// atOnce is the join wait of a first node: there is no peer to hear from.
	atOnce = -1
	// patient is the join wait of a node that has peers; it ends with the first
	// answer.
	patient = 15 * time.Second
)

// start runs a keeper on the mesh until the test ends or stop is called.
func start(t *testing.T, m *mesh, tab *table, vm fleet.VM, joinWait time.Duration, change ...func(*revision.Options)) (k *revision.Keeper, stop func()) {
	t.Helper()
	opts := revision.Options{
		Table: tab, Peers: port{m, vm}, Nodes: func() []fleet.VM { return m.others(vm) },
		Poll: 50 * time.Millisecond, Digest: 30 * time.Millisecond, JoinWait: joinWait,
	}
	for _, c := range change {
		c(&opts)
	}
	k = revision.NewKeeper(opts)
	m.set(func() { m.keepers[vm] = k })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	stop = func() {
		m.set(func() { delete(m.keepers, vm) })
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return k, stop
}

func number(k *revision.Keeper) uint64 {
	n, _, _ := k.Current()
	return n
}

func await(t *testing.T, k *revision.Keeper, n uint64) {
	t.Helper()
	testkit.Eventually(t, "the revision is in force", func() bool { return number(k) == n })
}

// acceptAll accepts n revisions after base.
func acceptAll(t *testing.T, k *revision.Keeper, base, n uint64) {
	t.Helper()
	for i := range n {
		if _, err := k.Accept(testContext(t), base+i, document(int(base+i)+1), "asha"); err != nil {
			t.Fatal(err)
		}
	}
}

func TestARevisionReachesEveryNode(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	b, _ := start(t, m, tab, "b", atOnce)
	changed := b.Subscribe()
	acceptAll(t, a, 0, 1)
	n, doc, hash := a.Current()
	is.Equal(n, uint64(1)) // in force here when Accept returns
	is.Equal(doc.Organisations[0].Weight, 1)
	await(t, b, 1)
	<-changed
	is.True(b.Ready())
	_, _, hashB := b.Current()
	is.Equal(hashB, hash)
}

// Every announcement of a change is lost, and the node does not look at the
// table. The digests bring it up to date.
func TestALostAnnouncementIsMadeUpForByTheDigest(t *testing.T) {
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	b, _ := start(t, m, tab, "b", atOnce, func(o *revision.Options) { o.Poll = time.Hour })
	acceptAll(t, a, 0, 1)
	await(t, b, 1)
	m.set(func() { m.cut["b"] = true })
	acceptAll(t, a, 1, 2)
	testkit.Eventually(t, "announced to nobody", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.told["a"] == 3
	})
	m.set(func() { m.cut["b"] = false })
	await(t, b, 3)
}

// The platform is down when a node starts. The node takes the configuration
// from a peer; until then it is not ready.
func TestANodeThatStartsWithoutThePlatformLearnsFromAPeer(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	acceptAll(t, a, 0, 1)
	tab.set(func() { tab.down = true })
	m.set(func() { m.cut["b"] = true })
	b, _ := start(t, m, tab, "b", patient)
	is.True(!b.Ready())
	m.set(func() { m.cut["b"] = false })
	await(t, b, 1)
}

// The table is put back to revision 1 while 3 is in force, and then one node
// restarts. No node goes back to 1, not even the one that remembers nothing,
// and the table is given 2 and 3 again.
func TestARestoredTablePullsNobodyBack(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	_, stopB := start(t, m, tab, "b", atOnce)
	acceptAll(t, a, 0, 1)
	old := tab.backup()
	acceptAll(t, a, 1, 2)
	stopB()
	tab.restore(old)
	b, _ := start(t, m, tab, "b", patient)
	testkit.Eventually(t, "the node is ready", b.Ready)
	is.Equal(number(b), uint64(3))
	testkit.Eventually(t, "the table is healed", func() bool {
		head, err := b.Store().Head(ctx)
		return err == nil && head.Stamp.Number == 3
	})
	is.Equal(number(a), uint64(3))
	history, err := a.History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(history), 3)
}

// A node hears of revision 2 from a peer that is cut off right after, and the
// table was put back to 1. Accepting here would give number 2 to another
// document; the author is told "not accepted" and to try again.
func TestANodeThatKnowsItIsBehindAcceptsNothing(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	acceptAll(t, a, 0, 1)
	ahead := revision.Announcement{Stamp: revision.Stamp{Number: 2, Time: 1, Hash: 2}}
	payload, err := cbor.Marshal(ahead)
	is.NoErr(err)
	a.HandleAnnounce(fleet.Node{VM: "gone"}, payload)
	_, err = a.Accept(ctx, 1, document(2), "asha")
	var refused *revision.Refused
	is.True(errors.As(err, &refused))
	is.Equal(number(a), uint64(1))
}

// The same, and the holder of revision 2 never comes back. After a while it
// counts as lost, and the next revision takes the number above: an operator is
// not locked out for ever, and number 2 is not given twice.
func TestALostRevisionIsPassedOver(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce, func(o *revision.Options) { o.LostAfter = time.Millisecond })
	acceptAll(t, a, 0, 1)
	payload, err := cbor.Marshal(revision.Announcement{Stamp: revision.Stamp{Number: 2, Time: 1, Hash: 2}})
	is.NoErr(err)
	a.HandleAnnounce(fleet.Node{VM: "gone"}, payload)
	testkit.Eventually(t, "accepted", func() bool {
		rec, err := a.Accept(testContext(t), 1, document(2), "asha")
		return err == nil && rec.Stamp.Number == 3
	})
	history, err := a.History(testContext(t), 10)
	is.NoErr(err)
	is.Equal(len(history), 2)
}

// A peer hands out a record whose document is not the one of its hash, such as
// one damaged in memory. The node keeps what it has.
func TestADamagedRecordOfAPeerIsNotTaken(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	acceptAll(t, a, 0, 1)
	damaged := &damagedPeer{asked: make(chan struct{}, 1)}
	k := revision.NewKeeper(revision.Options{Table: tab, Peers: damaged, Poll: time.Hour, JoinWait: atOnce})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = k.Run(ctx) }()
	defer func() { cancel(); <-done }()
	await(t, k, 1)
	announce, err := cbor.Marshal(revision.Announcement{Stamp: damaged.stamp()})
	is.NoErr(err)
	k.HandleAnnounce(fleet.Node{VM: "bad"}, announce)
	<-damaged.asked
	// The second question comes after the first answer was judged.
	testkit.Eventually(t, "asked again", func() bool {
		k.HandleAnnounce(fleet.Node{VM: "bad"}, announce)
		return len(damaged.asked) > 0
	})
	is.Equal(number(k), uint64(1))
}

type damagedPeer struct{ asked chan struct{} }

func (*damagedPeer) stamp() revision.Stamp { return revision.Stamp{Number: 9, Time: 1, Hash: 1} }

func (*damagedPeer) Broadcast(string, []byte) {}

func (d *damagedPeer) Call(_ context.Context, _ fleet.VM, method string, _ []byte) ([]byte, error) {
	if method != revision.MethodFetch {
		return nil, errCut
	}
	select {
	case d.asked <- struct{}{}:
	default:
	}
	return cbor.Marshal(revision.FetchReply{Record: &revision.Record{Stamp: d.stamp(), Document: document(1)}})
}

func TestWithoutThePlatformNothingIsAccepted(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	acceptAll(t, a, 0, 1)
	tab.set(func() { tab.down = true })
	_, err := a.Accept(ctx, 1, document(2), "asha")
	var refused *revision.Refused
	is.True(errors.As(err, &refused))
	is.Equal(number(a), uint64(1)) // what is in force stays
	is.True(a.Ready())
}

// The loser of a race is told of the other's revision and has it in force soon
// after, so that the next try starts from it.
func TestTheLoserLearnsTheRevisionThatCameFirst(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	tab := newTable()
	a, _ := start(t, newMesh(), tab, "a", atOnce)
	b, _ := start(t, newMesh(), tab, "b", atOnce) // on a mesh of its own: nothing is announced to it
	acceptAll(t, a, 0, 1)
	_, err := b.Accept(ctx, 0, document(9), "bela")
	var conflict *revision.Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Author, "asha")
	await(t, b, 1)
	acceptAll(t, b, 1, 1)
	is.Equal(number(b), uint64(2))
}

func TestRollBackIsANewRevision(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a", atOnce)
	acceptAll(t, a, 0, 2)
	rec, err := a.RollBack(ctx, 2, 1, "asha")
	is.NoErr(err)
	is.Equal(rec.Stamp.Number, uint64(3))
	_, doc, _ := a.Current()
	is.Equal(doc.Organisations[0].Weight, 1)
	_, err = a.RollBack(ctx, 3, 99, "asha")
	is.True(errors.Is(err, revision.ErrNoRevision))
	_, err = a.RollBack(ctx, 2, 1, "asha")
	var conflict *revision.Conflict
	is.True(errors.As(err, &conflict))
}

func TestIntervalsGrowWithTheNodes(t *testing.T) {
	is := is.New(t)
	is.Equal(revision.PollInterval(5*time.Second, 6), 5*time.Second)
	is.Equal(revision.PollInterval(5*time.Second, 370), 18500*time.Millisecond)
	is.Equal(revision.DigestInterval(2*time.Second, 6), 2*time.Second)
	is.Equal(revision.DigestInterval(2*time.Second, 370), 7400*time.Millisecond)
}

// Twenty peers tell of a revision and none of them can be reached any more.
// The node asks three of them and then reads the table: with a timeout for each
// of twenty, the revision would be in force half a minute late.
func TestPeersOutOfReachDoNotHoldUpTheTable(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	rec, err := revision.NewStore(tab, nil).Accept(testContext(t), propose(0, 1), nil)
	is.NoErr(err)
	gone := &gonePeers{}
	k := revision.NewKeeper(revision.Options{Table: tab, Peers: gone, Poll: time.Millisecond, JoinWait: atOnce})
	announce, err := cbor.Marshal(revision.Announcement{Stamp: rec.Stamp})
	is.NoErr(err)
	const peers = 20
	for i := range peers {
		k.HandleAnnounce(fleet.Node{VM: fleet.VM(fmt.Sprint(i))}, announce)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = k.Run(ctx) }()
	await(t, k, 1)
	cancel()
	<-done
	is.Equal(gone.fetches.Load(), int32(3))
}

type gonePeers struct{ fetches atomic.Int32 }

func (*gonePeers) Broadcast(string, []byte) {}

func (g *gonePeers) Call(_ context.Context, _ fleet.VM, method string, _ []byte) ([]byte, error) {
	if method == revision.MethodFetch {
		g.fetches.Add(1)
	}
	return nil, errCut
}
