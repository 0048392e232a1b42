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
	// noJoinWait is the JoinTimeout of a first node, which has no peers.
	noJoinWait = -1
	// longJoinWait is the JoinTimeout of a node with peers; the wait ends with the
	// first answer.
	longJoinWait = 15 * time.Second
)

// startKeeper runs a keeper on the mesh until the test ends or stop is called.
func startKeeper(t *testing.T, m *mesh, tab *table, vm fleet.VM, joinWait time.Duration, change ...func(*revision.Options)) (k *revision.Keeper, stop func()) {
	t.Helper()
	opts := revision.Options{
		Table: tab, Peers: port{m, vm}, Nodes: func() []fleet.VM { return m.others(vm) },
		MinPollInterval: 50 * time.Millisecond, MinDigestInterval: 30 * time.Millisecond, JoinTimeout: joinWait,
	}
	for _, c := range change {
		c(&opts)
	}
	k = revision.NewKeeper(opts)
	m.update(func() { m.keepers[vm] = k })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	stop = func() {
		m.update(func() { delete(m.keepers, vm) })
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return k, stop
}

func currentNumber(k *revision.Keeper) uint64 {
	n, _, _ := k.Current()
	return n
}

func awaitRevision(t *testing.T, k *revision.Keeper, n uint64) {
	t.Helper()
	testkit.Eventually(t, "the revision is in force", func() bool { return currentNumber(k) == n })
}

// acceptAll accepts n revisions after base.
func acceptAll(t *testing.T, k *revision.Keeper, base, n uint64) {
	t.Helper()
	for i := range n {
		if _, err := k.Accept(newTestContext(t), base+i, document(int(base+i)+1), "asha"); err != nil {
			t.Fatal(err)
		}
	}
}

func TestRevisionReachesEveryNode(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	b, _ := startKeeper(t, m, tab, "b", noJoinWait)
	changed := b.Subscribe()
	acceptAll(t, a, 0, 1)
	n, doc, hash := a.Current()
	is.Equal(n, uint64(1)) // in force on this node when Accept returns
	is.Equal(doc.Organisations[0].Weight, 1)
	awaitRevision(t, b, 1)
	<-changed
	is.True(b.Ready())
	_, _, hashB := b.Current()
	is.Equal(hashB, hash)
}

// Tests that digests deliver a revision after all announcements of the change
// were lost and the node does not poll the table.
func TestDigestReplacesLostAnnouncement(t *testing.T) {
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	b, _ := startKeeper(t, m, tab, "b", noJoinWait, func(o *revision.Options) { o.MinPollInterval = time.Hour })
	acceptAll(t, a, 0, 1)
	awaitRevision(t, b, 1)
	m.update(func() { m.cutOff["b"] = true })
	acceptAll(t, a, 1, 2)
	testkit.Eventually(t, "revision 3 is broadcast while the peer is cut off", func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.lastBroadcast["a"] == 3
	})
	m.update(func() { m.cutOff["b"] = false })
	awaitRevision(t, b, 3)
}

// Tests that a node which starts while the platform is down gets the
// configuration from a peer and is not ready before.
func TestStartWithoutPlatformFetchesFromPeer(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	acceptAll(t, a, 0, 1)
	tab.update(func() { tab.down = true })
	m.update(func() { m.cutOff["b"] = true })
	b, _ := startKeeper(t, m, tab, "b", longJoinWait)
	is.True(!b.Ready())
	m.update(func() { m.cutOff["b"] = false })
	awaitRevision(t, b, 1)
}

// Tests that no node reverts to revision 1 when the table is restored to it
// while 3 is in force, not even a node that restarts with empty memory.
// Revisions 2 and 3 are written back into the table.
func TestRestoredTableRevertsNoNode(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	_, stopB := startKeeper(t, m, tab, "b", noJoinWait)
	acceptAll(t, a, 0, 1)
	old := tab.backup()
	acceptAll(t, a, 1, 2)
	stopB()
	tab.restore(old)
	b, _ := startKeeper(t, m, tab, "b", longJoinWait)
	testkit.Eventually(t, "the node is ready", b.Ready)
	is.Equal(currentNumber(b), uint64(3))
	testkit.Eventually(t, "the table is healed", func() bool {
		head, err := b.Store().Head(ctx)
		return err == nil && head.Stamp.Number == 3
	})
	is.Equal(currentNumber(a), uint64(3))
	history, err := a.History(ctx, 10)
	is.NoErr(err)
	is.Equal(len(history), 3)
}

// Tests that a proposal is refused when a peer announced revision 2 and was cut
// off before it could be fetched, and the table was restored to 1. Accepting
// would assign number 2 to a second document.
func TestProposalRefusedWhileRevisionUnavailable(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	acceptAll(t, a, 0, 1)
	ahead := revision.Announcement{Stamp: revision.Stamp{Number: 2, Time: 1, Hash: 2}}
	payload, err := cbor.Marshal(ahead)
	is.NoErr(err)
	a.HandleAnnounce(fleet.Node{VM: "gone"}, payload)
	_, err = a.Accept(ctx, 1, document(2), "asha")
	var refused *revision.Refused
	is.True(errors.As(err, &refused))
	is.Equal(currentNumber(a), uint64(1))
}

