package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chervilloom/internal/operator"
)

// A node is told to end (SIGTERM) under load: callers with long streams of its
// own, hops that a node of a zone without engines relays through it, and
// callers on kept connections who, as a balancer does, look at its readiness
// and go to another node. Nothing in progress is cut, nothing that was sent to
// it is refused, and it exits with 0 once the last answer is out.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneA, zoneB}, engines: 4, services: 1, tokensPerSec: 50})
	leaving, other, far := f.nodes[0], f.nodes[1], f.nodes[2]
	own := longStreams(t, []*node{leaving, leaving, leaving, leaving}, 150)
	// The relayed hops outlast all else that the node has in progress.
	relayed := longStreams(t, []*node{far, far, far, far, far, far, far, far}, 300)
	lb, stop := keepBalanced(t, leaving, other, far)
	until(t, "callers are at work", func() bool { return lb.calls.Load() > 200 }, func() string { return "" })

	leaving.signal(t, syscall.SIGTERM)
	for _, s := range append(own(), relayed()...) {
		if err := checkChat(s.body, s.told); err != nil || !s.done {
			t.Errorf("a stream was cut by the shutdown: %v %v", err, s.told)
		}
	}
	if code := leaving.exit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for _, a := range stop() {
		t.Errorf("a caller was told %v", a)
	}
	f.nodes = f.nodes[1:]
	f.mustAnswer()
}

// balancer knows which nodes are ready, as of its last look.
type balancer struct {
	nodes []*node
	ready []atomic.Bool
	calls atomic.Int64
}

// watch looks at the nodes' readiness until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for i, n := range b.nodes {
			res, err := http.Get("http://" + n.caller + "/readyz")
			b.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
			if err == nil {
				res.Body.Close()
			}
		}
		time.Sleep(50 * time.Millisecond) // paces the looks; proves nothing
	}
}

// pick returns the first ready node, from the given one on.
func (b *balancer) pick(from int) *node {
	for k := range b.nodes {
		if i := (from + k) % len(b.nodes); b.ready[i].Load() {
			return b.nodes[i]
		}
	}
	return b.nodes[from%len(b.nodes)]
}

// keepBalanced has callers go through a balancer, over kept connections. The
// function that it returns stops them and returns the answers that were not
// whole.
func keepBalanced(t *testing.T, nodes ...*node) (*balancer, func() []told) {
	ctx, cancel := context.WithCancel(t.Context())
	lb := &balancer{nodes: nodes, ready: make([]atomic.Bool, len(nodes))}
	for i := range nodes {
		lb.ready[i].Store(true)
	}
	go lb.watch(ctx)
	var mu sync.Mutex
	var bad []told
	var work sync.WaitGroup
	for i := range 24 {
		work.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				n := lb.pick(i + k)
				var a told
				var err error
				if k%4 == 0 {
					body := chatBody(fmt.Sprintf("balanced %d %d", i, k), 5, true)
					a = n.chat(context.WithoutCancel(ctx), body, nil)
					err = checkChat(body, a)
				} else {
					path := fmt.Sprintf("/receipts/balanced/%d/%d", i, k)
					a = n.call(context.WithoutCancel(ctx), "POST", path, receipt, nil)
					err = checkCall("POST", path, receipt, a)
				}
				lb.calls.Add(1)
				if err != nil || !a.whole() {
					mu.Lock()
					bad = append(bad, a)
					mu.Unlock()
				}
			}
		})
	}
	return lb, func() []told {
		cancel()
		work.Wait()
		return bad
	}
}

// All nodes are cut from the platform. What is formed goes on serving through
// every node, a new configuration is refused and nothing is formed; when the
// platform is back all is as before.
func TestZoneCutFromPlatformServes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, engines: 4, services: 1})
	for _, n := range f.nodes {
		n.platform.cut()
	}
	f.awaitAll("the platform is away", func(s operator.Status) bool { return !s.Platform.Reachable })
	cut := time.Now()
	for time.Since(cut) < 5*time.Second { // longer than probes stay fresh and leases last
		f.mustAnswer()
		for _, n := range f.nodes {
			if a := n.call(t.Context(), "GET", "/licences/cut", "", nil); !a.whole() {
				t.Fatalf("a lookup through %s: %v", n.vm, a)
			}
		}
	}
	res, err := f.nodes[0].client().Apply(t.Context(), operator.ApplyRequest{Base: 1, Document: f.document() + "# changed\n"})
	must(t, err)
	if res.State != operator.ApplyRefused && res.State != operator.ApplyUnknown {
		t.Errorf("a document was %s without the platform", res.State)
	}
	for _, n := range f.nodes {
		n.platform.mend()
	}
	f.awaitAll("the platform is back", func(s operator.Status) bool { return s.Platform.Reachable })
	f.mustAnswer()
}

// Guards against callers that are refused while a node leaves and the others stand still in
// turn, as they do on machines short of processor time.
func TestGracefulShutdownBesidePausedNodes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneA, zoneB}, engines: 4, services: 1})
	leaving, other, far := f.nodes[0], f.nodes[1], f.nodes[2]
	lb, stop := keepBalanced(t, leaving, other, far)
	until(t, "callers are at work", func() bool { return lb.calls.Load() > 200 }, func() string { return "" })
	leaving.signal(t, syscall.SIGTERM)
	for i := range 8 {
		n := f.nodes[i%len(f.nodes)]
		n.signal(t, syscall.SIGSTOP)
		time.Sleep(pauseLength)
		n.signal(t, syscall.SIGCONT)
		time.Sleep(pauseLength) // until the calls that it held are answered
	}
	if code := leaving.exit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for _, a := range stop() {
		t.Errorf("a caller was told %v", a)
	}
}

// pauseLength is shorter than the time in which a node is taken for dead.
const pauseLength = 200 * time.Millisecond
