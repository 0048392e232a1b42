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
	soakSeeds = flag.Int("soak.seeds", 1, "number of consecutive seeds that TestEntrySoak runs")
	soakTime  = flag.Duration("soak.time", 8*time.Second, "duration of fault injection per seed")
)

// soak is a fleet under fault injection with clients that send requests
// throughout.
type soak struct {
	*entryFleet
	rng       *rand.Rand          // for the faults
	hasRanks  bool                // streams differ in rank
	kills     *rand.Rand          // for kills in series; nil: none
	skew      *rand.Rand          // for most new connections at one node; nil: none
	irregular *irregularEndpoints // plain endpoints that respond irregularly; nil: none
	noLinks   *entryNode          // reaches no endpoint itself; nil: none
	bursts    sync.WaitGroup

	mu         sync.Mutex
	faults     []string
	violations []string
	served     int
}

// TestEntrySoak injects random, overlapping faults while clients send requests.
// Engines crash, leave and are added; nodes are killed, paused, terminated and
// restarted. The store is down, loses responses or its history, or is restored
// from an older copy. Endpoints lose responses, set a rate limit, ask for a
// pause or announce that they are leaving; keys change. Harmful requests crash
// the endpoints that run them, before the first event or after some, every time
// or every other time, or whatever their body for a part of their prompts. Throughout: streams contain each event once and in
// order, receipts run at most once, refused requests did not run, no group
// opens without its members, no engine joins a second serving group, none of
// the other requests is quarantined although their streams all have the same
// body, and endpoints get no more than their pressure signals allow. Afterwards
// requests are served again and a harmful request reaches no more endpoints
// than allowed.
func TestEntrySoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed, "") })
	}
}

// TestEntrySoakWithRanks does the same where streams differ in rank, so that rank and expected
// times decide. In addition, the least urgent streams come in bursts and engines become slow.
func TestEntrySoakWithRanks(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runSoak(t, seed, batchRoute) })
	}
}

// tightRetryLimit leaves three nodes few repeats beside those of the ratio.
var tightRetryLimit = platformtest.RetryLimit{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}

// TestEntrySoakWithKillsInSeries does the same where plain endpoints refuse most requests and nodes
// are killed several times within a window of the limit of repeats, which all processes together
// must keep to.
func TestEntrySoakWithKillsInSeries(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			s := &soak{
				entryFleet: startEntryFleetWithin(t, tightRetryLimit, "", (*platformtest.Store).SendEras, "a", "a", "b"),
				rng:        rand.New(rand.NewPCG(seed, 0)), kills: rand.New(rand.NewPCG(seed, 1000)),
			}
			s.run(seed)
			for _, service := range []string{"plain", "engines"} {
				text, exceeded := s.fleet.MostRepeats(service, tightRetryLimit)
				t.Log(text)
				if exceeded {
					t.Error(text)
				}
			}
		})
	}
}

// batchRoute is a route of streams that are less urgent than those of /text/.
const batchRoute = `,
 {"name":"batch","host":"h.example","prefix":"/batch/","type":"stream","timeout_ms":20000,"target_latency_ms":2000,
  "service":"engines","max_attempts":3,"resumable":true,"gap_aim_ms":1000,"priority":2}`

// Guards against a body that all clients send and that is quarantined in the first seconds of a
// fleet, because two harmful requests crash the engines that run it.
func TestSoakQuarantinesCommonBodyOfNewFleet(t *testing.T) { runSoak(t, 3008, "") }

// runSoak runs the soak test with one seed and the given routes beside the usual ones.
func runSoak(t *testing.T, seed uint64, furtherRoutes string) {
	s := &soak{
		entryFleet: startEntryFleetWith(t, furtherRoutes, (*platformtest.Store).SendEras, "a", "a", "b"),
		rng:        rand.New(rand.NewPCG(seed, 0)), hasRanks: furtherRoutes != "",
	}
	s.run(seed)
}

