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

func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operator, operatorToken)
}

// awaitStatus polls a node's status until it holds.
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

func formatJSON(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// applyDocument has a node accept a document and returns its revision.
func (f *testFleet) applyDocument(n *node, base uint64, doc string) uint64 {
	f.t.Helper()
	res, err := n.client().Apply(f.t.Context(), operator.ApplyRequest{Base: base, Document: doc})
	must(f.t, err)
	if res.State != operator.ApplyAccepted {
		f.t.Fatalf("through %s on base %d: %+v", n.vm, base, res)
	}
	return res.Revision
}

// awaitRevision waits until the document of the revision is in force on all nodes.
func (f *testFleet) awaitRevision(revision uint64, doc string) {
	f.t.Helper()
	for _, n := range f.nodes() {
		var last operator.ConfigView
		waitUntil(f.t, fmt.Sprintf("revision %d is in force on %s", revision, n.vm),
			func() bool {
				v, err := n.client().Config(f.t.Context())
				last = v
				return err == nil && v.Revision >= revision
			},
			func() string { return formatJSON(last) })
		if last.Revision != revision || last.Document != doc {
			f.t.Errorf("%s has revision %d in force, want %d with its own document:\n%s", n.vm, last.Revision, revision, last.Document)
		}
	}
}

// watchRevisions watches the revisions in force; the function that it returns ends
// the watch and tells of each step back.
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
					regressions = append(regressions, fmt.Sprintf("%s went from revision %d back to %d", n.vm, highest, v.Revision))
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

func keyHeader(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }

// awaitSettled repeats a receipt through a node until it is told something else than
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

// countReceiptRuns returns how often the receipt ran, by the counts of all services.
func (f *testFleet) countReceiptRuns(path string) int {
	f.t.Helper()
	n := 0
	for _, s := range f.services {
		n += s.countExecutions(f.t, " "+path+" ")
	}
	return n
}

// service returns the service of the VM.
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

// awaitRunning waits until the service runs so many calls at once.
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

// requestTicket asks a node for a ticket.
func (f *testFleet) requestTicket(n *node) map[string]string {
	f.t.Helper()
	a := send(f.t.Context(), "POST", "http://"+n.caller+"/tickets", "", nil, nil)
	ticket := a.header.Get("Chervilloom-Ticket")
	if ticket == "" {
		f.t.Fatalf("no ticket: %v", a)
	}
	return map[string]string{"Chervilloom-Ticket": ticket}
}

// serialOf returns the serial that the service drew for the run.
func serialOf(t *testing.T, a callResult) uint64 {
	t.Helper()
	var got service.Answer
	if err := json.Unmarshal(a.body, &got); err != nil {
		t.Fatalf("no answer of the service: %v", a)
	}
	return got.Serial
}

// checkZoneServed asks the node for a stream and a lookup, both of its own zone, and
// wants them whole.
func (f *testFleet) checkZoneServed(n *node, when string) {
	f.t.Helper()
	body := chatBody(fmt.Sprintf("%s %s asks %s", f.t.Name(), n.vm, when), 8, true)
	a := n.chat(f.t.Context(), body, nil, nil)
	if err := checkChat(body, a); err != nil || !a.done {
		f.t.Errorf("%s, %s: a stream of the own zone: %v %v", when, n.vm, err, a)
	}
	a = n.call(f.t.Context(), counter, "GET", "/licences/7", "", nil)
	if err := checkCall("GET", "/licences/7", "", a); err != nil || !a.isComplete() {
		f.t.Errorf("%s, %s: a lookup of the own zone: %v %v", when, n.vm, err, a)
	}
}
