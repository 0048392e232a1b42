package membership_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/peer"
	"chervilloom/internal/view"
)

// awaitTimeout bounds the wait for an expected state; it is not a performance
// target.
const awaitTimeout = 60 * time.Second

// linkedNode is a Service over real links.
type linkedNode struct {
	mesh    *peer.Mesh
	service *membership.Service
	stop    func()
}

func startNode(t *testing.T, node fleet.Node, listen string, seeds ...membership.Seed) *linkedNode {
	t.Helper()
	id, err := peer.IdentityFromSecret(node.VM, []byte("a secret of the tests, long enough"))
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	mesh, err := peer.New(peer.Options{Self: node, Zone: "z", Listen: listen, Identity: id, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	state := membership.New(node, "z", mesh.Addr(), membership.DefaultConfig(), rand.New(rand.NewPCG(uint64(node.Incarnation), 1)))
	service, err := membership.NewService(membership.Options{State: state, Mesh: mesh, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { mesh.Run(ctx); done <- struct{}{} }()
	go func() { service.Run(ctx); done <- struct{}{} }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
			<-done
		}
	}
	t.Cleanup(stop)
	service.SetSeeds(seeds)
	return &linkedNode{mesh: mesh, service: service, stop: stop}
}

// await polls until ok returns true and fails the test after awaitTimeout.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

func (n *linkedNode) seesState(want fleet.Node, state view.NodeState) bool {
	for _, o := range n.service.Nodes() {
		if o.Node == want {
			return o.State == state
		}
	}
	return false
}

// Three nodes join over QUIC through one seed. One announces a revision, one
// leaves gracefully and returns as a new process on another port, one stops
// without leaving.
func TestServiceOverLinks(t *testing.T) {
	is := is.New(t)
	a1, b1, c1 := fleet.Node{VM: "a", Incarnation: 1}, fleet.Node{VM: "b", Incarnation: 1}, fleet.Node{VM: "c", Incarnation: 1}
	a := startNode(t, a1, "127.0.0.1:0")
	seed := membership.Seed{VM: "a", Addr: a.mesh.Addr()}
	addrOnly := membership.Seed{Addr: a.mesh.Addr()} // a seed from the settings has only an address
	b := startNode(t, b1, "127.0.0.1:0", seed)
	c := startNode(t, c1, "127.0.0.1:0", addrOnly)
	await(t, "all alive", func() bool {
		return a.seesState(b1, view.NodeAlive) && a.seesState(c1, view.NodeAlive) && b.seesState(c1, view.NodeAlive) && c.seesState(b1, view.NodeAlive)
	})

	is.True(b.service.Announce(7, true, []byte("p")))
	await(t, "b's revision and draining at c", func() bool {
		for _, o := range c.service.Nodes() {
			if o.Node == b1 {
				return o.Revision == 7 && o.Draining
			}
		}
		return false
	})

	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	is.NoErr(b.service.Leave(ctx))
	await(t, "b left", func() bool { return a.seesState(b1, view.NodeLeft) && c.seesState(b1, view.NodeLeft) })
	b.stop()
	b2 := fleet.Node{VM: "b", Incarnation: 2}
	restarted := startNode(t, b2, "127.0.0.1:0", seed)
	await(t, "b alive in its second incarnation", func() bool { return a.seesState(b2, view.NodeAlive) && c.seesState(b2, view.NodeAlive) })

	c.stop()
	await(t, "c dead", func() bool { return a.seesState(c1, view.NodeDead) && restarted.seesState(c1, view.NodeDead) })
}