// run injects faults, then checks what clients and endpoints have seen.
func (s *soak) run(seed uint64) {
	t, is := s.t, is.New(s.t)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.client(fmt.Sprintf("s%d-c%d", seed, c), rand.New(rand.NewPCG(seed, uint64(c)+1)), stop)
		}()
	}
	if s.kills != nil {
		for c := range 12 {
			clients.Go(func() { s.lookUp(fmt.Sprintf("s%d-l%d", seed, c), requestInterval, stop) })
		}
	}
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.injectFault()
		if s.hasRanks {
			s.injectLoad(seed)
		}
		if s.kills != nil {
			s.injectKills()
		}
		if s.skew != nil {
			s.injectSkew(seed)
		}
		if s.irregular != nil {
			s.injectIrregularResponses()
		}
		time.Sleep(time.Duration(100+s.rng.IntN(500)) * time.Millisecond) // interval between faults
	}
	s.clearFaults()
	close(stop)
	clients.Wait()
	s.bursts.Wait()
	for i, n := range s.nodes {
		if s.hasExited(n) {
			continue
		}
		testkit.Eventually(t, "a node serves requests again", func() bool {
			code, _, err := s.sendAndRead(n, "POST", "/text/x", fmt.Sprintf("after%d-%d", seed, i), textHeader(70))
			return err == nil && code == http.StatusOK
		})
	}
	s.checkHarmfulRequest(rand.New(rand.NewPCG(seed, 99)))
	s.violations = append(s.violations, s.fleet.Violations()...)
	for _, e := range s.fleet.All() {
		for _, b := range e.Pressure.Violations() {
			s.recordViolation("%s: pressure signal violated: %s", e.ID, b)
		}
	}
	if len(s.violations) > 0 {
		t.Logf("faults:\n%s", strings.Join(s.faults, "\n"))
	}
	is.Equal(s.violations, nil)
	is.True(s.served > 0)
}

// injectFault injects one random fault.
func (s *soak) injectFault() {
	engines := s.fleet.OpenHeads("m")
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	kind := s.rng.IntN(15)
	s.faults = append(s.faults, fmt.Sprintf("%s kind %d at %s", time.Now().Format(time.TimeOnly), kind, n.name))
	switch kind {
	case 0: // a member of a serving group crashes, a new engine is added
		if len(engines) > 0 {
			members := engines[s.rng.IntN(len(engines))].Members()
			s.fleet.Get(members[s.rng.IntN(len(members))]).Kill()
			s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rng.Uint64()), "engines", "a", "d0")
		}
	case 1: // a member drains, a new engine is added
		if len(engines) > 0 {
			members := engines[s.rng.IntN(len(engines))].Members()
			s.fleet.Get(members[len(members)-1]).Drain()
			s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rng.Uint64()), "engines", "a", "d0")
		}
	case 2:
		s.restart(n, syscall.SIGKILL)
	case 3:
		s.restart(n, syscall.SIGTERM)
	case 4, 5:
		s.signal(n, syscall.SIGSTOP)
		time.Sleep(time.Duration(s.rng.IntN(2500)) * time.Millisecond) // length of the pause
		s.resume(n)
	case 6:
		s.store.SetDown(s.rng.IntN(2) == 0)
	case 7:
		s.store.LoseTxResponses(s.rng.IntN(2) == 0)
	case 8:
		s.store.DropHistory()
	case 9: // a plain endpoint loses the responses of requests that it ran
		id := []string{"i-p0", "i-p1"}[s.rng.IntN(2)]
		e := s.fleet.Get(id)
		if s.rng.IntN(2) == 0 {
			s.faults = append(s.faults, id+" responds again")
			e.SetHandler(nil)
			break
		}
		s.faults = append(s.faults, id+" loses its responses")
		e.SetHandler(func(_ http.ResponseWriter, r *http.Request) {
			s.fleet.RecordRun(r.Header.Get("X-Request-Id"), id)
			panic(http.ErrAbortHandler)
		})
	case 10:
		s.signal(n, syscall.SIGHUP)
		s.writeNextDocument()
	case 12:
		s.restoreStore()
	case 13, 14:
		s.setRandomPressure()
	case 11:
		h := s.addHarmfulRequest(s.rng)
		for i := range 4 {
			s.sendHarmfulRequest(s.nodes[s.rng.IntN(len(s.nodes))], fmt.Sprintf("%s-%d", h.name, i), h)
		}
	}
}

