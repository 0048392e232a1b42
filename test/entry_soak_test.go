package test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/standin/pressure"
	"chervilloom/internal/testkit"
	"chervilloom/platform/platformtest"
)

var (
	soakSeed  = flag.Uint64("soak.seed", 1, "first seed of TestEntrySoak")
	soakSeeds = flag.Int("soak.seeds", 1, "seeds that TestEntrySoak runs, one after another")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "time that faults are injected for, a seed")
)

// soak is a fleet under faults, with clients that use it all the while.
type soak struct {
	*entryFleet
	rnd *rand.Rand // of the faults

	mu     sync.Mutex
	faults []string
	wrong  []string
	served int
}

// Faults of every kind come in series and overlap: engines die and arrive, leave
// in order; nodes are killed, paused, told to stop and start anew; the store is
// down, loses answers, forgets its history, comes back from an older copy; endpoints lose answers; keys change.
// Requests that end the endpoints that run them come, before their first event or after
// some, each time or every other time. Endpoints name a rate limit, ask for rest, or say that
// they leave. All the while: streams have each piece once and in
// order, receipts run once at most, what was refused has not run, no group opens without
// its members, no engine joins a second group that serves, and none of the requests beside
// is quarantined, all of whose streams have one and the same body; endpoints get no more than
// they told. Afterwards requests are
// served again, and one that ends endpoints reaches no more than it may.
func TestEntrySoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	s := &soak{entryFleet: startEntryFleetOn(t, (*platformtest.Store).TellEras, "a", "a", "b"), rnd: rand.New(rand.NewPCG(seed, 0))}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.client(fmt.Sprintf("s%d-c%d", seed, c), rand.New(rand.NewPCG(seed, uint64(c)+1)), stop)
		}()
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(100+s.rnd.IntN(500)) * time.Millisecond) // the pace of the faults
	}
	s.heal()
	close(stop)
	clients.Wait()
	for i, n := range s.nodes {
		if s.ended(n) {
			continue
		}
		testkit.Eventually(t, "a node serves again", func() bool {
			code, _, err := s.ask(n, "POST", "/text/x", fmt.Sprintf("after%d-%d", seed, i), textHeader(70))
			return err == nil && code == http.StatusOK
		})
	}
	s.checkHarm(rand.New(rand.NewPCG(seed, 99)))
	s.wrong = append(s.wrong, s.fleet.Broken()...)
	for _, e := range s.fleet.All() {
		for _, b := range e.Pressure.Broken() {
			s.fail("%s got %s", e.ID, b)
		}
	}
	if len(s.wrong) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	is.Equal(s.wrong, nil)
	is.True(s.served > 0)
}

// fault injects one fault.
func (s *soak) fault() {
	engines := s.fleet.Open("m")
	n := s.nodes[s.rnd.IntN(len(s.nodes))]
	kind := s.rnd.IntN(15)
	s.faults = append(s.faults, fmt.Sprintf("%s kind %d at %s", time.Now().Format(time.TimeOnly), kind, n.name))
	switch kind {
	case 0: // a member of a serving group dies, a new engine comes
		if len(engines) > 0 {
			members := engines[s.rnd.IntN(len(engines))].Members()
			s.fleet.Get(members[s.rnd.IntN(len(members))]).Kill()
			s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rnd.Uint64()), "engines", "a", "d0")
		}
	case 1: // a member leaves in order, a new engine comes
		if len(engines) > 0 {
			members := engines[s.rnd.IntN(len(engines))].Members()
			s.fleet.Get(members[len(members)-1]).Drain()
			s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rnd.Uint64()), "engines", "a", "d0")
		}
	case 2:
		s.restart(n, syscall.SIGKILL)
	case 3:
		s.restart(n, syscall.SIGTERM)
	case 4, 5:
		s.signal(n, syscall.SIGSTOP)
		time.Sleep(time.Duration(s.rnd.IntN(2500)) * time.Millisecond) // the pause
		for _, e := range s.fleet.All() {
			e.Pressure.Excuse(caller(n))
		}
		s.signal(n, syscall.SIGCONT)
	case 6:
		s.store.SetDown(s.rnd.IntN(2) == 0)
	case 7:
		s.store.LoseAnswers(s.rnd.IntN(2) == 0)
	case 8:
		s.store.ForgetHistory()
	case 9: // a plain endpoint loses the answers of what it ran
		id := []string{"i-p0", "i-p1"}[s.rnd.IntN(2)]
		e := s.fleet.Get(id)
		if s.rnd.IntN(2) == 0 {
			s.faults = append(s.faults, id+" answers")
			e.Mangle(nil)
			break
		}
		s.faults = append(s.faults, id+" loses its answers")
		e.Mangle(func(_ http.ResponseWriter, r *http.Request) {
			s.fleet.Ran(r.Header.Get("X-Request-Id"), id)
			panic(http.ErrAbortHandler)
		})
	case 10:
		s.signal(n, syscall.SIGHUP)
		s.configure()
	case 12:
		s.restore()
	case 13, 14:
		s.press()
	case 11:
		body := s.addHarm(s.rnd)
		for i := range 4 {
			s.sendHarm(s.nodes[s.rnd.IntN(len(s.nodes))], fmt.Sprintf("%s-%d", body, i), body)
		}
	}
}

