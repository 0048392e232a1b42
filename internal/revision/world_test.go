package revision_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/revision"
)

// world runs Decide on several nodes and Store on one table, one step at a
// time, in the order drawn by rapid. It uses no goroutines and a simulated
// clock.
type world struct {
	t     *rapid.T
	table *table
	nodes []*node
	tasks []task
	clock time.Time

	backup   map[string]platform.Row // backup of the table
	restored bool                    // the table was restored at least once
	weight   int                     // organisation weight of the next document, makes each document different

	accepted []*revision.Record // revisions reported as accepted
	refused  map[uint64]bool    // hashes of documents reported as not accepted
	head     revision.Stamp     // head of the table when it was last observed
	highest  revision.Stamp     // highest stamp in the table or in any node's memory
}

// node is one simulated node. Its state is lost on restart.
type node struct {
	vm                 fleet.VM
	restarts           int
	state              revision.State
	store              *revision.Store
	clockSkew          time.Duration // offset of its wall clock
	partition          int           // partition; nodes in the same one reach each other
	isTableUnreachable bool          // cut off from the platform
	inForce            revision.Stamp
	reportedClashes    int
}

// task is a pending message or action.
type task struct {
	to       *node
	restarts int // tasks from before the node's last restart are discarded
	run      func()
}

func newWorld(t *rapid.T, nodes int) *world {
	w := &world{t: t, table: newTable(), refused: map[uint64]bool{}, clock: time.Unix(1_700_000_000, 0)}
	w.backup = w.table.backup()
	for i := range nodes {
		n := &node{vm: fleet.VM(fmt.Sprintf("vm-%d", i))}
		n.clockSkew = time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond
		n.store = revision.NewStore(w.table, func() time.Time { return w.clock.Add(n.clockSkew) })
		n.store.DisableReadBackRetry()
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) drawNode() *node { return rapid.SampledFrom(w.nodes).Draw(w.t, "node") }

// setTableReachability makes the table available or unavailable as seen by n,
// until undo is called.
func (w *world) setTableReachability(n *node) (undo func()) {
	w.table.down = n.isTableUnreachable
	return func() { w.table.down, w.table.downAfter = false, 0 }
}

// applyEvent applies an event to a node and queues the resulting actions.
func (w *world) applyEvent(n *node, e revision.Event) {
	state, actions := revision.Decide(n.state, e)
	n.state = state
	for _, a := range actions {
		w.execute(n, a)
	}
	w.raiseHighest(n.state.Highest())
}

func (w *world) queue(n *node, run func()) {
	w.tasks = append(w.tasks, task{to: n, restarts: n.restarts, run: run})
}

func (w *world) execute(n *node, a revision.Action) {
	switch a := a.(type) {
	case revision.Install:
		if a.Stamp.Compare(n.inForce) <= 0 {
			w.t.Fatalf("%s: revision %s put in force after %s", n.vm, a.Stamp, n.inForce)
		}
		if !n.state.Joined {
			w.t.Fatalf("%s: revision %s put in force before the node has joined", n.vm, a.Stamp)
		}
		n.inForce = a.Stamp
	case revision.Announce:
		w.broadcast(n)
	case revision.FetchPeer:
		w.queue(n, func() { w.fetchPeer(n, a) })
	case revision.FetchTable:
		w.queue(n, func() { w.fetchTable(n, a.Stamp) })
	case revision.HealTable:
		w.queue(n, func() { w.heal(n) })
	case revision.ReportClash:
		n.reportedClashes++
	case revision.ReportUnusable:
		w.t.Fatalf("%s cannot use a document that was accepted", n.vm)
	}
}

func (w *world) broadcast(n *node) {
	stamp := n.state.Highest()
	if stamp.Number == 0 {
		return
	}
	for _, to := range w.nodes {
		if to != n {
			w.queue(to, func() {
				if to.partition == n.partition {
					w.applyEvent(to, revision.StampReceived{From: n.vm, Stamp: stamp})
				}
			})
		}
	}
}

func (w *world) node(vm fleet.VM) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.vm == vm })]
}

func newHeldRecord(rec *revision.Record) revision.HeldRevision {
	d, err := config.Parse("", rec.Document)
	if err != nil {
		panic(err)
	}
	return revision.HeldRevision{Record: rec, Document: d}
}

func (w *world) fetchPeer(n *node, a revision.FetchPeer) {
	from := w.node(a.From)
	if from.partition != n.partition {
		return
	}
	if rec := from.state.Find(a.Stamp); rec != nil {
		w.applyEvent(n, revision.RevisionReceived{HeldRevision: newHeldRecord(rec)})
	}
}

func (w *world) fetchTable(n *node, stamp revision.Stamp) {
	defer w.setTableReachability(n)()
	if rec, err := n.store.Get(context.Background(), stamp.Number); err == nil {
		w.applyEvent(n, revision.RevisionReceived{HeldRevision: newHeldRecord(rec)})
	}
}

