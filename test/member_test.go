package test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"chervilloom/internal/operator"
	"chervilloom/internal/outcome"
)

// A group member's VM is killed while callers read long streams. Each caller
// must get an error event and a broken connection, never an end marker. Once
// the failure is detected the group must get no requests, and callers are
// refused as not run. A spare must then replace the member and the model must
// be served again: a group is usable only with all its members.
func TestMemberKilledMidStream(t *testing.T) {
	t.Parallel()
	for name, rank := range map[string]int{"leader": 0, "other member": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB}, engines: 5, tokensPerSec: 20})
			old := f.awaitGroup()
			victim := f.engine(old.VMs[rank])

			wait := startLongStreams(t, f.nodes, 400)
			victim.kill()
			for _, c := range wait() {
				if err := checkChat(c.body, c.callResult); err != nil {
					t.Error(err)
				}
				if c.done || c.kind != outcome.AnswerCut || c.outcome == outcome.NotRun {
					t.Errorf("a stream of a failed member must be reported as truncated: %v", c.callResult)
				}
			}

			spare := f.awaitRepaired(old)
			if slices.Contains(spare.VMs, string(victim.vm)) {
				t.Errorf("the failed member %s is part of the new generation %v", victim.vm, spare.VMs)
			}
			f.checkNodesAnswer()
		})
	}
}

// A member restarts on the same address and answers probes, but its part of the
// model is lost. Its new boot id must end the generation: running streams are
// reported as truncated, and while the platform is unreachable, so that no new
// generation can be formed, requests are refused as not run. A later generation
// must then serve; no response may mix members from before and after the
// restart.
func TestMemberRestartedOnItsAddress(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB}, engines: 4, tokensPerSec: 20})
	old := f.awaitGroup()
	victim := f.engine(old.VMs[2])

	streams := startLongStreams(t, f.nodes, 400)
	for _, n := range f.nodes {
		n.platform.disconnect()
	}
	setFaults(t, victim.addr, map[string]any{"restart": true})
	for _, s := range streams() {
		if err := checkChat(s.body, s.callResult); err != nil || s.done {
			t.Errorf("a stream of a broken generation must be reported as truncated: %v %v", err, s.callResult)
		}
	}
	f.checkRefusedWhileBroken(f.engine(old.VMs[0]))
	for _, n := range f.nodes {
		n.platform.reconnect()
	}
	f.awaitRepaired(old)
	f.checkNodesAnswer()
}

// checkRefusedWhileBroken waits until no node reports a serving group, and
// checks that requests are refused and don't reach the leader.
func (f *testFleet) checkRefusedWhileBroken(leader *endpoint) {
	f.t.Helper()
	f.awaitStatusOnAll("no group serves", func(s operator.Status) bool { return len(servingGroups(s)) == 0 })
	before := leader.countExecutions(f.t, "")
	for i, n := range f.nodes {
		body := chatBody(fmt.Sprintf("while broken %d", i), 4, true)
		a := n.chat(f.t.Context(), body, nil)
		if err := checkChat(body, a); err != nil || a.outcome != outcome.NotRun || a.status != http.StatusServiceUnavailable {
			f.t.Errorf("want a refusal as not run, got %v %v", a, err)
		}
		if a.header.Get("Retry-After") == "" {
			f.t.Errorf("the refusal has no Retry-After header: %v", a)
		}
	}
	if after := leader.countExecutions(f.t, ""); after != before {
		f.t.Errorf("%d requests ran at the leader of an incomplete group", after-before)
	}
}

// A member is paused and later resumed. While it is unresponsive the group is
// incomplete: requests must be refused as not run and none may reach the
// leader. After it resumes the model must be served again, by this member or a
// spare.
func TestMemberPaused(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB}, engines: 4})
	old := f.awaitGroup()
	victim, leader := f.engine(old.VMs[3]), f.engine(old.VMs[0])

	victim.signal(t, syscall.SIGSTOP)
	f.checkRefusedWhileBroken(leader)
	victim.signal(t, syscall.SIGCONT)
	f.awaitServing()
	f.checkNodesAnswer()
}

// streamResult is the response to a stream request, with the request's body.
type streamResult struct {
	callResult
	body string
}

// startLongStreams starts a stream at each node and returns when all have
// begun. The returned function waits for their ends.
func startLongStreams(t *testing.T, nodes []*node, tokens int) func() []streamResult {
	t.Helper()
	out := make([]streamResult, len(nodes))
	var begun, ended sync.WaitGroup
	for i, n := range nodes {
		begun.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			var once sync.Once
			out[i].body = chatBody(fmt.Sprintf("%s long stream %d", t.Name(), i), tokens, true)
			out[i].callResult = n.chat(t.Context(), out[i].body, func() { once.Do(begun.Done) })
			once.Do(begun.Done)
		}()
	}
	begun.Wait()
	return func() []streamResult {
		ended.Wait()
		return out
	}
}

// checkNodesAnswer requires a complete response through every node. It retries
// refusals, because a node may learn of the group with a delay.
func (f *testFleet) checkNodesAnswer() {
	f.t.Helper()
	for i, n := range f.nodes {
		body := chatBody(fmt.Sprintf("%s at last %d", f.t.Name(), i), 8, true)
		var last callResult
		waitUntil(f.t, n.vm+" answers",
			func() bool {
				last = n.chat(f.t.Context(), body, nil)
				if err := checkChat(body, last); err != nil {
					f.t.Fatal(err)
				}
				return last.done
			},
			func() string { return last.String() })
	}
}

// resultCounts counts responses by their result and collects invalid ones.
type resultCounts struct {
	mu        sync.Mutex
	counts    map[string]int
	failures  []error
	completed atomic.Int64
}

// record counts a result and collects its error, if any.
func (c *resultCounts) record(err error, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[what]++
	if err != nil {
		c.failures = append(c.failures, err)
	}
}

// runCallers runs n callers at each node, each sending sequential stream
// requests, until all rounds are done or ctx ends.
func (c *resultCounts) runCallers(ctx context.Context, nodes []*node, n, rounds, tokens int) {
	var work sync.WaitGroup
	for i, nd := range nodes {
		for j := range n {
			work.Go(func() {
				for k := 0; k < rounds && ctx.Err() == nil; k++ {
					body := chatBody(fmt.Sprintf("caller %d.%d asks %d", i, j, k), tokens, true)
					a := nd.chat(ctx, body, nil)
					c.record(checkChat(body, a), resultLabel(a))
					if a.done {
						c.completed.Add(1)
					}
				}
			})
		}
	}
	work.Wait()
}

// resultLabel returns the key under which a response is counted.
func resultLabel(a callResult) string {
	if a.done && a.err == nil {
		return "whole"
	}
	return fmt.Sprintf("%s %s", a.kind, a.outcome)
}