// restore has the store come back from a copy up to 3 s old, with what nodes, endpoints and
// the operator wrote since gone; the latter two write it again in any order.
func (s *soak) restore() {
	s.store.Copy()
	time.Sleep(time.Duration(s.rnd.IntN(3000)) * time.Millisecond) // the copy's age
	s.store.Restore()
	pause := func() { time.Sleep(time.Duration(s.rnd.IntN(400)) * time.Millisecond) } // until they notice
	if s.rnd.IntN(2) == 0 {
		pause()
		s.rewrite()
		pause()
		s.fleet.RegisterAll()
		return
	}
	pause()
	s.fleet.RegisterAll()
	pause()
	s.rewrite()
}

// press has an endpoint say how much it takes, or nothing any more.
func (s *soak) press() {
	endpoints := append(s.fleet.Open("m"), s.fleet.Get("i-p0"), s.fleet.Get("i-p1"))
	i := s.rnd.IntN(len(endpoints))
	signals := []pressure.Signals{{}, {Limit: 0.1 + 4*s.rnd.Float64()}, {RetryAfter: time.Duration(500+s.rnd.IntN(2500)) * time.Millisecond}, {Leaving: true}}
	w := signals[s.rnd.IntN(len(signals))]
	if w.Leaving { // for good: an engine, and a new one comes
		if i >= len(endpoints)-2 {
			return
		}
		s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rnd.Uint64()), "engines", "a", "d0")
	}
	s.faults = append(s.faults, fmt.Sprintf("%s says %+v", endpoints[i].ID, w))
	endpoints[i].Pressure.Set(w)
}

// caller is how requests through a node are named to the endpoints: each of its processes by
// a name of its own.
func caller(n *entryNode) string { return strings.NewReplacer(".", "_", ":", "_").Replace(n.front) }

// addHarm lets another request end the engines that run it.
func (s *soak) addHarm(rnd *rand.Rand) (body string) {
	body = fmt.Sprintf("crash%d", rnd.Uint64())
	s.fleet.AddHarm(platformtest.Harm{
		Body: body, Events: rnd.IntN(3), Every: 1 + rnd.IntN(2), Back: time.Duration(100+rnd.IntN(700)) * time.Millisecond,
	})
	return body
}

