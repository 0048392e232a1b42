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

// A one-way cut: zoneA's node hears zoneB's, but nothing of it gets back. The
// receipts of zoneB's callers run at the service when the cut begins, and their
// answers are lost. Such a caller is told that the outcome is unknown, never
// "not run" and never a whole answer; repeats of a key through both nodes, during
// the cut and after it, never run it again.
func TestOneWayLinkFailure(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA}, tokensPerSec: 20})
	f.awaitReceiptRelayed("/receipts/warm") // the link stands
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
	f.setLinkLoss(true, false)
	work.Wait()
	setFaults(t, slow.addr, map[string]any{"slow": "0s"})
	ran, kindCounts := 0, map[outcome.Kind]int{}
	for i, a := range calls {
		kindCounts[a.kind]++
		ran += f.countReceiptRuns(oneWayPath(i))
		f.checkOutcome(oneWayPath(i), a)
		if a.isComplete() || a.outcome != outcome.Unknown {
			t.Errorf("%s reached the service and its answer was lost, but it was told %v", oneWayPath(i), a)
		}
	}
	if ran == 0 {
		t.Errorf("no receipt ran to its end, so the test met no lost answer: %v", calls)
	}
	cut := <-stream
	if err := checkChat(cut.body, cut.callResult); err != nil || cut.done || cut.outcome == outcome.NotRun {
		t.Errorf("a stream over the cut link must be told as cut: %v %v", err, cut.callResult)
	}

	f.checkKeyedRepeats(sent)
	f.awaitStatus(f.b, "misses the other node", func(s operator.Status) bool { return !seesAlive(s, f.a) })
	f.checkKeyedRepeats(sent)
	f.checkZoneServed(f.a, "cut one way")
	a := f.b.call(t.Context(), ledger, "POST", "/receipts/beyond", receipt, nil)
	if a.outcome != outcome.NotRun || f.countReceiptRuns("/receipts/beyond") != 0 {
		t.Errorf("a receipt that no link can carry ran %d times and was told %v", f.countReceiptRuns("/receipts/beyond"), a)
	}
	f.reconnect()
	f.awaitConnected()
	f.checkKeyedRepeats(sent)
	t.Logf("%d of %d receipts ran at first, told %v", ran, sent, kindCounts)
}

func oneWayPath(i int) string { return fmt.Sprintf("/receipts/one-way/%d", i) }

// oneWayHeader names every second receipt by a key; the others have none. Half
// of each end by their deadline, the others when the link is found broken.
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

// checkKeyedRepeats repeats the keyed receipts through both nodes.
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

// checkOutcome checks what a caller was told against the services' counts.
func (f *testFleet) checkOutcome(path string, a callResult) {
	f.t.Helper()
	runs := f.countReceiptRuns(path)
	switch {
	case a.outcome == "":
		f.t.Errorf("%s: no outcome was told: %v", path, a)
	case a.outcome == outcome.Ran && runs == 0:
		f.t.Errorf("%s: told ran, never ran: %v", path, a)
	case a.outcome == outcome.NotRun && runs > 0:
		f.t.Errorf("%s: told not-run, ran %d times: %v", path, runs, a)
	case runs > 1:
		f.t.Errorf("%s: ran %d times: %v", path, runs, a)
	}
	if err := checkCall("POST", path, receipt, a); err != nil {
		f.t.Errorf("%s: %v", path, err)
	}
}

// streamResult is one stream with what its caller was told.
type streamResult struct {
	callResult
	body string
}

// startStream asks a node for a stream and returns when some tokens have come.
// The channel gets what the caller was told in the end.
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
		f.t.Fatalf("the stream ended before its %dth token: %v", firstTokens, s.callResult)
	case <-time.After(waitTimeout):
		f.t.Fatal("the stream did not begin")
	}
	return ended
}

// A caller of zoneB reads a stream of zoneA's group when the link between the
// nodes is cut. Nothing ends the connection, it falls silent. The caller is told
// that the answer is cut, by an error event and a broken connection, never by an
// end marker. After healing it resumes by the id of its last event and has every
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
		t.Fatalf("a stream whose link is cut must be told as cut, with a place to resume at: %v, last id %q", s.callResult, s.lastID)
	}
	got := len(s.tokens)

	f.reconnect()
	f.awaitConnected()
	rest := f.resumeStream(f.b, s)
	all := strings.Join(append(s.tokens, rest.tokens...), "")
	if want := strings.Join(standin.ExpectedTokens([]byte(s.body)), ""); all != want {
		t.Errorf("%d tokens before the cut and %d after it make\n%q, want\n%q", got, len(rest.tokens), all, want)
	}
	t.Logf("%d tokens before the cut, %d after it", got, len(rest.tokens))
}

// resumeStream asks for the rest of a stream, again while it is told that nothing ran.
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
		f.t.Fatalf("the rest of the stream is not whole: %v", a)
	}
	return a
}

// All links between the nodes lose 15 % of the datagrams and delay each by
// 50 ms. Callers of zoneB get streams and receipts of zoneA's endpoints, all
// whole and their own: loss is for the transport to mend, and a slow link is not
// a cut one.
func TestLossyAndSlowLinks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA}, tokensPerSec: 100})
	for i, n := range f.nodes() {
		n.relay.Seed(uint64(i) + 1)
		n.relay.Loss(0.15)
		n.relay.Delay(50 * time.Millisecond)
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

func (f *testFleet) checkCompleteStream(n *node, prompt string) {
	f.t.Helper()
	body := chatBody(f.t.Name()+" "+prompt, 32, true)
	a := n.chat(f.t.Context(), body, nil, nil)
	if err := checkChat(body, a); err != nil || !a.done {
		f.t.Errorf("%s: %v %v", prompt, err, a)
	}
}

func (f *testFleet) checkCompleteReceipt(n *node, path string) {
	f.t.Helper()
	a := n.call(f.t.Context(), ledger, "POST", path, receipt, keyHeader(path))
	if err := checkCall("POST", path, receipt, a); err != nil || !a.isComplete() || f.countReceiptRuns(path) != 1 {
		f.t.Errorf("%s ran %d times: %v %v", path, f.countReceiptRuns(path), err, a)
	}
}