// injectKills ends most nodes up to three times in series and pauses others meanwhile, while the
// plain endpoints refuse most requests.
func (s *soak) injectKills() {
	for _, id := range []string{"i-p0", "i-p1"} {
		s.fleet.Get(id).SetHandler(refuseMost)
	}
	for range 1 + s.kills.IntN(3) {
		s.mu.Lock()
		nodes := slices.Clone(s.nodes)
		s.mu.Unlock()
		s.kills.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		ended := s.kills.IntN(len(nodes))
		for _, n := range nodes[ended:] {
			sig := syscall.SIGKILL
			if s.kills.IntN(4) == 0 {
				sig = syscall.SIGTERM
			}
			s.faults = append(s.faults, fmt.Sprintf("%s %v of %s in series", time.Now().Format(time.TimeOnly), sig, n.name))
			s.restart(n, sig)
		}
		for _, n := range nodes[:ended] {
			s.faults = append(s.faults, fmt.Sprintf("%s pause of %s in series", time.Now().Format(time.TimeOnly), n.name))
			s.signal(n, syscall.SIGSTOP)
		}
		time.Sleep(time.Duration(300+s.kills.IntN(900)) * time.Millisecond) // life of the processes
		for _, n := range nodes[:ended] {
			s.resume(n)
		}
	}
}

// resume lets a paused node go on. What endpoints asked of it before the pause no longer counts.
func (s *soak) resume(n *entryNode) {
	for _, e := range s.fleet.All() {
		e.Pressure.ForgetCaller(callerID(n))
	}
	s.signal(n, syscall.SIGCONT)
}

// refuseMost refuses all requests but those of every eighth request id, by its last character.
func refuseMost(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id != "" && id[len(id)-1]%8 == 0 {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Server-Stamp", "stamp")
		_, _ = io.WriteString(w, r.URL.Path) // the caller may have disconnected
		return
	}
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// injectLoad makes a random engine slow or usual again, or sends a burst of the least urgent streams.
func (s *soak) injectLoad(seed uint64) {
	const burst = 16 // as many as the slots of the two groups
	switch s.rng.IntN(4) {
	case 0:
		if heads := s.fleet.OpenHeads("m"); len(heads) > 0 {
			factor := []float64{1, 4, 12}[s.rng.IntN(3)]
			e := heads[s.rng.IntN(len(heads))]
			s.faults = append(s.faults, fmt.Sprintf("%s has pace %v", e.ID, factor))
			e.SetPace(factor)
		}
	case 1:
		n := s.nodes[s.rng.IntN(len(s.nodes))]
		number := s.rng.Uint64()
		s.faults = append(s.faults, "burst at "+n.name)
		for i := range burst {
			s.bursts.Add(1)
			go func() {
				defer s.bursts.Done()
				s.checkStreamOf(n, "/batch/x", fmt.Sprintf("%s.s%d-burst%d-%d", callerID(n), seed, number, i), 1+i*3)
			}()
		}
	}
}

// restoreStore restores the store from a copy up to 3 s old. The endpoints and
// the operator then write their lost records again, in random order; the nodes
// detect the loss themselves.
func (s *soak) restoreStore() {
	s.store.SaveCopy()
	time.Sleep(time.Duration(s.rng.IntN(3000)) * time.Millisecond) // age of the copy
	s.store.Restore()
	pause := func() { time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond) } // delay until the loss is noticed
	if s.rng.IntN(2) == 0 {
		pause()
		s.rewriteDocument()
		pause()
		s.fleet.RegisterAll()
		return
	}
	pause()
	s.fleet.RegisterAll()
	pause()
	s.rewriteDocument()
}

// setRandomPressure has an endpoint send a random pressure signal, or none.
func (s *soak) setRandomPressure() {
	heads := s.fleet.OpenHeads("m")
	endpoints := append(slices.Clone(heads), s.fleet.Get("i-p0"), s.fleet.Get("i-p1"))
	i := s.rng.IntN(len(endpoints))
	if s.irregular != nil && i >= len(heads) {
		return // irregularEndpoints sends no signals
	}
	signals := []pressure.Signals{{}, {Limit: 0.1 + 4*s.rng.Float64()}, {RetryAfter: time.Duration(500+s.rng.IntN(2500)) * time.Millisecond}, {Leaving: true}}
	w := signals[s.rng.IntN(len(signals))]
	if w.Leaving { // permanent, so only engines leave, and a new one is added
		if i >= len(endpoints)-2 {
			return
		}
		s.fleet.AddEngine(fmt.Sprintf("i-n%d", s.rng.Uint64()), "engines", "a", "d0")
	}
	s.faults = append(s.faults, fmt.Sprintf("%s sends pressure signals %+v", endpoints[i].ID, w))
	endpoints[i].Pressure.SetSignals(w)
}

