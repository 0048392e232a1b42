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

// A caller reads a long stream when a member VM of its group dies. It is told
// that the answer is cut: an error event, then a broken connection, never an
// end marker. Once the death is noticed no request goes to the group, and those
// asked for meanwhile are told "not run". A spare takes the dead member's place
// and the model answers again, because a replica is whole or of no use.
func TestMemberKilledMidStream(t *testing.T) {
	t.Parallel()
	for name, rank := range map[string]int{"leader": 0, "other member": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, plan{zones: []string{zoneA, zoneB}, engines: 5, tokensPerSec: 20})
			old := f.group()
			victim := f.engine(old.VMs[rank])

			cut := longStreams(t, f.nodes, 400)
			victim.kill()
			for _, c := range cut() {
				if err := checkChat(c.body, c.told); err != nil {
					t.Error(err)
				}
				if c.done || c.kind != outcome.AnswerCut || c.outcome == outcome.NotRun {
					t.Errorf("a stream whose member died must be told as cut: %v", c.told)
				}
			}

			spare := f.repaired(old)
			if slices.Contains(spare.VMs, string(victim.vm)) {
				t.Errorf("the dead member %s is in the new generation %v", victim.vm, spare.VMs)
			}
			f.mustAnswer()
		})
	}
}

// A member restarts on its address and answers probes "as if nothing had
// happened", but its part of the model is gone. Its new boot id ends the
// generation: running streams are told as cut, and while the platform is away,
// so that no other generation can be made, requests are refused "not run". Then
// a later generation serves: no answer comes from members of two lives.
func TestMemberRestartedOnItsAddress(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB}, engines: 4, tokensPerSec: 20})
	old := f.group()
	victim := f.engine(old.VMs[2])

	streams := longStreams(t, f.nodes, 400)
	for _, n := range f.nodes {
		n.platform.cut()
	}
	faults(t, victim.addr, map[string]any{"restart": true})
	for _, s := range streams() {
		if err := checkChat(s.body, s.told); err != nil || s.done {
			t.Errorf("a stream of a broken generation must be told as cut: %v %v", err, s.told)
		}
	}
	f.refusesWhileBroken(f.engine(old.VMs[0]))
	for _, n := range f.nodes {
		n.platform.mend()
	}
	f.repaired(old)
	f.mustAnswer()
}

// refusesWhileBroken waits until no node believes that a group is whole and
// then checks that requests are refused and do not reach the leader.
func (f *testFleet) refusesWhileBroken(leader *endpoint) {
	f.t.Helper()
	f.awaitAll("the group takes no requests", func(s operator.Status) bool { return len(wholeGroups(s)) == 0 })
	before := leader.ran(f.t, "")
	for i, n := range f.nodes {
		body := chatBody(fmt.Sprintf("while broken %d", i), 4, true)
		a := n.chat(f.t.Context(), body, nil)
		if err := checkChat(body, a); err != nil || a.outcome != outcome.NotRun || a.status != http.StatusServiceUnavailable {
			f.t.Errorf("want a refusal that did not run, got %v %v", a, err)
		}
		if a.header.Get("Retry-After") == "" {
			f.t.Errorf("the refusal does not say when to come back: %v", a)
		}
	}
	if after := leader.ran(f.t, ""); after != before {
		f.t.Errorf("%d requests ran at the leader of a group that is not whole", after-before)
	}
}

// A member is paused and goes on later. While it is silent the group is not
// whole: requests are refused "not run" and none reaches the leader. When it
// goes on the model serves again, with this member or with a spare.
func TestMemberPaused(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB}, engines: 4})
	old := f.group()
	victim, leader := f.engine(old.VMs[3]), f.engine(old.VMs[0])

	victim.signal(t, syscall.SIGSTOP)
	f.refusesWhileBroken(leader)
	victim.signal(t, syscall.SIGCONT)
	f.awaitServing()
	f.mustAnswer()
}

// askedStream is one stream with what its caller was told.
type askedStream struct {
	told
	body string
}

// longStreams begins a stream at each node and returns when all have begun. The
// function that it returns waits for their ends.
func longStreams(t *testing.T, nodes []*node, tokens int) func() []askedStream {
	t.Helper()
	out := make([]askedStream, len(nodes))
	var begun, ended sync.WaitGroup
	for i, n := range nodes {
		begun.Add(1)
		ended.Add(1)
		go func() {
			defer ended.Done()
			var once sync.Once
			out[i].body = chatBody(fmt.Sprintf("%s long stream %d", t.Name(), i), tokens, true)
			out[i].told = n.chat(t.Context(), out[i].body, func() { once.Do(begun.Done) })
			once.Do(begun.Done)
		}()
	}
	begun.Wait()
	return func() []askedStream {
		ended.Wait()
		return out
	}
}

// mustAnswer asks through every node for a whole answer. A refusal that did not
// run is asked again: a node may hear of the group a moment later.
func (f *testFleet) mustAnswer() {
	f.t.Helper()
	for i, n := range f.nodes {
		body := chatBody(fmt.Sprintf("%s at last %d", f.t.Name(), i), 8, true)
		var last told
		until(f.t, n.vm+" answers",
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

// load asks all nodes for streams, `each` at a time for each node, until ctx
// ends, and checks every answer. It returns counts by what callers were told.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	wrong  []error
	whole  atomic.Int64
}

func (c *tally) note(err error, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[what]++
	if err != nil {
		c.wrong = append(c.wrong, err)
	}
}

// ask runs n callers at each node that ask one stream after the other.
func (c *tally) ask(ctx context.Context, nodes []*node, n, rounds, tokens int) {
	var work sync.WaitGroup
	for i, nd := range nodes {
		for j := range n {
			work.Go(func() {
				for k := 0; k < rounds && ctx.Err() == nil; k++ {
					body := chatBody(fmt.Sprintf("caller %d.%d asks %d", i, j, k), tokens, true)
					a := nd.chat(ctx, body, nil)
					c.note(checkChat(body, a), what(a))
					if a.done {
						c.whole.Add(1)
					}
				}
			})
		}
	}
	work.Wait()
}

func what(a told) string {
	if a.done && a.err == nil {
		return "whole"
	}
	return fmt.Sprintf("%s %s", a.kind, a.outcome)
}
