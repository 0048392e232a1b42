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

// stageNames returns the JSON names of all connection stages of fault.Stages.
func stageNames() []string {
	var out []string
	for f := range reflect.TypeFor[fault.Stages]().Fields() {
		out = append(out, f.Tag.Get("json"))
	}
	return out
}

// truthCall is one kind of call of the proof.
type truthCall struct {
	method, path, body string
	keyed              bool
}

// Two services break the connection at each stage of a request, once and always.
// Whatever the caller is told must be true: "not run" only with a count of zero,
// also when looked at later, "ran" only with a count above zero, and a receipt
// never counts twice. Lookups may be tried again, receipts only when they
// surely did not run, though another service
// stands ready; the node sees a broken connection, not the count.
func TestToldOutcomeIsTrueAtEachStage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB}, services: 2})
	calls := []truthCall{
		{method: "GET", path: "/licences"},
		{method: "POST", path: "/receipts", body: `{"fee":1500}`},
		{method: "POST", path: "/receipts", body: `{"fee":1700}`, keyed: true},
		{method: "POST", path: "/searches", body: `{"name":"x"}`},
	}
	var asked []toldCall
	for _, stage := range stageNames() {
		for _, times := range []int{1, fault.Always} {
			for i, c := range calls {
				for _, n := range f.nodes {
					asked = append(asked, f.askAtStage(n, c, stage, times, i))
				}
			}
		}
	}
	for _, a := range asked { // again: a run that comes after the answer makes it a lie
		a.check(f)
	}
	t.Logf("%d calls at %d stages", len(asked), len(stageNames()))
}

// toldCall is one call and what its caller was told.
type toldCall struct {
	told
	call  truthCall
	stage string
	times int
	path  string // unique
}

func (f *testFleet) askAtStage(n *node, c truthCall, stage string, times, i int) toldCall {
	f.t.Helper()
	// An idle connection is at hand, so that stages of reused ones are met.
	if a := n.call(f.t.Context(), "GET", "/warm", "", nil); !a.whole() {
		f.t.Fatalf("%s: a call without faults: %v", stage, a)
	}
	path := fmt.Sprintf("%s/%s/%d/%d/%s", c.path, stage, times, i, n.vm)
	var header map[string]string
	if c.keyed {
		header = map[string]string{"Idempotency-Key": path}
	}
	f.faultServices(map[string]any{stage: times})
	a := toldCall{told: n.call(f.t.Context(), c.method, path, c.body, header), call: c, stage: stage, times: times, path: path}
	f.faultServices(map[string]any{stage: 0})
	a.check(f)
	return a
}

func (f *testFleet) faultServices(set map[string]any) {
	f.t.Helper()
	for _, svc := range f.services {
		faults(f.t, svc.addr, set)
	}
}

func (a toldCall) check(f *testFleet) {
	t := f.t
	t.Helper()
	runs := 0
	for _, svc := range f.services {
		runs += svc.ran(t, " "+a.path+" ")
	}
	id := fmt.Sprintf("%s %s, %s %d times", a.call.method, a.path, a.stage, a.times)
	once := strings.HasPrefix(a.call.path, "/receipts")
	switch {
	case a.status == 0 && a.err == nil, a.status != 0 && a.outcome == "" && a.err == nil:
		t.Errorf("%s: no outcome was told: %v", id, a.told)
	case a.outcome == outcome.NotRun && runs > 0:
		t.Errorf("%s: told not-run, ran %d times: %v", id, runs, a.told)
	case a.outcome == outcome.Ran && runs == 0:
		t.Errorf("%s: told ran, never ran: %v", id, a.told)
	case once && runs > 1:
		t.Errorf("%s: ran %d times: %v", id, runs, a.told)
	case a.stage == "refuse_not_run" && a.times == fault.Always && a.outcome != outcome.NotRun:
		t.Errorf("%s: the endpoint said that it did not run: %v", id, a.told)
	}
	if a.whole() {
		if err := checkCall(a.call.method, a.path, a.call.body, a.told); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
}

// serialOf returns the serial that the service drew for the run.
func serialOf(t *testing.T, a told) uint64 {
	t.Helper()
	var got service.Answer
	if err := json.Unmarshal(a.body, &got); err != nil {
		t.Fatalf("no answer of the service: %v", a)
	}
	return got.Serial
}
