package revision_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"
	"chervilloom/internal/revision"
)

// start runs a keeper on the mesh until the test ends or stop is called.
func start(t *testing.T, m *mesh, tab *table, vm fleet.VM) (k *revision.Keeper, stop func()) {
	t.Helper()
	k = revision.NewKeeper(revision.Options{
		Table: tab, Peers: port{m, vm}, Nodes: func() []fleet.VM { return m.others(vm) },
		Poll: 50 * time.Millisecond, Digest: 30 * time.Millisecond, JoinWait: 300 * time.Millisecond,
	})
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

// await polls until the keeper has the revision in force.
func await(t *testing.T, k *revision.Keeper, number uint64) {
	t.Helper()
	ctx := testContext(t)
	for {
		if n, _, _ := k.Current(); n == number {
			return
		}
		select {
		case <-ctx.Done():
			n, _, _ := k.Current()
			t.Fatalf("revision %d is in force, not %d", n, number)
		case <-time.After(time.Millisecond):
		}
	}
}

func TestARevisionReachesEveryNode(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a")
	b, _ := start(t, m, tab, "b")
	changed := b.Subscribe()
	rec, err := a.Accept(ctx, 0, document(1), "asha")
	is.NoErr(err)
	n, doc, hash := a.Current()
	is.Equal(n, rec.Stamp.Number)
	is.Equal(hash, rec.Stamp.Hash)
	is.Equal(doc.Organisations[0].Weight, 1)
	await(t, b, 1)
	<-changed
	is.True(b.Ready())
}

// The platform is down when a node starts. The node takes the configuration
// from a peer; until then it is not ready.
func TestANodeThatStartsWithoutThePlatformLearnsFromAPeer(t *testing.T) {
	is, ctx := is.New(t), testContext(t)
	m, tab := newMesh(), newTable()
	a, _ := start(t, m, tab, "a")
	_, err := a.Accept(ctx, 0, document(1), "asha")
	is.NoErr(err)
	tab.set(func() { tab.down = true })
	m.set(func() { m.cut["b"] = true })
	b, _ := start(t, m, tab, "b")
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
	a, _ := start(t, m, tab, "a")
	_, stopB := start(t, m, tab, "b")
	_, err := a.Accept(ctx, 0, document(1), "asha")
	is.NoErr(err)
	old := tab.backup()
	for n := range uint64(2) {
		_, err = a.Accept(ctx, n+1, document(int(n+2)), "asha")
		is.NoErr(err)
	}
	stopB()
	tab.restore(old)
	b, _ := start(t, m, tab, "b")
	for !b.Ready() {
		time.Sleep(time.Millisecond)
	}
	n, _, _ := b.Current()
	is.Equal(n, uint64(3))
	for {
		head, err := b.Store().Head(ctx)
		is.NoErr(err)
		if head.Stamp.Number == 3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	n, _, _ = a.Current()
	is.Equal(n, uint64(3))
}
