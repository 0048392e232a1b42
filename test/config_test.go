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

// weighted returns the fleet's document with the organisation's weight set: two
// of them differ in one line.
func (f *testFleet) weighted(w int) string {
	return strings.Replace(f.document(), "weight: 10", fmt.Sprintf("weight: %d", w), 1)
}

// accept has a node accept a document and returns its revision.
func (f *testFleet) accept(n *node, base uint64, doc string) uint64 {
	f.t.Helper()
	res, err := n.client().Apply(f.t.Context(), operator.ApplyRequest{Base: base, Document: doc})
	must(f.t, err)
	if res.State != operator.ApplyAccepted {
		f.t.Fatalf("through %s on base %d: %+v", n.vm, base, res)
	}
	return res.Revision
}

// inForce waits until the document of the revision is in force on the nodes.
func (f *testFleet) inForce(revision uint64, doc string, nodes ...*node) {
	f.t.Helper()
	for _, n := range nodes {
		var last operator.ConfigView
		until(f.t, fmt.Sprintf("revision %d is in force on %s", revision, n.vm),
			func() bool {
				v, err := n.client().Config(f.t.Context())
				last = v
				return err == nil && v.Revision >= revision
			},
			func() string { return describe(last) })
		if last.Revision != revision || last.Document != doc {
			f.t.Errorf("%s has revision %d in force, want %d with its own document:\n%s", n.vm, last.Revision, revision, last.Document)
		}
	}
}

// neverBack watches the revisions in force on nodes; the function that it
// returns ends the watch and tells of each step back.
func (f *testFleet) neverBack(nodes ...*node) func() {
	ctx, cancel := context.WithCancel(f.t.Context())
	var work sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
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
					wrong = append(wrong, fmt.Sprintf("%s went from revision %d back to %d", n.vm, highest, v.Revision))
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
		for _, w := range wrong {
			f.t.Error(w)
		}
	}
}

// Operators accept documents through one node after the other, while the
// platform loses the answers to writes. Each accepted document is in force on
// all nodes, none steps back, and a lost answer is told as accepted only when
// reading back showed that the document stands.
func TestAcceptedConfigurationIsInForceEverywhere(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	stop := f.neverBack(f.nodes...)
	base := uint64(1)
	for i := range 6 {
		doc := f.weighted(20 + i)
		faults(t, f.store, map[string]any{"lose_answers": i % 3})
		base = f.accept(f.nodes[i%3], base, doc)
		f.inForce(base, doc, f.nodes...)
	}
	stop()
}

// Two operators edit the same base and press accept at once at different nodes.
// One document wins and is in force everywhere; the other operator is told of
// the conflict and of what changed since the base, because the head of the
// revisions is written on condition.
func TestTwoOperatorsOnOneBase(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	// Both read the head before either writes it.
	faults(t, f.store, map[string]any{"slow": "100ms"})
	base := uint64(1)
	for round := range 5 {
		docs := []string{f.weighted(30 + 2*round), f.weighted(31 + 2*round)}
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
			t.Errorf("the conflict does not tell what changed: %+v", results[loser])
		}
		base = results[winner].Revision
		f.inForce(base, docs[winner], f.nodes...)
	}
}

// A node restarts while the platform is down. It knows no revision and is not
// ready until a peer, found by its seeds, tells it the one in force.
func TestRestartWhilePlatformIsDownLearnsFromPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	doc := f.weighted(40)
	revision := f.accept(f.nodes[0], 1, doc)
	f.inForce(revision, doc, f.nodes...)
	n := f.restartWithoutPlatform()
	f.inForce(revision, doc, n)
	f.await(n, "the node is ready", func(s operator.Status) bool { return s.Ready })
}

// restartWithoutPlatform takes the platform down and kills and starts the last
// node, which has the others as seeds.
func (f *testFleet) restartWithoutPlatform() *node {
	f.t.Helper()
	faults(f.t, f.store, map[string]any{"down": "unavailable"})
	n := f.nodes[len(f.nodes)-1]
	n.kill()
	n.start(f.t, f.nodes[0].peer, f.nodes[1].peer)
	return n
}

// A node of a zone without engines restarts while the platform is down. Callers
// get models through it, because the other zones' nodes tell it of their groups.
func TestRestartedNodePassesModelsOnWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, engines: 4})
	f.restartWithoutPlatform()
	f.mustAnswer()
}

// A node of a zone without services restarts while the platform is down, and a
// node of the zone that has them goes on serving. Callers get lookups through
// the restarted node: what one node can do, the others can pass on.
func TestRestartedNodePassesLookupsOnWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	f.awaitLookup(f.restartWithoutPlatform())
}

// The platform's store is rolled back to a copy of before the newest revisions.
// No node goes back, a node that restarts meanwhile comes up with the newest,
// and the next accepted document follows it, never an older number.
func TestStoreRolledBackNeverReverts(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	stop := f.neverBack(f.nodes[:2]...)
	faults(t, f.store, map[string]any{"save": true})
	base := f.accept(f.nodes[0], 1, f.weighted(50))
	doc := f.weighted(51)
	base = f.accept(f.nodes[1], base, doc)
	f.inForce(base, doc, f.nodes...)

	faults(t, f.store, map[string]any{"restore": true})
	rolledBack := f.revisionHead()
	restarted := f.nodes[2]
	restarted.kill()
	restarted.start(t, f.nodes[0].peer, f.nodes[1].peer)
	until(t, "the nodes have met the older table and healed it",
		func() bool { return f.revisionHead() != rolledBack },
		func() string { return rolledBack })
	f.inForce(base, doc, f.nodes...)

	last := f.weighted(52)
	var next uint64
	until(t, "a document is accepted after the roll-back",
		func() bool {
			res, err := restarted.client().Apply(t.Context(), operator.ApplyRequest{Base: base, Document: last})
			next = res.Revision
			return err == nil && res.State == operator.ApplyAccepted
		},
		func() string { return fmt.Sprint(next) })
	if next <= base {
		t.Errorf("the next revision is %d, after %d", next, base)
	}
	f.inForce(next, last, f.nodes...)
	stop()
}

// revisionHead returns the row of the newest revision.
func (f *testFleet) revisionHead() string {
	f.t.Helper()
	row, err := f.table.Get(f.t.Context(), platform.TableRevisions, "head")
	must(f.t, err)
	return string(row.Value)
}