// Tests that revision 2 counts as lost after LostAfter when the peer that
// announced it never returns. The next revision gets number 3, so that
// operators are not locked out and number 2 is not assigned twice.
func TestLostRevisionNumberIsSkipped(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait, func(o *revision.Options) { o.LostAfter = time.Millisecond })
	acceptAll(t, a, 0, 1)
	payload, err := cbor.Marshal(revision.Announcement{Stamp: revision.Stamp{Number: 2, Time: 1, Hash: 2}})
	is.NoErr(err)
	a.HandleAnnounce(fleet.Node{VM: "gone"}, payload)
	testkit.Eventually(t, "accepted", func() bool {
		rec, err := a.Accept(newTestContext(t), 1, document(2), "asha")
		return err == nil && rec.Stamp.Number == 3
	})
	history, err := a.History(newTestContext(t), 10)
	is.NoErr(err)
	is.Equal(len(history), 2)
}

// Tests that a record whose document does not match its hash, such as one
// corrupted in a peer's memory, is rejected and the current revision stays in
// force.
func TestDamagedRecordFromPeerIsRejected(t *testing.T) {
	is := is.New(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	acceptAll(t, a, 0, 1)
	damaged := &damagedPeer{asked: make(chan struct{}, 1)}
	k := revision.NewKeeper(revision.Options{Table: tab, Peers: damaged, MinPollInterval: time.Hour, JoinTimeout: noJoinWait})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = k.Run(ctx) }()
	defer func() { cancel(); <-done }()
	awaitRevision(t, k, 1)
	announce, err := cbor.Marshal(revision.Announcement{Stamp: damaged.stamp()})
	is.NoErr(err)
	k.HandleAnnounce(fleet.Node{VM: "bad"}, announce)
	<-damaged.asked
	// The second request is sent after the first answer was processed.
	testkit.Eventually(t, "revision is requested again", func() bool {
		k.HandleAnnounce(fleet.Node{VM: "bad"}, announce)
		return len(damaged.asked) > 0
	})
	is.Equal(currentNumber(k), uint64(1))
}

type damagedPeer struct{ asked chan struct{} }

func (*damagedPeer) stamp() revision.Stamp { return revision.Stamp{Number: 9, Time: 1, Hash: 1} }

func (*damagedPeer) Broadcast(string, []byte) {}

func (d *damagedPeer) Call(_ context.Context, _ fleet.VM, method string, _ []byte) ([]byte, error) {
	if method != revision.MethodFetch {
		return nil, errCutOff
	}
	select {
	case d.asked <- struct{}{}:
	default:
	}
	return cbor.Marshal(revision.FetchReply{Record: &revision.Record{Stamp: d.stamp(), Document: document(1)}})
}

func TestProposalRefusedWithoutPlatform(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
	acceptAll(t, a, 0, 1)
	tab.update(func() { tab.down = true })
	_, err := a.Accept(ctx, 1, document(2), "asha")
	var refused *revision.Refused
	is.True(errors.As(err, &refused))
	is.Equal(currentNumber(a), uint64(1)) // the revision in force does not change
	is.True(a.Ready())
}

// Tests that a node whose proposal conflicts puts the newer revision in force,
// so that the next attempt can be based on it.
func TestConflictPutsNewerRevisionInForce(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	tab := newTable()
	a, _ := startKeeper(t, newMesh(), tab, "a", noJoinWait)
	b, _ := startKeeper(t, newMesh(), tab, "b", noJoinWait) // separate mesh: no announcement reaches it
	acceptAll(t, a, 0, 1)
	_, err := b.Accept(ctx, 0, document(9), "bela")
	var conflict *revision.Conflict
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Author, "asha")
	awaitRevision(t, b, 1)
	acceptAll(t, b, 1, 1)
	is.Equal(currentNumber(b), uint64(2))
}

func TestRollBackCreatesNewRevision(t *testing.T) {
	is, ctx := is.New(t), newTestContext(t)
	m, tab := newMesh(), newTable()
	a, _ := startKeeper(t, m, tab, "a", noJoinWait)
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

func TestIntervalsGrowWithNodeCount(t *testing.T) {
	is := is.New(t)
	is.Equal(revision.PollInterval(5*time.Second, 6), 5*time.Second)
	is.Equal(revision.PollInterval(5*time.Second, 370), 18500*time.Millisecond)
	is.Equal(revision.DigestInterval(2*time.Second, 6), 2*time.Second)
	is.Equal(revision.DigestInterval(2*time.Second, 370), 7400*time.Millisecond)
}

// Tests that a revision is read from the table after three of the twenty
// unreachable peers that announced it were tried. A timeout for each of the
// twenty would delay the revision by half a minute.
func TestUnreachablePeersDoNotDelayTableFetch(t *testing.T) {
	is := is.New(t)
	tab := newTable()
	rec, err := revision.NewStore(tab, nil).Accept(newTestContext(t), newProposal(0, 1), nil)
	is.NoErr(err)
	gone := &unreachablePeers{}
	k := revision.NewKeeper(revision.Options{Table: tab, Peers: gone, MinPollInterval: time.Millisecond, JoinTimeout: noJoinWait})
	announce, err := cbor.Marshal(revision.Announcement{Stamp: rec.Stamp})
	is.NoErr(err)
	const peers = 20
	for i := range peers {
		k.HandleAnnounce(fleet.Node{VM: fleet.VM(fmt.Sprint(i))}, announce)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = k.Run(ctx) }()
	awaitRevision(t, k, 1)
	cancel()
	<-done
	is.Equal(gone.fetches.Load(), int32(3))
}

type unreachablePeers struct{ fetches atomic.Int32 }

func (*unreachablePeers) Broadcast(string, []byte) {}

func (g *unreachablePeers) Call(_ context.Context, _ fleet.VM, method string, _ []byte) ([]byte, error) {
	if method == revision.MethodFetch {
		g.fetches.Add(1)
	}
	return nil, errCutOff
}
