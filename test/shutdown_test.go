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

// A node gets SIGTERM under load: long streams of its own callers, requests
// that it relays for a node of a zone without engines, and callers on
// keep-alive connections that switch nodes when its readiness check fails, as a
// load balancer does. No request in progress may be interrupted and none sent
// to the node refused, and it must exit with code 0 after its last response.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA, zoneB}, engines: 4, services: 1, tokensPerSec: 50})
	leaving, other, far := f.nodes[0], f.nodes[1], f.nodes[2]
	own := startLongStreams(t, []*node{leaving, leaving, leaving, leaving}, 150)
	// The relayed requests last longer than all others in progress at the node.
	relayed := startLongStreams(t, []*node{far, far, far, far, far, far, far, far}, 300)
	lb, stop := startBalancedCallers(t, leaving, other, far)
	waitUntil(t, "callers have sent 200 requests", func() bool { return lb.calls.Load() > 200 }, func() string { return "" })

	leaving.signal(t, syscall.SIGTERM)
	for _, s := range append(own(), relayed()...) {
		if err := checkChat(s.body, s.callResult); err != nil || !s.done {
			t.Errorf("the shutdown interrupted a stream: %v %v", err, s.callResult)
		}
	}
	if code := leaving.awaitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for _, a := range stop() {
		t.Errorf("a caller got %v", a)
	}
	f.nodes = f.nodes[1:]
	f.checkNodesAnswer()
}

// balancer selects ready nodes by their latest readiness checks.
type balancer struct {
	nodes []*node
	ready []atomic.Bool
	calls atomic.Int64
}

// pollReadiness polls the nodes' readiness checks until ctx ends.
func (b *balancer) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for i, n := range b.nodes {
			res, err := http.Get("http://" + n.caller + "/readyz")
			b.ready[i].Store(err == nil && res.StatusCode == http.StatusOK)
			if err == nil {
				res.Body.Close()
			}
		}
		time.Sleep(50 * time.Millisecond) // polling interval; no check depends on it
	}
}

// pick returns the first ready node at or after the given index.
func (b *balancer) pick(from int) *node {
	for k := range b.nodes {
		if i := (from + k) % len(b.nodes); b.ready[i].Load() {
			return b.nodes[i]
		}
	}
	return b.nodes[from%len(b.nodes)]
}

// startBalancedCallers starts callers that send requests through a balancer
// over keep-alive connections. The returned function stops them and returns the
// responses that failed.
func startBalancedCallers(t *testing.T, nodes ...*node) (*balancer, func() []callResult) {
	ctx, cancel := context.WithCancel(t.Context())
	lb := &balancer{nodes: nodes, ready: make([]atomic.Bool, len(nodes))}
	for i := range nodes {
		lb.ready[i].Store(true)
	}
	go lb.pollReadiness(ctx)
	var mu sync.Mutex
	var failed []callResult
	var work sync.WaitGroup
	for i := range 24 {
		work.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				n := lb.pick(i + k)
				var a callResult
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
				if err != nil || !a.isComplete() {
					mu.Lock()
					failed = append(failed, a)
					mu.Unlock()
				}
			}
		})
	}
	return lb, func() []callResult {
		cancel()
		work.Wait()
		return failed
	}
}

// All nodes are disconnected from the platform. Existing groups and services
// must still be served through every node, a new configuration must be refused
// and no group formed. After reconnection everything must work as before.
func TestNodesServeWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, engines: 4, services: 1})
	for _, n := range f.nodes {
		n.platform.disconnect()
	}
	f.awaitStatusOnAll("the platform is unreachable", func(s operator.Status) bool { return !s.Platform.Reachable })
	disconnectedAt := time.Now()
	for time.Since(disconnectedAt) < 5*time.Second { // longer than the probe freshness and the lease
		f.checkNodesAnswer()
		for _, n := range f.nodes {
			if a := n.call(t.Context(), "GET", "/licences/cut", "", nil); !a.isComplete() {
				t.Fatalf("a lookup through %s failed: %v", n.vm, a)
			}
		}
	}
	res, err := f.nodes[0].client().Apply(t.Context(), operator.ApplyRequest{Base: 1, Document: f.document() + "# changed\n"})
	must(t, err)
	if res.State != operator.ApplyRefused && res.State != operator.ApplyUnknown {
		t.Errorf("a document was %s without the platform", res.State)
	}
	for _, n := range f.nodes {
		n.platform.reconnect()
	}
	f.awaitStatusOnAll("the platform is reachable", func(s operator.Status) bool { return s.Platform.Reachable })
	f.checkNodesAnswer()
}

// Guards against callers that are refused while a node shuts down and the other
// nodes are paused in turn, as happens on machines short of processor time.
func TestGracefulShutdownBesidePausedNodes(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneA, zoneB}, engines: 4, services: 1})
	leaving, other, far := f.nodes[0], f.nodes[1], f.nodes[2]
	lb, stop := startBalancedCallers(t, leaving, other, far)
	waitUntil(t, "callers have sent 200 requests", func() bool { return lb.calls.Load() > 200 }, func() string { return "" })
	leaving.signal(t, syscall.SIGTERM)
	for i := range 8 {
		n := f.nodes[i%len(f.nodes)]
		n.signal(t, syscall.SIGSTOP)
		time.Sleep(pauseLength)
		n.signal(t, syscall.SIGCONT)
		time.Sleep(pauseLength) // until the calls that the pause delayed are answered
	}
	if code := leaving.awaitExit(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	for _, a := range stop() {
		t.Errorf("a caller got %v", a)
	}
}

// pauseLength is shorter than the time after which a node is considered dead.
const pauseLength = 200 * time.Millisecond
