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

// world drives Decide on several nodes and Store on one table, one step at a
// time, in the order that rapid draws. It runs no goroutine and no clock.
type world struct {
	t     *rapid.T
	table *table
	nodes []*node
	tasks []task
	clock time.Time

	saved    map[string]platform.Row // the table's backup
	restored bool                    // the table was put back at least once
	weight   int                     // of the next document, so that each differs

	accepted []*revision.Record // told "accepted" to an author
	refused  map[uint64]bool    // hashes of documents told "not accepted"
	head     revision.Stamp     // of the table at the last look
	highest  revision.Stamp     // of all that the table and the nodes hold
}

// node is one node: its state is lost when it restarts.
type node struct {
	vm       fleet.VM
	life     int
	state    revision.State
	store    *revision.Store
	skew     time.Duration // of its wall clock
	island   int           // nodes of the same island reach each other
	noTable  bool          // cut off from the platform
	inForce  revision.Stamp
	reported int
}

// task is something under way: a message or an action that is still to be done.
type task struct {
	to   *node
	life int // a task of an earlier life of its node is void
	run  func()
}

func newWorld(t *rapid.T, nodes int) *world {
	w := &world{t: t, table: newTable(), refused: map[uint64]bool{}, clock: time.Unix(1_700_000_000, 0)}
	w.saved = w.table.backup()
	for i := range nodes {
		n := &node{vm: fleet.VM(fmt.Sprintf("vm-%d", i))}
		n.skew = time.Duration(rapid.IntRange(-2000, 2000).Draw(t, "skew")) * time.Millisecond
		n.store = revision.NewStore(w.table, func() time.Time { return w.clock.Add(n.skew) })
		n.store.GiveUpAtOnce()
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) drawNode() *node { return rapid.SampledFrom(w.nodes).Draw(w.t, "node") }

// reach sets whether the table answers while n uses it.
func (w *world) reach(n *node) (undo func()) {
	w.table.down = n.noTable
	return func() { w.table.down, w.table.downAfter = false, 0 }
}

// learn lets a node take in an event and queues what follows from it.
func (w *world) learn(n *node, e revision.Event) {
	state, actions := revision.Decide(n.state, e)
	n.state = state
	for _, a := range actions {
		w.act(n, a)
	}
	w.holds(n.state.Highest())
}

func (w *world) queue(n *node, run func()) {
	w.tasks = append(w.tasks, task{to: n, life: n.life, run: run})
}

func (w *world) act(n *node, a revision.Action) {
	switch a := a.(type) {
	case revision.Install:
		if a.Stamp.Compare(n.inForce) <= 0 {
			w.t.Fatalf("%s: %s in force after %s", n.vm, a.Stamp, n.inForce)
		}
		if !n.state.Joined {
			w.t.Fatalf("%s: %s in force before it has joined", n.vm, a.Stamp)
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
	case revision.Report:
		n.reported++
	case revision.Refuse:
		w.t.Fatalf("%s refused a document that was accepted", n.vm)
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
				if to.island == n.island {
					w.learn(to, revision.Heard{From: n.vm, Stamp: stamp})
				}
			})
		}
	}
}

func (w *world) node(vm fleet.VM) *node {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.vm == vm })]
}

func held(rec *revision.Record) revision.Held {
	d, err := config.Parse("", rec.Document)
	if err != nil {
		panic(err)
	}
	return revision.Held{Record: rec, Document: d}
}

func (w *world) fetchPeer(n *node, a revision.FetchPeer) {
	from := w.node(a.From)
	if from.island != n.island {
		return
	}
	if rec := from.state.Find(a.Stamp); rec != nil {
		w.learn(n, revision.Got{Held: held(rec)})
	}
}

func (w *world) fetchTable(n *node, stamp revision.Stamp) {
	defer w.reach(n)()
	if rec, err := n.store.Get(context.Background(), stamp.Number); err == nil {
		w.learn(n, revision.Got{Held: held(rec)})
	}
}

func (w *world) poll(n *node) {
	defer w.reach(n)()
	if head, err := n.store.Head(context.Background()); err == nil {
		w.learn(n, revision.HeadRead{Stamp: head.Stamp})
	}
}

