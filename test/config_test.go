package test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/operator"
	"chervilloom/internal/platform"
)

// documentWithWeight returns the fleet's document with the organisation's
// weight set to w. Such documents differ in one line.
func (f *testFleet) documentWithWeight(w int) string {
	return strings.Replace(f.document(), "weight: 10", fmt.Sprintf("weight: %d", w), 1)
}

// applyDocument applies a document through a node, requires that it is
// accepted, and returns its revision.
func (f *testFleet) applyDocument(n *node, base uint64, doc string) uint64 {
	f.t.Helper()
	res, err := n.client().Apply(f.t.Context(), operator.ApplyRequest{Base: base, Document: doc})
	must(f.t, err)
	if res.State != operator.ApplyAccepted {
		f.t.Fatalf("applying through %s on base %d: %+v", n.vm, base, res)
	}
	return res.Revision
}

// awaitRevision waits until the nodes use the revision, and checks that its
// document is doc.
func (f *testFleet) awaitRevision(revision uint64, doc string, nodes ...*node) {
	f.t.Helper()
	for _, n := range nodes {
		var last operator.ConfigView
		waitUntil(f.t, fmt.Sprintf("revision %d is in use on %s", revision, n.vm),
			func() bool {
				v, err := n.client().Config(f.t.Context())
				last = v
				return err == nil && v.Revision >= revision
			},
			func() string { return formatJSON(last) })
		if last.Revision != revision || last.Document != doc {
			f.t.Errorf("%s uses revision %d, want %d with its document; got:\n%s", n.vm, last.Revision, revision, last.Document)
		}
	}
}

// watchRevisions polls the revisions that the nodes use. The returned function
// stops polling and fails the test for each decrease.
func (f *testFleet) watchRevisions(nodes ...*node) func() {
	ctx, cancel := context.WithCancel(f.t.Context())
	var work sync.WaitGroup
	var mu sync.Mutex
	var regressions []string
	for _, n := range nodes {
		c := n.client()
		work.Go(func() {
			for highest := uint64(0); ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
				v, err := c.Config(ctx)
				if err != nil {
					continue
				}
				if v.Revision < highest {
					mu.Lock()
					regressions = append(regressions, fmt.Sprintf("%s reverted from revision %d to %d", n.vm, highest, v.Revision))
					mu.Unlock()
				}
				highest = max(highest, v.Revision)
			}
		})
	}
	return func() {
		f.t.Helper()
		cancel()
		work.Wait()
		for _, w := range regressions {
			f.t.Error(w)
		}
	}
}

// Operators apply documents through different nodes while the platform loses
// responses to writes. Each accepted document must come into use on all nodes
// and no node may revert. After a lost response, a document is reported as
// accepted only if reading it back confirmed the write.
func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	stop := f.watchRevisions(f.nodes...)
	base := uint64(1)
	for i := range 6 {
		doc := f.documentWithWeight(20 + i)
		setFaults(t, f.platformAddr, map[string]any{"lose_answers": i % 3})
		base = f.applyDocument(f.nodes[i%3], base, doc)
		f.awaitRevision(base, doc, f.nodes...)
	}
	stop()
}

// Two operators apply documents on the same base at different nodes at once.
// One document is accepted and used by all nodes; the other operator gets a
// conflict with the changes since the base, because the head of the revisions
// is written conditionally.
func TestConcurrentApplyOnSameBase(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	// Slows the platform so that both read the head before either writes it.
	setFaults(t, f.platformAddr, map[string]any{"slow": "100ms"})
	base := uint64(1)
	for round := range 5 {
		docs := []string{f.documentWithWeight(30 + 2*round), f.documentWithWeight(31 + 2*round)}
		results := make([]operator.ApplyResult, 2)
		var work sync.WaitGroup
		for i, token := range []string{operatorToken, otherToken} {
			work.Go(func() {
				c := operator.NewClient("http://"+f.nodes[i].operator, token)
				res, err := c.Apply(t.Context(), operator.ApplyRequest{Base: base, Document: docs[i]})
				if err != nil {
					t.Error(err)
				}
				results[i] = res
			})
		}
		work.Wait()
		winner, loser := 0, 1
		if results[1].State == operator.ApplyAccepted {
			winner, loser = 1, 0
		}
		if results[winner].State != operator.ApplyAccepted || results[loser].State != operator.ApplyConflict {
			t.Fatalf("want one accepted and one conflict: %+v", results)
		}
		if len(results[loser].Changes) == 0 || !strings.Contains(strings.Join(results[loser].Changes, "\n"), "weight") {
			t.Errorf("the conflict does not list the changed weight: %+v", results[loser])
		}
		base = results[winner].Revision
		f.awaitRevision(base, docs[winner], f.nodes...)
	}
}

