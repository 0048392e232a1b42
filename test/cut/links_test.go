package cut

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/operator"
	"chervilloom/internal/outcome"
	standin "chervilloom/internal/standin/engine"
)

// The link fails in one direction: zoneA's node receives zoneB's datagrams, but
// its own are lost. Receipts of zoneB's callers are running at the service when
// the failure begins, and their responses are lost. Such a caller must get an
// unknown outcome, never "not run" and never a complete response. Repeats of a
// key through both nodes, during the failure and after it, must not run the
// receipt again.
func TestOneWayLinkFailure(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA}, tokensPerSec: 20})
	f.awaitReceiptRelayed("/receipts/warm") // establishes the link
	stream := f.startStream(f.b, "one way", 200)
	slow := f.service("ledger-a")
	setFaults(t, slow.addr, map[string]any{"slow": "3s"})

	const sent = 12
	calls := make([]callResult, sent)
	var work sync.WaitGroup
	for i := range calls {
		work.Go(func() {
			calls[i] = f.b.call(t.Context(), ledger, "POST", oneWayPath(i), receipt, oneWayHeader(i))
		})
	}
	f.awaitRunning(slow, sent)
	f.setBlockedDirections(true, false)
	work.Wait()
	setFaults(t, slow.addr, map[string]any{"slow": "0s"})
	ran, kindCounts := 0, map[outcome.Kind]int{}
	for i, a := range calls {
		kindCounts[a.kind]++
		ran += f.countReceiptRuns(oneWayPath(i))
		f.checkOutcome(oneWayPath(i), a)
		if a.isComplete() || a.outcome != outcome.Unknown {
			t.Errorf("%s reached the service and its response was lost, but the caller got %v", oneWayPath(i), a)
		}
	}
	if ran == 0 {
		t.Errorf("no receipt completed, so no response was lost: %v", calls)
	}
	interrupted := <-stream
	if err := checkChat(interrupted.body, interrupted.callResult); err != nil || interrupted.done || interrupted.outcome == outcome.NotRun {
		t.Errorf("a stream over the failed link must be reported as truncated: %v %v", err, interrupted.callResult)
	}

	f.checkKeyedRepeats(sent)
	f.awaitStatus(f.b, "does not see the other node as alive", func(s operator.Status) bool { return !seesAlive(s, f.a) })
	f.checkKeyedRepeats(sent)
	f.checkZoneServed(f.a, "one-way link failure")
	a := f.b.call(t.Context(), ledger, "POST", "/receipts/beyond", receipt, nil)
	if a.outcome != outcome.NotRun || f.countReceiptRuns("/receipts/beyond") != 0 {
		t.Errorf("a receipt that no link can carry ran %d times and got %v", f.countReceiptRuns("/receipts/beyond"), a)
	}
	f.reconnect()
	f.awaitConnected()
	f.checkKeyedRepeats(sent)
	t.Logf("%d of %d receipts ran at first; results %v", ran, sent, kindCounts)
}

func oneWayPath(i int) string { return fmt.Sprintf("/receipts/one-way/%d", i) }

// oneWayHeader gives every second receipt a key. Two of each four receipts have
// a deadline; the others end when the link failure is detected.
func oneWayHeader(i int) map[string]string {
	h := map[string]string{}
	if i%2 == 0 {
		h = keyHeader(oneWayPath(i))
	}
	if i%4 < 2 {
		h["Chervilloom-Deadline-Ms"] = "2000"
	}
	return h
}

// checkKeyedRepeats repeats the keyed receipts through both nodes, and checks
// that no receipt has run more than once.
func (f *testFleet) checkKeyedRepeats(sent int) {
	f.t.Helper()
	var work sync.WaitGroup
	for i := 0; i < sent; i += 2 {
		for _, n := range f.nodes() {
			work.Go(func() {
				f.checkOutcome(oneWayPath(i), n.call(f.t.Context(), ledger, "POST", oneWayPath(i), receipt, keyHeader(oneWayPath(i))))
			})
		}
	}
	work.Wait()
	for i := range sent {
		if runs := f.countReceiptRuns(oneWayPath(i)); runs > 1 {
			f.t.Errorf("%s ran %d times", oneWayPath(i), runs)
		}
	}
}

// checkOutcome compares the outcome of a receipt with the services' execution
// counts.
func (f *testFleet) checkOutcome(path string, a callResult) {
	f.t.Helper()
	runs := f.countReceiptRuns(path)
	switch {
	case a.outcome == "":
		f.t.Errorf("%s: response without outcome: %v", path, a)
	case a.outcome == outcome.Ran && runs == 0:
		f.t.Errorf("%s: reported as ran, never ran: %v", path, a)
	case a.outcome == outcome.NotRun && runs > 0:
		f.t.Errorf("%s: reported as not-run, ran %d times: %v", path, runs, a)
	case runs > 1:
		f.t.Errorf("%s: ran %d times: %v", path, runs, a)
	}
	if err := checkCall("POST", path, receipt, a); err != nil {
		f.t.Errorf("%s: %v", path, err)
	}
}