func (w *world) poll(n *node) {
	defer w.setTableReachability(n)()
	if head, err := n.store.Head(context.Background()); err == nil {
		w.applyEvent(n, revision.HeadRead{Stamp: head.Stamp})
	}
}

func (w *world) heal(n *node) {
	defer w.setTableReachability(n)()
	_, _ = n.store.Heal(context.Background(), n.state.Records()) // a failed heal is retried after the next poll
	w.table.down = false
	w.observeTable()
}

// askPeers asks the reachable peers for their highest revision and fetches it.
func (w *world) askPeers(n *node) {
	for _, peer := range w.nodes {
		stamp := peer.state.Highest()
		if peer == n || peer.partition != n.partition || !peer.state.Joined || stamp.Number == 0 {
			continue
		}
		w.applyEvent(n, revision.StampReceived{From: peer.vm, Stamp: stamp, IsReply: true})
		if stamp.Compare(n.state.Highest()) > 0 {
			w.fetchPeer(n, revision.FetchPeer{From: peer.vm, Stamp: stamp})
		}
	}
}

func (w *world) join(n *node) {
	w.askPeers(n)
	w.applyEvent(n, revision.JoinEnded{})
}

// accept proposes a new document at a node, as Keeper does.
func (w *world) accept(n *node, base uint64) {
	if !n.state.Joined {
		return
	}
	w.weight++
	p := revision.Proposal{Base: base, Document: document(w.weight%1000 + 1), Author: string(n.vm)}
	p.Document = fmt.Appendf(p.Document, "# %d\n", w.weight)
	w.askPeers(n)
	defer w.setTableReachability(n)()
	if n.state.HighestSeen.Compare(n.state.Highest()) > 0 {
		head, err := n.store.Head(context.Background())
		if err != nil {
			return
		}
		if head.Stamp.Compare(n.state.HighestSeen) < 0 {
			if rapid.Bool().Draw(w.t, "wait") {
				return
			}
			p.ReservedNumber = n.state.HighestSeen.Number
		}
	}
	rec, err := n.store.Accept(context.Background(), p, n.state.Records())
	w.recordOutcome(n, p, rec, err)
}

// recordOutcome records the result that the author of p received.
func (w *world) recordOutcome(n *node, p revision.Proposal, rec *revision.Record, err error) {
	var conflict *revision.Conflict
	var refused *revision.Refused
	var ambiguous *revision.Ambiguous
	switch {
	case err == nil:
		w.accepted = append(w.accepted, rec)
		w.applyEvent(n, revision.RevisionReceived{HeldRevision: newHeldRecord(rec)})
		if n.inForce != rec.Stamp {
			w.t.Fatalf("%s accepted revision %s but has %s in force", n.vm, rec.Stamp, n.inForce)
		}
	case errors.As(err, &conflict):
		w.refused[config.Hash(p.Document)] = true
		w.applyEvent(n, revision.HeadRead{Stamp: conflict.Current})
	case errors.As(err, &refused):
		w.refused[config.Hash(p.Document)] = true
	case errors.As(err, &ambiguous):
	default:
		w.t.Fatalf("unexpected error: %v", err)
	}
	w.table.down = false
	w.observeTable()
}

// observeTable records the head of the table and checks that it has not
// decreased.
func (w *world) observeTable() {
	head, err := w.nodes[0].store.Head(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	if head.Stamp.Compare(w.head) < 0 {
		w.t.Fatalf("head of the table decreased from %s to %s", w.head, head.Stamp)
	}
	w.head = head.Stamp
	w.raiseHighest(head.Stamp)
}

func (w *world) raiseHighest(s revision.Stamp) {
	if s.Compare(w.highest) > 0 {
		w.highest = s
	}
}

// recomputeHighest recomputes the highest stamp after copies were lost.
func (w *world) recomputeHighest() {
	w.highest = revision.Stamp{}
	for _, n := range w.nodes {
		w.raiseHighest(n.state.Highest())
	}
	w.observeTable()
}

func (w *world) restart(n *node) {
	n.restarts++
	n.state, n.inForce = revision.State{}, revision.Stamp{}
	w.recomputeHighest()
}

// restoreTable restores the table from its backup. Writes in flight are
// dropped.
func (w *world) restoreTable() {
	w.table.restore(w.backup)
	w.table.inFlight = nil
	w.restored, w.head = true, revision.Stamp{}
	w.recomputeHighest()
}

// runTask removes the i-th task and runs it, unless its node has restarted
// since.
func (w *world) runTask(i int) {
	k := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	if k.restarts == k.to.restarts {
		k.run()
	}
}

// converge restores all connections and runs all pending tasks.
func (w *world) converge() {
	w.table.loseAnswers, w.table.delayWrites, w.table.beforeCommit = 0, 0, nil
	w.table.deliver()
	w.observeTable()
	for _, n := range w.nodes {
		n.partition, n.isTableUnreachable = 0, false
		w.join(n)
	}
	const rounds = 4
	for range rounds {
		for _, n := range w.nodes {
			w.broadcast(n)
			w.poll(n)
		}
		for len(w.tasks) > 0 {
			w.runTask(0)
		}
	}
}