// A node restarts while the platform is down. It has no revision and is not
// ready until it gets the current one from a peer, which it finds through its
// seeds.
func TestRestartWhilePlatformIsDownLearnsFromPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	doc := f.documentWithWeight(40)
	revision := f.applyDocument(f.nodes[0], 1, doc)
	f.awaitRevision(revision, doc, f.nodes...)
	n := f.restartWithoutPlatform()
	f.awaitRevision(revision, doc, n)
	f.awaitStatus(n, "the node is ready", func(s operator.Status) bool { return s.Ready })
}

// restartWithoutPlatform makes the platform unavailable and restarts the last
// node with the first two nodes as seeds.
func (f *testFleet) restartWithoutPlatform() *node {
	f.t.Helper()
	setFaults(f.t, f.platformAddr, map[string]any{"down": "unavailable"})
	n := f.nodes[len(f.nodes)-1]
	n.kill()
	n.start(f.t, f.nodes[0].peer, f.nodes[1].peer)
	return n
}

// A node in a zone without engines restarts while the platform is down. It must
// still serve models to callers, because the nodes of the other zones announce
// their groups to it.
func TestRestartedNodeForwardsModelRequestsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, engines: 4})
	f.restartWithoutPlatform()
	f.checkNodesAnswer()
}

// A node in a zone without services restarts while the platform is down. It
// must still serve lookups by forwarding them to a node of the zone that has
// the service.
func TestRestartedNodeForwardsLookupsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	f.awaitLookup(f.restartWithoutPlatform())
}

// The platform's store is rolled back to a copy that lacks the newest
// revisions. No node may revert, a node that restarts meanwhile must start with
// the newest revision, and the next accepted document must get a higher number.
func TestConfigurationSurvivesStoreRollback(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	stop := f.watchRevisions(f.nodes[:2]...)
	setFaults(t, f.platformAddr, map[string]any{"save": true})
	base := f.applyDocument(f.nodes[0], 1, f.documentWithWeight(50))
	doc := f.documentWithWeight(51)
	base = f.applyDocument(f.nodes[1], base, doc)
	f.awaitRevision(base, doc, f.nodes...)

	setFaults(t, f.platformAddr, map[string]any{"restore": true})
	rolledBack := f.revisionHead()
	restarted := f.nodes[2]
	restarted.kill()
	restarted.start(t, f.nodes[0].peer, f.nodes[1].peer)
	waitUntil(t, "the nodes have restored the newer revisions",
		func() bool { return f.revisionHead() != rolledBack },
		func() string { return rolledBack })
	f.awaitRevision(base, doc, f.nodes...)

	last := f.documentWithWeight(52)
	var next uint64
	waitUntil(t, "a document is accepted after the rollback",
		func() bool {
			res, err := restarted.client().Apply(t.Context(), operator.ApplyRequest{Base: base, Document: last})
			next = res.Revision
			return err == nil && res.State == operator.ApplyAccepted
		},
		func() string { return fmt.Sprint(next) })
	if next <= base {
		t.Errorf("the next revision is %d, want one above %d", next, base)
	}
	f.awaitRevision(next, last, f.nodes...)
	stop()
}

// revisionHead returns the row that names the newest revision.
func (f *testFleet) revisionHead() string {
	f.t.Helper()
	row, err := f.table.Get(f.t.Context(), platform.TableRevisions, "head")
	must(f.t, err)
	return string(row.Value)
}
