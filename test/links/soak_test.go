package links

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
)

var (
	soakSeed  = flag.Uint64("links.seed", 1, "first seed of TestLinksSoak")
	soakSeeds = flag.Int("links.seeds", 1, "number of consecutive seeds that TestLinksSoak runs")
	soakTime  = flag.Duration("links.time", 8*time.Second, "duration of fault injection per seed")
)

// soak is a cluster whose links, nodes and endpoints fail while clients send requests.
type soak struct {
	*cluster
	rng *rand.Rand // for the faults

	mu         sync.Mutex // guards the nodes and the fields below
	leaving    []*node
	faults     []string
	violations []string
	served     int
}

// TestLinksSoak cuts links of random nodes in all modes, to all endpoints or to some, overlapping
// with nodes that shut down and are replaced, endpoints that pause for a second, members of groups
// that crash, and changes of the configuration. Throughout, streams contain each event once and in
// order, receipts run at most once, refused requests did not run, responses belong to their
// requests, and no request is quarantined. Afterwards every node serves again over its own links.
func TestLinksSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	s := &soak{cluster: startCluster(t, "a", "a", "b", "b", "c"), rng: rand.New(rand.NewPCG(seed, 0))}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Go(func() { s.client(fmt.Sprintf("s%d-c%d", seed, c), rand.New(rand.NewPCG(seed, uint64(c)+1)), stop) })
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.injectFault()
		time.Sleep(time.Duration(100+s.rng.IntN(600)) * time.Millisecond) // interval between faults
	}
	s.mu.Lock()
	for _, n := range s.nodes {
		n.links.set(up)
	}
	s.mu.Unlock()
	close(stop)
	clients.Wait()
	for i, n := range s.nodes {
		testkit.Eventually(t, "a node serves requests again", func() bool {
			code, _, err := s.call(n, "POST", "/text/x", fmt.Sprintf("after%d-%d", seed, i))
			return err == nil && code == http.StatusOK
		})
	}
	s.violations = append(s.violations, s.fleet.Violations()...)
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	t.Logf("%d served", s.served)
	is.Equal(s.violations, nil)
	is.True(s.served > 0)
	for _, n := range s.leaving {
		<-n.done
	}
}

// injectFault injects one random fault.
func (s *soak) injectFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	kind := s.rng.IntN(12)
	s.faults = append(s.faults, fmt.Sprintf("%s kind %d at %s", time.Now().Format(time.TimeOnly), kind, n.vm))
	switch kind {
	case 0, 1, 2, 3: // the links of a node change
		n.links.set(mode(s.rng.IntN(int(modes))), s.someEndpoints()...)
	case 4: // the links of a zone change
		m := mode(s.rng.IntN(int(modes)))
		for _, o := range s.nodes {
			if o.zone == n.zone {
				o.links.set(m)
			}
		}
	case 5, 6, 7: // links return
		n.links.set(up)
	case 8: // a node shuts down, another one starts in its zone
		s.replace(n)
	case 9: // an endpoint pauses for a second
		s.pauseEndpoint()
	case 10: // a member of a group crashes, a new engine is added
		if heads := s.fleet.OpenHeads("m"); len(heads) > 2 {
			members := heads[s.rng.IntN(len(heads))].Members()
			s.fleet.Get(members[s.rng.IntN(len(members))]).Kill()
			s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rng.Uint64()), "engines", "a", "d0")
		}
	case 11:
		s.writeNextDocument()
	}
}

// someEndpoints returns the addresses of a random part of the endpoints, mostly of none.
func (s *soak) someEndpoints() []string {
	if s.rng.IntN(3) > 0 {
		return nil
	}
	var out []string
	for _, e := range s.fleet.All() {
		if s.rng.IntN(2) == 0 {
			out = append(out, e.Addr)
		}
	}
	return out
}

// replace shuts a node down and starts another one in its zone.
func (s *soak) replace(n *node) {
	n.stop()
	s.leaving = append(s.leaving, n)
	s.startNode(n.vm, n.zone)
	s.nodes = slices.DeleteFunc(s.nodes, func(o *node) bool { return o == n })
}

// pauseEndpoint holds back all bytes from and to one endpoint for a second. Links that are
// otherwise cut stay so.
func (s *soak) pauseEndpoint() {
	all := s.fleet.All()
	paused := all[s.rng.IntN(len(all))]
	var others []string
	for _, e := range all {
		if e != paused {
			others = append(others, e.Addr)
		}
	}
	var whole []*node
	for _, n := range s.nodes {
		if m, _ := n.links.stateFor(paused.Addr); m == up {
			n.links.set(hang, others...)
			whole = append(whole, n)
		}
	}
	time.AfterFunc(time.Second, func() {
		for _, n := range whole {
			if m, _ := n.links.stateFor(paused.Addr); m == hang {
				n.links.set(up)
			}
		}
	})
}

// client sends random sequential requests until stop is closed, and checks the responses.
func (s *soak) client(name string, rnd *rand.Rand, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		s.mu.Lock()
		n := s.nodes[rnd.IntN(len(s.nodes))]
		s.mu.Unlock()
		id := fmt.Sprintf("%s-%d", name, i)
		switch rnd.IntN(3) {
		case 0:
			code, body, err := s.call(n, "POST", "/text/x", id)
			s.check(id, code, body, err, 3, func() bool { return isEventsInOrder(body, 10) || err != nil && isEventsInOrder(body, -1) })
		case 1:
			code, body, err := s.call(n, "POST", "/receipt/"+id, id)
			s.check(id, code, body, err, 1, func() bool { return err != nil || strings.Contains(body, "/receipt/"+id) })
		case 2:
			code, body, err := s.call(n, "GET", "/lookup/"+id, id)
			s.check(id, code, body, err, 3, func() bool { return err != nil || strings.Contains(body, "/lookup/"+id) })
		}
	}
}

// check checks a response and the number of runs of its request.
func (s *soak) check(id string, code int, body string, err error, maxRuns int, isOwn func() bool) {
	runs := s.fleet.Runs(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	record := func(format string, args ...any) { s.violations = append(s.violations, fmt.Sprintf(format, args...)) }
	if len(runs) > maxRuns {
		record("%s ran at %v", id, runs)
	}
	if err == nil && code == http.StatusServiceUnavailable && len(runs) > 0 {
		record("%s was refused and ran at %v", id, runs)
	}
	if strings.Contains(body, "quarantined") {
		record("%s was quarantined", id)
	}
	if code == http.StatusOK && !isOwn() {
		record("%s got %q, err %v", id, body, err)
	}
	if err == nil && code == http.StatusOK {
		s.served++
	}
}

// isEventsInOrder reports whether a stream has the given number of events, each once and in order;
// -1: any number.
func isEventsInOrder(body string, want int) bool {
	count := 0
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			count++
			if strings.TrimSpace(id) != fmt.Sprint(count) {
				return false
			}
		}
	}
	return want < 0 || count == want
}
