package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// crashWithParts crashes an endpoint under a new request with the parts at a node.
func (tc *testCluster) crashWithParts(node, serial int, parts ...Part) {
	fp := Fingerprint(fmt.Sprintf("request%d", serial))
	tc.nodes[node].AttemptFailed(fmt.Sprintf("e%d", serial), "gone", fp, uint32(serial), parts...)
	synctest.Wait()
	tc.advance(200 * time.Millisecond)
}

// countRefusingParts returns the number of nodes that refuse a new request with the parts.
func (tc *testCluster) countRefusingParts(parts ...Part) int {
	n := 0
	for _, g := range tc.nodes {
		if _, refused := g.Refused(context.Background(), "another request", parts...); refused {
			n++
		}
	}
	return n
}

// Guards against requests that crash endpoints, differ and have one part of their prompts in
// common, against the refusal of those that share another part, and against a ban that nodes lose
// with their processes or keep for ever.
func TestRequestsWithHarmfulPartAreRefused(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(6)
		for i := range tc.nodes {
			tc.nodes[i].RunSucceeded("sound request", "first")
		}
		for i := range 4 {
			is.Equal(tc.countRefusingParts("first", "bad"), 0)
			tc.crashWithParts(i, i, "first", "bad")
		}
		is.Equal(tc.countRefusingParts("first", "bad"), 6)
		is.Equal(tc.countRefusingParts("bad"), 6)
		is.Equal(tc.countRefusingParts("first"), 0)
		v, _ := tc.nodes[0].Refused(context.Background(), "another request", "bad")
		is.Equal(v.Part, Part("bad"))

		tc.nodes[0] = newTestCluster(1).nodes[0] // a node that starts anew
		tc.advance(time.Second)
		is.Equal(tc.countRefusingParts("bad"), 6)
		tc.advance(banDuration)
		is.Equal(tc.countRefusingParts("bad"), 5) // one makes the trial run
		for _, g := range tc.nodes {
			g.RunSucceeded("another request", "bad")
		}
		is.Equal(tc.countRefusingParts("bad"), 0)
		is.Equal(len(tc.persisted), 0)
	})
}

// Guards against the refusal of a part that other nodes serve all day, when those that saw its
// crashes have just started.
func TestPartSucceedingOnOtherNodesIsNotRefused(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(6)
		for i := range 10 {
			tc.nodes[4+i%2].RunSucceeded("sound request", "shared")
		}
		for i := range 5 {
			tc.crashWithParts(i%4, i, "shared")
			is.Equal(tc.countRefusingParts("shared"), 0)
		}
		is.Equal(len(tc.persisted), 0)
	})
}

// Guards against a harmful part that counts as sound because its answers end with their
// connections when the endpoint crashes and look complete.
func TestAnswersThatEndWithTheConnectionAreNoEvidence(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		for i := range 4 {
			g, endpoint := tc.nodes[i%3], fmt.Sprintf("e%d", i)
			fp := Fingerprint(fmt.Sprintf("request%d", i))
			g.RunSucceeded(fp)
			g.ResponseUnclear(endpoint, fp, uint32(i), "bad")
			g.AttemptFailed(endpoint, "gone", "innocent request", uint32(100+i))
			synctest.Wait()
			tc.advance(200 * time.Millisecond)
		}
		is.Equal(tc.countRefusingParts("bad"), 3)
		is.Equal(tc.countRefusingParts("other"), 0)
	})
}

// Guards against a sound part that stays refused: a part that was sound before is tried after
// seconds.
func TestPartThatWasSoundIsTriedSoon(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		v := Verdict{Fingerprint: Part("shared").Fingerprint(), Part: "shared", Crashes: 6, Attempts: 3, Successes: 40}
		for _, g := range tc.nodes {
			g.ban(v, "tally")
		}
		tc.persisted[v.Fingerprint] = v
		is.Equal(tc.countRefusingParts("shared"), 3)
		tc.advance(firstPartTrial + 2*time.Second)
		is.Equal(tc.countRefusingParts("shared"), 2)
		for _, g := range tc.nodes {
			g.RunSucceeded("sound request", "shared")
		}
		is.Equal(tc.countRefusingParts("shared"), 0)
	})
}

// Guards against an innocent request that stays refused after the part is found that crashed its
// endpoints.
func TestRequestsFoundBeforeTheHarmfulPartAreLifted(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		for _, g := range tc.nodes {
			g.ban(Verdict{Fingerprint: "common body", Crashes: 3, Attempts: 3}, "tally")
		}
		for i := range 4 {
			tc.nodes[i%3].AttemptFailed(fmt.Sprintf("e%d", i), "gone", "common body", uint32(100+i), "first")
			tc.crashWithParts(i%3, i, "first", "bad")
		}
		is.Equal(tc.countRefusingParts("bad"), 3)
		is.Equal(tc.countRefusing("common body"), 0)
	})
}

// Guards against a part of all prompts that is found harmful in the first seconds of a fleet, after
// crashes of several causes: each takes many requests with it.
func TestWidelyUsedPartNeedsMoreEvidence(t *testing.T) {
	runInBubble(t, func(is *is.I) {
		tc := newTestCluster(3)
		tc.nodes[0].RunSucceeded("sound request", "shared")
		for i := range 5 {
			for k := range 3 {
				tc.nodes[k].AttemptFailed(fmt.Sprintf("e%d", i), "gone", Fingerprint(fmt.Sprint("r", i, k)), uint32(10*i+k), "shared")
			}
			synctest.Wait()
			tc.advance(200 * time.Millisecond)
			is.Equal(tc.countRefusingParts("shared"), 0)
		}
	})
}
