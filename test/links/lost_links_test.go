package links

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
)

const (
	// noticeTime is the time after a cut from which its effects are measured; the platform allows
	// 3 s.
	noticeTime = time.Second
	// measuredTime is how long clients' requests are counted.
	measuredTime = 2 * time.Second
	// requestInterval is the pause of a client between two requests.
	requestInterval = 10 * time.Millisecond
)

// Guards against nodes that refuse clients' requests while only their own links to the endpoints
// are lost and other nodes could pass the requests on.
func TestNodesWithoutLinksServeThroughPeers(t *testing.T) {
	for _, c := range []struct {
		name string
		mode mode
		cut  []int // indexes of the nodes; zones a, a, b, b, c, c
	}{
		{"two of six, hanging", hang, []int{0, 4}},
		{"two of six, reset", reset, []int{0, 4}},
		{"two of six, new ones refused", refuseNew, []int{0, 4}},
		{"two of six, one way", oneWay, []int{0, 4}},
		{"a whole zone, hanging", hang, []int{0, 1}},
		{"two whole zones, reset", reset, []int{0, 1, 2, 3}},
		{"all but one, hanging", hang, []int{0, 1, 2, 3, 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := startCluster(t, "a", "a", "b", "b", "c", "c")
			stop := make(chan struct{})
			var measuring sync.RWMutex
			counting := false
			isCounting := func() bool { measuring.RLock(); defer measuring.RUnlock(); return counting }
			setCounting := func(on bool) { measuring.Lock(); defer measuring.Unlock(); counting = on }
			var cut, others tally
			var clients sync.WaitGroup
			for i, n := range cl.nodes {
				to := &others
				if slices.Contains(c.cut, i) {
					to = &cut
				}
				clients.Go(func() { cl.sendUntil(stop, n, fmt.Sprintf("n%d", i), isCounting, to) })
			}
			for _, i := range c.cut {
				cl.nodes[i].links.set(c.mode)
			}
			time.Sleep(noticeTime)
			setCounting(true)
			time.Sleep(measuredTime)
			setCounting(false)
			for _, i := range c.cut {
				cl.nodes[i].links.set(up)
			}
			close(stop)
			clients.Wait()
			checkFirstAttempts(t, &cut, &others)
		})
	}
}

// Guards against streams that are lost with the links of their node: the rest comes through a peer,
// each event once.
func TestStreamsResumeThroughPeers(t *testing.T) {
	for _, m := range []mode{hang, reset} {
		t.Run(m.String(), func(t *testing.T) {
			is := is.New(t)
			cl := startCluster(t, "a", "b")
			n := cl.nodes[0]
			type result struct {
				code int
				body string
				err  error
			}
			got := make(chan result, 1)
			go func() {
				code, body, err := cl.stream(n, "moved", 150)
				got <- result{code, body, err}
			}()
			testkit.Eventually(t, "the stream runs", func() bool { return len(cl.fleet.Runs("moved")) == 1 })
			n.links.set(m)
			r := <-got
			is.NoErr(r.err)
			is.Equal(r.code, http.StatusOK)
			is.True(isEventsInOrder(r.body, 150))
			is.True(len(cl.fleet.Runs("moved")) > 1)
			n.links.set(up)
		})
	}
}

// sendUntil sends requests of all kinds one after the other until stop is closed. Those that are
// sent while isCounting are counted.
func (c *cluster) sendUntil(stop <-chan struct{}, n *node, name string, isCounting func() bool, to *tally) {
	var kinds sync.WaitGroup
	for _, k := range []struct{ method, path string }{{"POST", "/text/x"}, {"POST", "/receipt/x"}, {"GET", "/lookup/x"}} {
		kinds.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(requestInterval):
				}
				counted := isCounting()
				code, _, err := c.call(n, k.method, k.path, fmt.Sprintf("%s%s%d", name, k.path, i))
				if counted {
					to.record(k.path, code, err)
				}
			}
		})
	}
	kinds.Wait()
}

// checkFirstAttempts checks the platform's bounds: clients' first attempts at nodes without links
// are served two thirds as often as those at the others, or at most 10 and one in 50 of all fail.
func checkFirstAttempts(t *testing.T, cut, others *tally) {
	t.Helper()
	t.Logf("cut: %d of %d served, %v; others: %d of %d, %v", cut.served, cut.sent, cut.failures, others.served, others.sent, others.failures)
	if cut.sent == 0 || others.sent == 0 {
		t.Fatal("no requests were counted")
	}
	failed := cut.sent - cut.served
	share, othersShare := float64(cut.served)/float64(cut.sent), float64(others.served)/float64(others.sent)
	if share < othersShare*2/3 && failed > 10+(cut.sent+others.sent)/50 {
		t.Errorf("nodes without links served %d of %d first attempts, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
	}
}