// callerID identifies a node's process to the endpoints: clients put it at the
// start of the ids of the requests that they send through this node.
func callerID(n *entryNode) string { return strings.NewReplacer(".", "_", ":", "_").Replace(n.front) }

// harmfulRequest is a request body that crashes the engines that run it, or a part
// of the prompt that does so whatever the body.
type harmfulRequest struct {
	name   string // the body, or the part's ID
	isPart bool
}

// sharedPart is the first part of the prompts of all streams.
const sharedPart = "aa"

// addHarmfulRequest registers a new request body, or a new part of the prompt, that
// crashes the engines that run it.
func (s *soak) addHarmfulRequest(rnd *rand.Rand) harmfulRequest {
	n := rnd.Uint64()
	p := platformtest.PoisonRequest{
		EventsBeforeCrash: rnd.IntN(3), RunsPerCrash: 1 + rnd.IntN(2), ReplacementDelay: time.Duration(100+rnd.IntN(700)) * time.Millisecond,
	}
	h := harmfulRequest{fmt.Sprintf("crash%d", n), false}
	p.Body = h.name
	if n%2 == 0 {
		h = harmfulRequest{fmt.Sprintf("bad%x", n), true}
		p.Body, p.Part, p.RunsPerCrash = "", h.name, 1
	}
	s.fleet.AddPoisonRequest(p)
	return h
}

// sendHarmfulRequest sends a harmful request and checks that a refused one did not
// run. Requests with a harmful part differ in all else.
func (s *soak) sendHarmfulRequest(n *entryNode, id string, h harmfulRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	body, header := h.name, textHeader(70)
	if h.isPart {
		body = id
		header["X-Prompt-Prefix"] = fmt.Sprintf("%s:40,%s:10,%s:500", sharedPart, h.name, id)
	}
	resp, err := http.DefaultClient.Do(s.request(ctx, n, "POST", "/text/x", id, body, header))
	if err != nil {
		return // the node may have exited
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // an interrupted stream is an expected response
	if resp.StatusCode == http.StatusServiceUnavailable && len(s.fleet.Runs(id)) > 0 {
		s.recordViolation("%s was refused by %s but ran at %v", id, n.name, s.fleet.Runs(id))
	}
}

// checkHarmfulRequest sends a harmful request to nodes that are connected again
// and checks that it reaches no more endpoints than allowed.
func (s *soak) checkHarmfulRequest(rnd *rand.Rand) {
	h := s.addHarmfulRequest(rnd)
	for i := range harmfulAttempts {
		for k := range 2 { // engines crash and restart meanwhile
			n := s.nodes[rnd.IntN(len(s.nodes))]
			if !s.hasExited(n) {
				s.sendHarmfulRequest(n, fmt.Sprintf("%s-%d-%d", h.name, i, k), h)
			}
		}
		time.Sleep(endpointRestartDelay) // interval between client retries
	}
	most := quarantineThreshold + quarantineOvershoot
	if h.isPart {
		most = partThreshold + partOvershoot
	}
	if ended := s.fleet.Crashed(h.name); len(ended) > most {
		s.recordViolation("%s crashed %d endpoints: %v", h.name, len(ended), ended)
	}
}

// signal sends a signal to a node unless it has exited.
func (s *soak) signal(n *entryNode, sig syscall.Signal) {
	if !s.hasExited(n) {
		_ = n.cmd.Process.Signal(sig) // the process may exit in between
	}
}

// hasExited reports whether the node's process has ended.
func (s *soak) hasExited(n *entryNode) bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// restart sends a terminating signal to a node and starts a replacement with
// the same name and zone.
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

// clearFaults clears the faults of the store and the endpoints and resumes
// paused nodes.
func (s *soak) clearFaults() {
	s.store.SetDown(false)
	s.store.LoseTxResponses(false)
	for _, id := range []string{"i-p0", "i-p1"} {
		s.fleet.Get(id).SetHandler(nil)
	}
	for _, e := range s.fleet.All() {
		e.Pressure.SetSignals(pressure.Signals{})
		e.SetPace(1)
	}
	for _, n := range s.nodes {
		s.signal(n, syscall.SIGCONT)
	}
}

// sendAndRead sends a request and returns the status and the body of the
// response.
func (s *soak) sendAndRead(n *entryNode, method, path, id string, header map[string]string) (int, string, error) {
	resp, err := s.send(n, method, path, id, header)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// client sends random sequential requests until stop is closed, and checks the
// responses.
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
		kinds := 3
		if s.irregular != nil {
			kinds = 5
			if rnd.IntN(3) == 0 {
				n = s.noLinks
			}
		}
		id := fmt.Sprintf("%s.%s-%d", callerID(n), name, i)
		switch rnd.IntN(kinds) {
		case 0:
			s.checkStream(n, id, 1+rnd.IntN(60))
		case 1:
			s.checkCall(n, "POST", "/receipt/"+id, id, 1)
		case 2:
			s.checkCall(n, "GET", "/lookup/"+id, id, 3)
		case 3:
			s.checkPlainStream(n, "/draft/", id, 1)
		case 4:
			s.checkPlainStream(n, "/note/", id, 3)
		}
	}
}