// streamResult is the response to a stream request, with the request's body.
type streamResult struct {
	callResult
	body string
}

// startStream requests a stream from a node and returns when its first tokens
// have arrived. The channel receives the result when the stream ends.
func (f *testFleet) startStream(n *node, prompt string, tokens int) <-chan streamResult {
	f.t.Helper()
	const firstTokens = 5
	s := streamResult{body: chatBody(f.t.Name()+" "+prompt, tokens, true)}
	begun, ended := make(chan struct{}), make(chan streamResult, 1)
	go func() {
		seen := 0
		s.callResult = n.chat(f.t.Context(), s.body, nil, func() {
			if seen++; seen == firstTokens {
				close(begun)
			}
		})
		ended <- s
	}()
	select {
	case <-begun:
	case s := <-ended:
		f.t.Fatalf("the stream ended before token %d: %v", firstTokens, s.callResult)
	case <-time.After(waitTimeout):
		f.t.Fatal("the stream did not begin")
	}
	return ended
}

// A caller of zoneB reads a stream of zoneA's group when the link between the
// nodes fails. The connection is not closed, it just becomes silent. The caller
// must get an error event and a broken connection, never an end marker. After
// the link recovers it resumes by the id of its last event and must get every
// token exactly once, because the engine keeps the stream.
func TestRelayedStreamInterruptedAndResumed(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA}, tokensPerSec: 20})
	stream := f.startStream(f.b, "resumed", 100)
	f.disconnect()
	s := <-stream
	if err := checkChat(s.body, s.callResult); err != nil {
		t.Fatal(err)
	}
	if s.done || s.kind != outcome.AnswerCut || s.outcome == outcome.NotRun || s.lastID == "" {
		t.Fatalf("a stream over a failed link must be reported as truncated, with an event id to resume from: %v, last id %q", s.callResult, s.lastID)
	}
	got := len(s.tokens)

	f.reconnect()
	f.awaitConnected()
	rest := f.resumeStream(f.b, s)
	all := strings.Join(append(s.tokens, rest.tokens...), "")
	if want := strings.Join(standin.ExpectedTokens([]byte(s.body)), ""); all != want {
		t.Errorf("%d tokens before the failure and %d after it make\n%q, want\n%q", got, len(rest.tokens), all, want)
	}
	t.Logf("%d tokens before the failure, %d after it", got, len(rest.tokens))
}

// resumeStream requests the rest of a stream, and retries while the request is
// refused as not run.
func (f *testFleet) resumeStream(n *node, s streamResult) callResult {
	f.t.Helper()
	var a callResult
	waitUntil(f.t, "the stream is resumed",
		func() bool {
			a = n.chat(f.t.Context(), s.body, map[string]string{"Last-Event-ID": s.lastID}, nil)
			return a.outcome != outcome.NotRun
		},
		func() string { return a.String() })
	if !a.done || a.err != nil || a.outcome != outcome.Ran {
		f.t.Fatalf("the rest of the stream is incomplete: %v", a)
	}
	return a
}

// All links between the nodes lose 15 % of the datagrams and delay each by
// 50 ms. Callers of zoneB request streams and receipts from zoneA's endpoints,
// and must get complete responses of their own: the transport recovers lost
// datagrams, and a slow link must not be treated as failed.
func TestLossyAndSlowLinks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA}, tokensPerSec: 100})
	for i, n := range f.nodes() {
		n.relay.Seed(uint64(i) + 1)
		n.relay.SetLoss(0.15)
		n.relay.SetDelay(50 * time.Millisecond)
	}
	const callersEach, rounds = 10, 3
	var work sync.WaitGroup
	for i := range callersEach {
		work.Go(func() {
			for r := range rounds {
				f.checkCompleteStream(f.b, fmt.Sprintf("caller %d, stream %d", i, r))
			}
		})
		work.Go(func() {
			for r := range rounds {
				f.checkCompleteReceipt(f.b, fmt.Sprintf("/receipts/lossy/%d/%d", i, r))
			}
		})
	}
	work.Wait()
}

// checkCompleteStream requires a complete stream through the node.
func (f *testFleet) checkCompleteStream(n *node, prompt string) {
	f.t.Helper()
	body := chatBody(f.t.Name()+" "+prompt, 32, true)
	a := n.chat(f.t.Context(), body, nil, nil)
	if err := checkChat(body, a); err != nil || !a.done {
		f.t.Errorf("%s: %v %v", prompt, err, a)
	}
}

// checkCompleteReceipt requires that a receipt through the node runs once and
// gets a complete response.
func (f *testFleet) checkCompleteReceipt(n *node, path string) {
	f.t.Helper()
	a := n.call(f.t.Context(), ledger, "POST", path, receipt, keyHeader(path))
	if err := checkCall("POST", path, receipt, a); err != nil || !a.isComplete() || f.countReceiptRuns(path) != 1 {
		f.t.Errorf("%s ran %d times: %v %v", path, f.countReceiptRuns(path), err, a)
	}
}
