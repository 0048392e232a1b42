// Package testkit provides helpers shared by the tests of several packages. Only
// tests import it.
package testkit

import (
	"testing"
	"time"

	"chervilloom/internal/standin/fault"
)

// WaitTimeout is the timeout for conditions that must become true. It is much longer
// than any wait needs, so that results do not depend on the machine's speed.
const WaitTimeout = 20 * time.Second

// pollInterval is the interval at which Eventually checks its condition. No test
// result depends on it.
const pollInterval = time.Millisecond

// Eventually polls cond until it returns true. It fails the test after a timeout of
// 20 s; what describes the condition.
func Eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !cond(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// ConnectionFault is a fault injected into one connection to a stand-in.
type ConnectionFault struct {
	Name         string
	Stages       fault.Stages
	ExpectedRuns int // how often the stand-in runs the affected request
}

// ConnectionFaults returns a fault for each stage at which a connection can break.
// With each of them, the caller gets no complete answer, and only the stand-in's
// count shows whether the request ran.
func ConnectionFaults() []ConnectionFault {
	return []ConnectionFault{
		{"before the body", fault.Stages{DropBeforeBody: 1}, 0},
		{"half the body", fault.Stages{DropHalfBody: 1}, 0},
		{"after the body", fault.Stages{DropAfterBody: 1}, 0},
		{"after running", fault.Stages{DropAfterRun: 1}, 1},
		{"half the answer", fault.Stages{CutAnswer: 1}, 1},
		{"clean half", fault.Stages{CutAnswerClean: 1}, 1},
		{"refused", fault.Stages{RefuseNotRun: 1}, 0},
		{"failed after running", fault.Stages{FailAfterRun: 1}, 1},
	}
}
