package cut

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
	"chervilloom/internal/outcome"
	"chervilloom/internal/standin/service"
)

// client returns an operator client for the node.
func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operator, operatorToken)
}

// awaitStatus polls a node's status until it satisfies the condition, and
// returns it.
func (f *testFleet) awaitStatus(n *node, description string, condition func(operator.Status) bool) operator.Status {
	f.t.Helper()
	var last operator.Status
	waitUntil(f.t, n.vm+": "+description,
		func() bool {
			s, err := n.client().Status(f.t.Context())
			last = s
			return err == nil && condition(s)
		},
		func() string { return formatJSON(last) })
	return last
}

// formatJSON formats v as indented JSON for failure messages.
func formatJSON(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// applyDocument applies a document through a node, requires that it is
// accepted, and returns its revision.
func (f *testFleet) applyDocument(n *node, base uint64, doc string) uint64 {
	f.t.Helper()
	res, err := n.client().Apply(f.t.Context(), operator.ApplyRequest{Base: base, Document: doc})
	must(f.t, err)
	if res.State != operator.ApplyAccepted {
		f.t.Fatalf("applying through %s on base %d: %+v", n.vm, base, res)
	}
	return res.Revision
}

// awaitRevision waits until all nodes use the revision, and checks that its
// document is doc.
func (f *testFleet) awaitRevision(revision uint64, doc string) {
	f.t.Helper()
	for _, n := range f.nodes() {
		var last operator.ConfigView
		waitUntil(f.t, fmt.Sprintf("revision %d is in use on %s", revision, n.vm),
			func() bool {
				v, err := n.client().Config(f.t.Context())
				last = v
				return err == nil && v.Revision >= revision
			},
			func() string { return formatJSON(last) })
		if last.Revision != revision || last.Document != doc {
			f.t.Errorf("%s uses revision %d, want %d with its document; got:\n%s", n.vm, last.Revision, revision, last.Document)
		}
	}
}

// watchRevisions polls the revisions that the nodes use. The returned function
// stops polling and fails the test for each decrease.
func (f *testFleet) watchRevisions() func() {
	ctx, cancel := context.WithCancel(f.t.Context())
	var work sync.WaitGroup
	var mu sync.Mutex
	var regressions []string
	for _, n := range f.nodes() {
		c := n.client()
		work.Go(func() {
			for highest := uint64(0); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				v, err := c.Config(ctx)
				if err != nil {
					continue
				}
				if v.Revision < highest {
					mu.Lock()
					regressions = append(regressions, fmt.Sprintf("%s reverted from revision %d to %d", n.vm, highest, v.Revision))
					mu.Unlock()
				}
				highest = max(highest, v.Revision)
			}
		})
	}
	return func() {
		f.t.Helper()
		cancel()
		work.Wait()
		for _, w := range regressions {
			f.t.Error(w)
		}
	}
}

const receipt = `{"fee":1500}`

// keyHeader returns the request headers for an idempotency key.
func keyHeader(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }

// awaitSettled repeats a receipt through a node until the response is no longer
// "still running".
func (f *testFleet) awaitSettled(n *node, service, path string, header map[string]string) callResult {
	f.t.Helper()
	var a callResult
	waitUntil(f.t, path+" is settled",
		func() bool {
			a = n.call(f.t.Context(), service, "POST", path, receipt, header)
			return a.kind != outcome.StillRunning
		},
		func() string { return a.String() })
	return a
}

// countReceiptRuns returns how often the receipt ran, summed over all services.
func (f *testFleet) countReceiptRuns(path string) int {
	f.t.Helper()
	n := 0
	for _, s := range f.services {
		n += s.countExecutions(f.t, " "+path+" ")
	}
	return n
}

// service returns the service on the VM.
func (f *testFleet) service(vm string) *endpoint {
	f.t.Helper()
	for _, s := range f.services {
		if s.vm == vm {
			return s
		}
	}
	f.t.Fatalf("no service %q", vm)
	return nil
}

// awaitRunning waits until the given number of calls run at the service.
func (f *testFleet) awaitRunning(s *endpoint, calls int) {
	f.t.Helper()
	var l fleet.Load
	waitUntil(f.t, fmt.Sprintf("%d calls run at %s", calls, s.vm),
		func() bool {
			getJSON(f.t, s.addr, "/load", &l)
			return l.Running == calls
		},
		func() string { return formatJSON(l) })
}

// requestTicket requests a ticket from a node and returns it as request
// headers.
func (f *testFleet) requestTicket(n *node) map[string]string {
	f.t.Helper()
	a := send(f.t.Context(), "POST", "http://"+n.caller+"/tickets", "", nil, nil)
	ticket := a.header.Get("Chervilloom-Ticket")
	if ticket == "" {
		f.t.Fatalf("no ticket: %v", a)
	}
	return map[string]string{"Chervilloom-Ticket": ticket}
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

// checkZoneServed requires a complete stream and lookup from the node, both
// served in its own zone.
func (f *testFleet) checkZoneServed(n *node, when string) {
	f.t.Helper()
	body := chatBody(fmt.Sprintf("%s %s asks %s", f.t.Name(), n.vm, when), 8, true)
	a := n.chat(f.t.Context(), body, nil, nil)
	if err := checkChat(body, a); err != nil || !a.done {
		f.t.Errorf("%s, %s: a stream of its own zone: %v %v", when, n.vm, err, a)
	}
	a = n.call(f.t.Context(), counter, "GET", "/licences/7", "", nil)
	if err := checkCall("GET", "/licences/7", "", a); err != nil || !a.isComplete() {
		f.t.Errorf("%s, %s: a lookup of its own zone: %v %v", when, n.vm, err, a)
	}
}
