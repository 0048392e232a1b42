// Package testkit holds what the tests of several packages share. Only tests
// import it.
package testkit

import (
	"testing"
	"time"

	"chervilloom/internal/standin/fault"
)

// Patience bounds the wait for what must happen. It is far longer than any wait
// that is needed, so that no verdict depends on the speed of the machine.
const Patience = 20 * time.Second

// pollEvery is the pause between two looks. It proves nothing.
const pollEvery = time.Millisecond

// Eventually returns when cond holds, and fails the test when that is never.
func Eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !cond(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// ConnectionFault is a fault of one connection to a stand-in.
type ConnectionFault struct {
	Name   string
	Stages fault.Stages
	Runs   int // of the request that it hits
}

// ConnectionFaults returns a fault for each stage at which a connection breaks.
// Under none of them does the caller get a whole answer; whether the request
// ran is known to the stand-in's count alone.
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
