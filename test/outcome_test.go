package test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"chervilloom/internal/outcome"
	"chervilloom/internal/standin/fault"
	"chervilloom/internal/standin/service"
)

// stageNames returns the JSON names of all connection stages in fault.Stages.
func stageNames() []string {
	var out []string
	for f := range reflect.TypeFor[fault.Stages]().Fields() {
		out = append(out, f.Tag.Get("json"))
	}
	return out
}

// outcomeCall is a kind of call whose reported outcome is checked.
type outcomeCall struct {
	method, path, body string
	keyed              bool
}

// Two services break the connection at each stage of a request, once or always.
// The reported outcome must match the execution counts, also when they are read
// again at the end: "not run" requires zero executions, "ran" at least one, and
// a receipt runs at most once. Lookups may be retried; receipts only if they
// certainly did not run, although another service is available, because the
// node sees a broken connection and not the count.
func TestReportedOutcomeMatchesExecutions(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB}, services: 2})
	calls := []outcomeCall{
		{method: "GET", path: "/licences"},
		{method: "POST", path: "/receipts", body: `{"fee":1500}`},
		{method: "POST", path: "/receipts", body: `{"fee":1700}`, keyed: true},
		{method: "POST", path: "/searches", body: `{"name":"x"}`},
	}
	var checks []outcomeCheck
	for _, stage := range stageNames() {
		for _, times := range []int{1, fault.Always} {
			for i, c := range calls {
				for _, n := range f.nodes {
					checks = append(checks, f.callWithFault(n, c, stage, times, i))
				}
			}
		}
	}
	for _, a := range checks { // again: an execution after the response would invalidate its outcome
		a.check(f)
	}
	t.Logf("%d calls at %d stages", len(checks), len(stageNames()))
}

// outcomeCheck is a call and its response.
type outcomeCheck struct {
	callResult
	call  outcomeCall
	stage string
	times int
	path  string // unique path of the request
}

// callWithFault sends a call while the services inject a fault, and checks it.
func (f *testFleet) callWithFault(n *node, c outcomeCall, stage string, times, i int) outcomeCheck {
	f.t.Helper()
	// Leaves an idle connection, so that the stages of reused connections occur.
	if a := n.call(f.t.Context(), "GET", "/warm", "", nil); !a.isComplete() {
		f.t.Fatalf("%s: a call without faults failed: %v", stage, a)
	}
	path := fmt.Sprintf("%s/%s/%d/%d/%s", c.path, stage, times, i, n.vm)
	var header map[string]string
	if c.keyed {
		header = map[string]string{"Idempotency-Key": path}
	}
	f.setServiceFaults(map[string]any{stage: times})
	a := outcomeCheck{callResult: n.call(f.t.Context(), c.method, path, c.body, header), call: c, stage: stage, times: times, path: path}
	f.setServiceFaults(map[string]any{stage: 0})
	a.check(f)
	return a
}

// setServiceFaults sets the faults of all services.
func (f *testFleet) setServiceFaults(set map[string]any) {
	f.t.Helper()
	for _, svc := range f.services {
		setFaults(f.t, svc.addr, set)
	}
}

// check compares the reported outcome with the execution counts.
func (a outcomeCheck) check(f *testFleet) {
	t := f.t
	t.Helper()
	runs := 0
	for _, svc := range f.services {
		runs += svc.countExecutions(t, " "+a.path+" ")
	}
	id := fmt.Sprintf("%s %s, %s %d times", a.call.method, a.path, a.stage, a.times)
	nonIdempotent := strings.HasPrefix(a.call.path, "/receipts")
	switch {
	case a.status == 0 && a.err == nil, a.status != 0 && a.outcome == "" && a.err == nil:
		t.Errorf("%s: response without outcome: %v", id, a.callResult)
	case a.outcome == outcome.NotRun && runs > 0:
		t.Errorf("%s: reported as not-run, ran %d times: %v", id, runs, a.callResult)
	case a.outcome == outcome.Ran && runs == 0:
		t.Errorf("%s: reported as ran, never ran: %v", id, a.callResult)
	case nonIdempotent && runs > 1:
		t.Errorf("%s: ran %d times: %v", id, runs, a.callResult)
	case a.stage == "refuse_not_run" && a.times == fault.Always && a.outcome != outcome.NotRun:
		t.Errorf("%s: the endpoint refused it as not run, but the caller got another outcome: %v", id, a.callResult)
	}
	if a.isComplete() {
		if err := checkCall(a.call.method, a.path, a.call.body, a.callResult); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
}

// serialOf returns the serial number that the service assigned to the
// execution.
func serialOf(t *testing.T, a callResult) uint64 {
	t.Helper()
	var got service.Answer
	if err := json.Unmarshal(a.body, &got); err != nil {
		t.Fatalf("not a response of the service: %v", a)
	}
	return got.Serial
}