// sendHarm is a client attempt with a request that ends engines.
func (s *soak) sendHarm(n *entryNode, id, body string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	resp, err := http.DefaultClient.Do(s.request(ctx, n, "POST", "/text/x", id, body, textHeader(70)))
	if err != nil {
		return // the node may be gone
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // a stream that breaks off is one of the answers
	if resp.StatusCode == http.StatusServiceUnavailable && len(s.fleet.Runs(id)) > 0 {
		s.fail("%s was refused by %s and ran at %v", id, n.name, s.fleet.Runs(id))
	}
}

// checkHarm sends a harmful request to nodes that are in touch again: it reaches no more
// endpoints than it may.
func (s *soak) checkHarm(rnd *rand.Rand) {
	body := s.addHarm(rnd)
	for i := range harmTries {
		for k := range 2 { // engines end and come back meanwhile
			n := s.nodes[rnd.IntN(len(s.nodes))]
			if !s.ended(n) {
				s.sendHarm(n, fmt.Sprintf("%s-%d-%d", body, i, k), body)
			}
		}
		time.Sleep(harmBack) // the pace of clients that come again
	}
	if ended := s.fleet.Ended(body); len(ended) > harmEnds+harmMore {
		s.fail("%d endpoints ended under one request: %v", len(ended), ended)
	}
}

func (s *soak) signal(n *entryNode, sig syscall.Signal) {
	if !s.ended(n) {
		_ = n.cmd.Process.Signal(sig) // it may end in between
	}
}

func (s *soak) ended(n *entryNode) bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// restart ends a node and starts another in its place.
func (s *soak) restart(n *entryNode, sig syscall.Signal) {
	s.signal(n, sig)
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.nodes, n)
	zone := "a"
	if strings.Contains(n.name, "-b-") {
		zone = "b"
	}
	s.startNode(n.name, zone)
	s.nodes[i] = s.nodes[len(s.nodes)-1]
	s.nodes = s.nodes[:len(s.nodes)-1]
}

func (s *soak) heal() {
	s.store.SetDown(false)
	s.store.LoseAnswers(false)
	for _, id := range []string{"i-p0", "i-p1"} {
		s.fleet.Get(id).Mangle(nil)
	}
	for _, e := range s.fleet.All() {
		e.Pressure.Set(pressure.Signals{})
	}
	for _, n := range s.nodes {
		s.signal(n, syscall.SIGCONT)
	}
}

func (s *soak) ask(n *entryNode, method, path, id string, header map[string]string) (int, string, error) {
	resp, err := s.send(n, method, path, id, header)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// client sends requests one after another and checks what it can see.
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
		id := fmt.Sprintf("%s.%s-%d", caller(n), name, i)
		switch rnd.IntN(3) {
		case 0:
			s.checkStream(n, id, 1+rnd.IntN(60))
		case 1:
			s.checkCall(n, "POST", "/receipt/"+id, id, 1)
		case 2:
			s.checkCall(n, "GET", "/lookup/"+id, id, 3)
		}
	}
}

func (s *soak) checkStream(n *entryNode, id string, events int) {
	code, body, err := s.ask(n, "POST", "/text/x", id, textHeader(events*7))
	if strings.Contains(body, "quarantined") {
		s.fail("stream %s is taken for harmful: %s", id, body)
	}
	got := pieces(body)
	switch {
	case err == nil && code == http.StatusOK && !slices.Equal(got, wantPieces(events)):
		s.fail("stream %s ended as whole with %v of %d", id, got, events)
	case code == http.StatusOK && !slices.Equal(got, wantPieces(len(got))):
		s.fail("stream %s has pieces %v", id, got)
	}
	s.count(n, id, code, err)
}

func (s *soak) checkCall(n *entryNode, method, path, id string, most int) {
	code, body, err := s.ask(n, method, path, id, nil)
	if strings.Contains(body, "quarantined") {
		s.fail("call %s is taken for harmful: %s", id, body)
	}
	if runs := s.fleet.Runs(id); len(runs) > most {
		s.fail("%s ran at %v", id, runs)
	}
	if err == nil && code == http.StatusOK && !strings.Contains(body, path) {
		s.fail("%s got the answer %q", id, body)
	}
	s.count(n, id, code, err)
}

// count checks what every answer promises.
func (s *soak) count(n *entryNode, id string, code int, err error) {
	if err == nil && code == http.StatusServiceUnavailable && len(s.fleet.Runs(id)) > 0 {
		s.fail("%s was refused by %s and ran at %v", id, n.name, s.fleet.Runs(id))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && code == http.StatusOK {
		s.served++
	}
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}
