package dispatch

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/standin/service"
)

// The endpoint's connection breaks at each stage of a non-idempotent request in turn.
// "not-run" must mean that the endpoint's own counter is zero, "ran" that it is one, and
// no request may run twice, whatever the reported outcome.
func TestOutcomeMatchesExecutions(t *testing.T) {
	cases := []struct {
		name    string
		stages  fault.Stages
		runs    int
		outcome outcome.Outcome
		whole   bool
	}{
		{"whole", fault.Stages{}, 1, "", true},
		{"headers read", fault.Stages{DropBeforeBody: fault.Always}, 0, outcome.Unknown, false},
		{"half the body read", fault.Stages{DropHalfBody: fault.Always}, 0, outcome.Unknown, false},
		{"body read", fault.Stages{DropAfterBody: fault.Always}, 0, outcome.Unknown, false},
		{"ran, no answer", fault.Stages{DropAfterRun: fault.Always}, 1, outcome.Unknown, false},
		{"half an answer", fault.Stages{CutAnswer: fault.Always}, 1, outcome.Ran, false},
		{"half an answer, clean end", fault.Stages{CutAnswerClean: fault.Always}, 1, outcome.Ran, false},
		{"refused", fault.Stages{RefuseNotRun: fault.Always}, 0, outcome.NotRun, false},
		{"ran, then failed", fault.Stages{FailAfterRun: fault.Always}, 1, "", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			s := r.addService()
			s.SetFaults(service.Faults{Stages: tc.stages})
			c := r.serve(context.Background(), r.receipt("a"))
			is.Equal(c.finished, 1)
			is.Equal(c.end.Complete, tc.whole)
			is.Equal(s.Executions("POST", "/receipts", "a"), tc.runs)
			if tc.whole {
				return
			}
			is.Equal(c.end.Error.Outcome, tc.outcome)
			is.Equal(c.started, 0) // the outcome can still be sent as a status
		})
	}
}

// Every endpoint refuses connections. No byte can have been sent, so the outcome must be
// "not-run" and the request may be sent again.
func TestRefusedDialIsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addUnreachable()
	c := r.serve(context.Background(), r.receipt("a"))
	is.Equal(c.end.Error.Outcome, outcome.NotRun)
	is.True(c.end.Error.RetryAfter > 0)
}

// The first endpoint is down and the second is not. The first try did not run, so a
// non-idempotent request may be retried at the second.
func TestNotRunIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addUnreachable()
	s := r.addService()
	c := r.serve(context.Background(), r.receipt("a"))
	is.True(c.end.Complete)
	is.Equal(s.Executions("POST", "/receipts", "a"), 1)
	is.Equal(r.router.begun, 2)
	is.Equal(len(r.router.results), 2)
	is.True(r.router.results[0].Failed)
}

// The endpoint runs a request on a reused connection and then drops the connection.
// net/http resends on its own on a reused connection: GET always, POST with an
// Idempotency-Key. Each request must run once, in every form in which it can be sent.
func TestReusedConnectionNeverRunsARequestTwice(t *testing.T) {
	forms := []struct {
		name   string
		change func(*request.Request)
	}{
		{"POST", func(*request.Request) {}},
		{"POST with key", func(q *request.Request) { q.Header = map[string][]string{"Idempotency-Key": {"k"}} }},
		{"POST with key, no body", func(q *request.Request) {
			q.Header, q.Body = map[string][]string{"X-Idempotency-Key": {"k"}}, nil
		}},
		{"GET", func(q *request.Request) { q.Method, q.Body = "GET", nil }},
		{"GET with body", func(q *request.Request) { q.Method = "GET" }},
		{"PUT, no body", func(q *request.Request) { q.Method, q.Body = "PUT", nil }},
	}
	for _, f := range forms {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			s := r.addService()
			// Open connections of both transports, then break the reused ones.
			is.True(r.serve(context.Background(), r.lookup("warm")).end.Complete)
			is.True(r.serve(context.Background(), r.receipt("warm")).end.Complete)
			s.SetFaults(service.Faults{Stages: fault.Stages{DropReusedAfter: fault.Always}})
			for i := range 20 {
				q := r.receipt(fmt.Sprintf("r%d", i))
				f.change(q)
				q.Header = q.Header.Clone()
				key := q.ID
				if q.Header.Get("Idempotency-Key") != "" {
					key = "k" + q.ID
					q.Header.Set("Idempotency-Key", key)
				}
				c := r.serve(context.Background(), q)
				is.Equal(s.Executions(q.Method, "/receipts", key), 1)
				// With a new connection per request, no outcome is unknown either.
				is.True(c.end.Complete)
			}
		})
	}
}

