package test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/platform/platformtest"
)

const (
	// hotShare is the share of new connections that the load balancer sends to the hot node.
	hotShare = 0.9
	// streamEvery makes one in so many requests a stream.
	streamEvery    = 20
	lookupDeadline = time.Second
	streamDeadline = 5 * time.Second
	// hotNodes is the number of nodes of the fleet.
	hotNodes = 6
	// phase is how long a load lasts.
	phase = 4 * time.Second
)

// cpuQuota is the part of each period in which a process runs; it is stopped for the rest.
type cpuQuota struct{ run, period time.Duration }

// finestQuota gives a fifth of a core in slices of 2 ms, coarseQuota the same in slices of 20 ms.
var (
	finestQuota = cpuQuota{run: 2 * time.Millisecond, period: 10 * time.Millisecond}
	coarseQuota = cpuQuota{run: 20 * time.Millisecond, period: 100 * time.Millisecond}
)

// impose stops and continues the process until the returned function is called.
func (q cpuQuota) impose(t *testing.T, p *process) (lift func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
			}
			_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails only if the process has exited
			time.Sleep(q.period - q.run)              // stopped
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(q.run) // running
		}
	}()
	return func() { close(done); <-ended }
}

// tryOutcome is how a try of a request ended at the first node.
type tryOutcome int

const (
	trySucceeded  tryOutcome = iota
	tryRefused               // answered with another status
	tryLate                  // not answered within the deadline
	tryTurnedAway            // the connection was closed before anything was answered
)

// tries counts outcomes.
type tries [4]int

func (o tries) read() int { return o[trySucceeded] + o[tryRefused] + o[tryLate] }

func (o tries) String() string {
	return fmt.Sprintf("%d served, %d refused, %d late, %d turned away", o[trySucceeded], o[tryRefused], o[tryLate], o[tryTurnedAway])
}

// skewedLoad sends requests at a constant rate, each on a new connection, and counts what became of
// them. A request whose connection was turned away goes to another node at once.
type skewedLoad struct {
	*entryFleet
	hot *entryNode

	mu      sync.Mutex
	atHot   tries
	others  tries
	lost    int // requests that were served by no node within their deadline
	sent    int
	reasons map[string]int // of refusals by the hot node
	nextID  int
	name    string
}

// run sends rate requests a second for the duration, share of them to the hot node, and returns what
// became of those sent in it.
func (l *skewedLoad) run(rate int, share float64, duration time.Duration) skewedCounts {
	l.mu.Lock()
	l.atHot, l.others, l.lost, l.sent, l.reasons = tries{}, tries{}, 0, 0, map[string]int{}
	l.mu.Unlock()
	var requests sync.WaitGroup
	began := time.Now()
	for sent := 0; ; {
		elapsed := time.Since(began)
		if elapsed >= duration {
			break
		}
		for ; sent < int(elapsed.Seconds()*float64(rate)); sent++ {
			node := l.hot
			if rand.Float64() >= share {
				node = l.nodes[1+rand.IntN(len(l.nodes)-1)]
			}
			l.nextID++
			id := fmt.Sprintf("%s-%d", l.name, l.nextID)
			isStream := l.nextID%streamEvery == 0
			requests.Go(func() { l.request(node, id, isStream) })
		}
		time.Sleep(time.Millisecond) // paces the load, which does not wait for answers
	}
	requests.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return skewedCounts{l.atHot, l.others, l.lost, l.sent, l.reasons}
}

// skewedCounts are the results of one run of a skewedLoad.
type skewedCounts struct {
	atHot, others tries
	lost, sent    int
	reasons       map[string]int
}

func (c skewedCounts) String() string {
	return fmt.Sprintf("%d sent, %d lost; hot node: %v %v; others: %v", c.sent, c.lost, c.atHot, c.reasons, c.others)
}