// lookUp sends lookups to one node after the other until stop is closed.
func (s *soak) lookUp(name string, interval time.Duration, stop <-chan struct{}) {
	pause := time.NewTicker(interval)
	defer pause.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-pause.C:
		}
		s.mu.Lock()
		n := s.nodes[i%len(s.nodes)]
		s.mu.Unlock()
		id := fmt.Sprintf("%s.%s-%d", callerID(n), name, i)
		s.checkCall(n, "GET", "/lookup/"+id, id, 3)
	}
}

// checkStream requests a stream of the given number of events and checks the
// events that arrive.
func (s *soak) checkStream(n *entryNode, id string, events int) {
	s.checkStreamOf(n, "/text/x", id, events)
}

// checkStreamOf does the same for a path.
func (s *soak) checkStreamOf(n *entryNode, path, id string, events int) {
	header := textHeader(events * 7)
	header["X-Prompt-Prefix"] = sharedPart + ":40," + id + ":60"
	code, body, err := s.sendAndRead(n, "POST", path, id, header)
	if strings.Contains(body, "quarantined") {
		s.recordViolation("stream %s was quarantined: %s", id, body)
	}
	got := eventIDs(body)
	switch {
	case err == nil && code == http.StatusOK && !slices.Equal(got, wantEventIDs(events)):
		s.recordViolation("stream %s ended without error with events %v of %d", id, got, events)
	case code == http.StatusOK && !slices.Equal(got, wantEventIDs(len(got))):
		s.recordViolation("stream %s has events %v", id, got)
	}
	s.recordAnswer(n, id, code, err)
}

// checkCall sends a request to a plain service and checks that it ran at most
// maxRuns times and got its own response.
func (s *soak) checkCall(n *entryNode, method, path, id string, maxRuns int) {
	code, body, err := s.sendAndRead(n, method, path, id, nil)
	s.checkCallAnswer(n, path, id, maxRuns, code, body, err)
}

// checkCallAnswer checks the response to a request to a plain service.
func (s *soak) checkCallAnswer(n *entryNode, path, id string, maxRuns, code int, body string, err error) {
	if strings.Contains(body, "quarantined") {
		s.recordViolation("call %s was quarantined: %s", id, body)
	}
	if runs := s.fleet.Runs(id); len(runs) > maxRuns {
		s.recordViolation("%s ran at %v", id, runs)
	}
	if err == nil && code == http.StatusOK && !strings.Contains(body, path) {
		s.recordViolation("%s got the response of another request: %q", id, body)
	}
	if err == nil && code == http.StatusOK && s.irregular != nil && s.irregular.isCut(path, body) {
		s.recordViolation("%s looks complete with %d bytes", id, len(body))
	}
	s.recordAnswer(n, id, code, err)
}

// recordAnswer checks that a refused request did not run, and counts served
// ones.
func (s *soak) recordAnswer(n *entryNode, id string, code int, err error) {
	if err == nil && code == http.StatusServiceUnavailable && len(s.fleet.Runs(id)) > 0 {
		s.recordViolation("%s was refused by %s but ran at %v", id, n.name, s.fleet.Runs(id))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && code == http.StatusOK {
		s.served++
	}
}

// recordViolation adds a violation for the report at the end of the test.
func (s *soak) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