func (w *world) heal(n *node) {
	defer w.reach(n)()
	_, _ = n.store.Heal(context.Background(), n.state.Records()) // a failed one is tried again at the next look
	w.table.down = false
	w.look()
}

// ask lets a node ask the peers that it reaches and fetch what they hold.
func (w *world) ask(n *node) {
	for _, peer := range w.nodes {
		stamp := peer.state.Highest()
		if peer == n || peer.island != n.island || !peer.state.Joined || stamp.Number == 0 {
			continue
		}
		w.learn(n, revision.Heard{From: peer.vm, Stamp: stamp, Answer: true})
		if stamp.Compare(n.state.Highest()) > 0 {
			w.fetchPeer(n, revision.FetchPeer{From: peer.vm, Stamp: stamp})
		}
	}
}

func (w *world) join(n *node) {
	w.ask(n)
	w.learn(n, revision.Joined{})
}

// accept proposes a new document at a node, as Keeper does.
func (w *world) accept(n *node, base uint64) {
	if !n.state.Joined {
		return
	}
	w.weight++
	p := revision.Proposal{Base: base, Document: document(w.weight%1000 + 1), Author: string(n.vm)}
	p.Document = fmt.Appendf(p.Document, "# %d\n", w.weight)
	w.ask(n)
	defer w.reach(n)()
	if n.state.Seen.Compare(n.state.Highest()) > 0 {
		head, err := n.store.Head(context.Background())
		if err != nil {
			return
		}
		if head.Stamp.Compare(n.state.Seen) < 0 {
			if rapid.Bool().Draw(w.t, "wait") {
				return
			}
			p.Above = n.state.Seen.Number
		}
	}
	rec, err := n.store.Accept(context.Background(), p, n.state.Records())
	w.told(n, p, rec, err)
}

// told notes what the author was told.
func (w *world) told(n *node, p revision.Proposal, rec *revision.Record, err error) {
	var conflict *revision.Conflict
	var refused *revision.Refused
	var ambiguous *revision.Ambiguous
	switch {
	case err == nil:
		w.accepted = append(w.accepted, rec)
		w.learn(n, revision.Got{Held: held(rec)})
		if n.inForce != rec.Stamp {
			w.t.Fatalf("%s accepted %s and has %s in force", n.vm, rec.Stamp, n.inForce)
		}
	case errors.As(err, &conflict):
		w.refused[config.Hash(p.Document)] = true
		w.learn(n, revision.HeadRead{Stamp: conflict.Current})
	case errors.As(err, &refused):
		w.refused[config.Hash(p.Document)] = true
	case errors.As(err, &ambiguous):
	default:
		w.t.Fatalf("unexpected error: %v", err)
	}
	w.table.down = false
	w.look()
}

// look notes what the table holds.
func (w *world) look() {
	head, err := w.nodes[0].store.Head(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	if head.Stamp.Compare(w.head) < 0 {
		w.t.Fatalf("the table went from %s down to %s", w.head, head.Stamp)
	}
	w.head = head.Stamp
	w.holds(head.Stamp)
}

func (w *world) holds(s revision.Stamp) {
	if s.Compare(w.highest) > 0 {
		w.highest = s
	}
}

// forget finds the highest revision anew after copies were lost.
func (w *world) forget() {
	w.highest = revision.Stamp{}
	for _, n := range w.nodes {
		w.holds(n.state.Highest())
	}
	w.look()
}

func (w *world) restart(n *node) {
	n.life++
	n.state, n.inForce = revision.State{}, revision.Stamp{}
	w.forget()
}

// restore puts the table back to its backup. Writes under way end with it.
func (w *world) restore() {
	w.table.restore(w.saved)
	w.table.inFlight = nil
	w.restored, w.head = true, revision.Stamp{}
	w.forget()
}

// runTask does the i-th task.
func (w *world) runTask(i int) {
	k := w.tasks[i]
	w.tasks = slices.Delete(w.tasks, i, i+1)
	if k.life == k.to.life {
		k.run()
	}
}

// settle mends all links and lets everything under way end.
func (w *world) settle() {
	w.table.lose, w.table.drop, w.table.beforeCommit = 0, 0, nil
	w.table.deliver()
	w.look()
	for _, n := range w.nodes {
		n.island, n.noTable = 0, false
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