// request sends a request, and once more to another node if the connection is turned away.
func (l *skewedLoad) request(node *entryNode, id string, isStream bool) {
	deadline := lookupDeadline
	if isStream {
		deadline = streamDeadline
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	outcome, reason := l.try(ctx, node, id, isStream, deadline)
	final := outcome
	if outcome == tryTurnedAway {
		second := l.nodes[1+rand.IntN(len(l.nodes)-1)]
		left, _ := ctx.Deadline()
		final, reason = l.try(ctx, second, id+"-2", isStream, time.Until(left))
		if final != trySucceeded {
			reason = fmt.Sprint("second try: ", final, reason)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if node == l.hot {
		l.atHot[outcome]++
		if reason != "" {
			l.reasons[reason]++
		}
	} else {
		l.others[outcome]++
	}
	if final != trySucceeded {
		l.lost++
	}
}

// try makes one attempt on a new connection.
func (l *skewedLoad) try(ctx context.Context, node *entryNode, id string, isStream bool, left time.Duration) (outcome tryOutcome, reason string) {
	method, path, header := "GET", "/lookup/"+id, map[string]string{}
	if isStream {
		method, path, header = "POST", "/text/x", textHeader(70)
	}
	header["X-Deadline-Ms"] = fmt.Sprint(left.Milliseconds())
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(l.entryFleet.request(ctx, node, method, path, id, "", header))
	var body []byte
	if err == nil {
		defer resp.Body.Close()
		body, err = io.ReadAll(resp.Body)
	}
	var netErr net.Error
	switch {
	case err == nil && resp.StatusCode == http.StatusOK:
		return trySucceeded, ""
	case err == nil:
		return tryRefused, fmt.Sprint(path[:6], resp.StatusCode, " ", refusalMessage(body))
	case ctx.Err() != nil, errors.As(err, &netErr) && netErr.Timeout():
		return tryLate, ""
	}
	return tryTurnedAway, ""
}

// startSkewedLoad starts a fleet whose first node is the hot one.
func startSkewedLoad(t *testing.T) *skewedLoad {
	t.Setenv("GOMAXPROCS", "1") // of the nodes; the test's own is set already
	zones := make([]string, hotNodes)
	for i := range zones {
		zones[i] = []string{"a", "b"}[i%2]
	}
	f := startEntryFleetWithin(t, tightRetryLimit, "", func(*platformtest.Store) {}, zones...)
	return &skewedLoad{entryFleet: f, hot: f.nodes[0], name: "hot"}
}

// Guards against requests that a node reads and doesn't serve while the load balancer sends most new
// connections to it, against more repeats than the limit, and against faults that outlast the skew.
func TestEntryHotNodeServesWhatItReads(t *testing.T) {
	for _, quota := range []cpuQuota{finestQuota, coarseQuota} {
		t.Run(quota.period.String(), func(t *testing.T) {
			is := is.NewRelaxed(t)
			l := startSkewedLoad(t)
			defer quota.impose(t, l.hot.process)()
			c := l.run(1800, hotShare, phase)
			t.Log(c)
			is.True(float64(c.atHot[trySucceeded]) >= 0.9*float64(c.atHot.read()))
			is.True(float64(c.others[trySucceeded]) >= 0.9*float64(c.others.read()))
			l.run(450, 1.0/hotNodes, 2*time.Second)
			c = l.run(450, 1.0/hotNodes, phase)
			t.Logf("evenly again: %v", c)
			is.True(float64(c.atHot[trySucceeded]) >= 0.95*float64(c.atHot.read()))
			for _, service := range []string{"plain", "engines"} {
				text, exceeded := l.fleet.MostRepeats(service, tightRetryLimit)
				t.Log(text)
				is.True(!exceeded)
			}
		})
	}
}

// Guards against a node that collapses when the load balancer sends most new connections to it: it
// read them all, spent its time on requests that were late already and took the delay for that of
// the endpoints.
func TestEntryHotNodeServesWhatItBears(t *testing.T) {
	for _, quota := range []cpuQuota{finestQuota, coarseQuota} {
		t.Run(quota.period.String(), func(t *testing.T) {
			is := is.NewRelaxed(t)
			l := startSkewedLoad(t)
			defer quota.impose(t, l.hot.process)()
			var best float64
			for _, rate := range []int{450, 900, 1800} {
				cpu := cpuTime(t, l.hot.process)
				c := l.run(rate, hotShare, phase)
				cpu = cpuTime(t, l.hot.process) - cpu
				goodput := float64(c.atHot[trySucceeded]) / phase.Seconds()
				best = max(best, goodput)
				t.Logf("%d/s: goodput %.0f/s with %v of processor time; %v", rate, goodput, cpu, c)
				is.True(goodput >= 0.9*best)                     // more load costs no throughput
				is.True(float64(c.lost) <= 0.02*float64(c.sent)) // the others serve the rest
			}
			l.run(450, 1.0/hotNodes, 2*time.Second)
			c := l.run(450, 1.0/hotNodes, phase)
			t.Logf("evenly again: %v", c)
			is.True(float64(c.lost) <= 0.02*float64(c.sent))
		})
	}
}

// refusalMessage returns the message of a refusal.
func refusalMessage(body []byte) string {
	var refusal struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil {
		return string(body)
	}
	return refusal.Error.Message
}

// cpuTime returns the processor time that a process has used.
func cpuTime(t *testing.T, p *process) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	must(t, err)
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	const (
		userTime, systemTime = 11, 12 // after the name
		tick                 = 10 * time.Millisecond
	)
	var sum time.Duration
	for _, i := range []int{userTime, systemTime} {
		n, err := strconv.Atoi(fields[i])
		must(t, err)
		sum += time.Duration(n) * tick
	}
	return sum
}