// A lookup on a reused connection that breaks must succeed: net/http and the dispatcher
// may both resend it.
func TestLookupSurvivesReusedConnection(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	s := r.addService()
	is.True(r.serve(context.Background(), r.lookup("warm")).end.Complete)
	s.SetFaults(service.Faults{Stages: fault.Stages{DropReused: 1}})
	is.True(r.serve(context.Background(), r.lookup("a")).end.Complete)
	is.Equal(s.Faults().DropReused, 0)
}

// A lookup's endpoint fails at each stage in turn. The lookup may run twice, so another
// endpoint must answer it.
func TestLookupIsRetriedElsewhere(t *testing.T) {
	for name, st := range map[string]fault.Stages{
		"headers read":    {DropBeforeBody: fault.Always},
		"ran, no answer":  {DropAfterRun: fault.Always},
		"half an answer":  {CutAnswer: fault.Always},
		"half, clean end": {CutAnswerClean: fault.Always},
		"refused":         {RefuseNotRun: fault.Always},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, nil)
			r.addService().SetFaults(service.Faults{Stages: st})
			r.addService()
			c := r.serve(context.Background(), r.lookup("a"))
			is.True(c.end.Complete)
			is.Equal(c.head.Endpoint, r.Snapshot().VMs[1].Record.VM)
		})
	}
}

// With an exhausted retry budget the error must be returned immediately with a retry
// delay, not held until the deadline.
func TestExhaustedBudgetReturnsImmediately(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.retry.allow = false
	r.addUnreachable()
	r.addService()
	c := r.serve(context.Background(), r.lookup("a"))
	is.Equal(c.end.Error.Outcome, outcome.NotRun)
	is.Equal(c.end.Error.RetryAfter.Seconds(), 3.0)
	is.Equal(r.router.begun, 1)
}

// The first endpoint ran a lookup and failed, the second is down. The last try did not
// run, but "not-run" would be wrong for the request.
func TestOutcomeCoversEarlierTries(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	r.addService().SetFaults(service.Faults{Stages: fault.Stages{DropAfterRun: fault.Always}})
	r.addUnreachable()
	c := r.serve(context.Background(), r.lookup("a"))
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
}

// The deadline has passed before the request is sent: it must not be sent, and the
// outcome is "not-run".
func TestExpiredRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	s := r.addService()
	q := r.receipt("a")
	q.Deadline = r.clock.Now() - 1
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Kind, outcome.DeadlineExceeded)
	is.Equal(c.end.Error.Outcome, outcome.NotRun)
	is.Equal(s.Executions("POST", "/receipts", "a"), 0)
}

// The endpoint stalls with the request until the deadline passes. It may have run, so the
// outcome is "unknown".
func TestDeadlineDuringRunIsUnknown(t *testing.T) {
	is := is.New(t)
	r := newRig(t, nil)
	s := r.addService()
	s.SetFaults(service.Faults{Stall: true})
	q := r.receipt("a")
	q.Deadline = r.clock.Now().Add(50e6)
	c := r.serve(context.Background(), q)
	is.Equal(c.end.Error.Kind, outcome.DeadlineExceeded)
	is.Equal(c.end.Error.Outcome, outcome.Unknown)
}
