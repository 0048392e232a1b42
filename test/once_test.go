package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

const receipt = `{"fee":1500}`

func keyed(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }

// A clerk's client sends one receipt through all nodes at once and again
// afterwards. It runs once: each try is told the first answer or that the first
// is still running, and every later try gets the first answer, because the key
// was claimed in the table before anything was sent.
func TestSameKeyThroughAllNodesRunsOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	svc := f.services[0]
	faults(t, svc.addr, map[string]any{"slow": "300ms"})
	for round := range 5 {
		path := fmt.Sprintf("/receipts/%d", round)
		answers := f.sendEverywhere(path, keyed(path), 4)
		serials := map[uint64]int{}
		for _, a := range answers {
			switch {
			case a.whole():
				serials[serialOf(t, a)]++
			case a.kind == outcome.StillRunning:
			default:
				t.Errorf("%s: a repeat was told %v", path, a)
			}
		}
		for _, n := range f.nodes {
			a := f.settled(n, path, keyed(path))
			if !a.whole() {
				t.Errorf("%s: the first answer is not kept: %v", path, a)
				continue
			}
			serials[serialOf(t, a)]++
		}
		if len(serials) != 1 {
			t.Errorf("%s: answers of several runs: %v", path, serials)
		}
		f.ranOnce(svc, path, 1)
	}
}

// The node that holds a key's state is killed while the receipt runs. Tries
// through the other nodes are told that the outcome is unknown, never "not
// run", and nothing is sent again: the dead node's memory alone knew.
func TestHolderKilledWhileReceiptRuns(t *testing.T) {
	t.Parallel()
	for _, by := range []string{"key", "ticket"} {
		t.Run(by, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
			svc, holder, path := f.services[0], f.nodes[1], "/receipts/held"
			header := keyed("held")
			if by == "ticket" {
				header = map[string]string{"Chervilloom-Ticket": f.ticket(holder)}
			}
			faults(t, svc.addr, map[string]any{"slow": "3s"})
			ended := make(chan told, 1)
			go func() { ended <- holder.call(t.Context(), "POST", path, receipt, header) }()
			f.awaitRunning(svc)
			holder.kill()
			<-ended
			for _, n := range []*node{f.nodes[0], f.nodes[2]} {
				if a := f.settled(n, path, header); a.whole() || a.outcome != outcome.Unknown {
					t.Errorf("after the holder's death a repeat through %s was told %v", n.vm, a)
				}
			}
			f.awaitIdle(svc)
			f.ranOnce(svc, path, 1)
		})
	}
}

// The platform is down. A receipt that brings only a key is refused and not
// sent, because nothing can claim the key: "not run" where the caller vouches
// that it is the first try, else "unknown", for an earlier try may have run. One
// with a ticket runs, because the ticket names the node that keeps its state;
// repeats through other nodes get the first answer.
func TestPlatformDownTicketRuns(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	svc := f.services[0]
	for _, down := range []string{"close", "unavailable"} {
		faults(t, f.store, map[string]any{"down": down})
		for _, n := range f.nodes {
			path := fmt.Sprintf("/receipts/keyed/%s/%s", down, n.vm)
			header := keyed(path)
			if a := n.call(t.Context(), "POST", path, receipt, header); a.outcome != outcome.Unknown || a.kind != outcome.PlatformDown {
				t.Errorf("%s: a key without the table was told %v", path, a)
			}
			header["Chervilloom-Key-State"] = "first"
			if a := n.call(t.Context(), "POST", path, receipt, header); a.outcome != outcome.NotRun || a.kind != outcome.PlatformDown {
				t.Errorf("%s: the first try of a key without the table was told %v", path, a)
			}
			f.ranOnce(svc, path, 0)

			path = fmt.Sprintf("/receipts/ticket/%s/%s", down, n.vm)
			header = map[string]string{"Chervilloom-Ticket": f.ticket(n)}
			serials := map[uint64]bool{}
			for _, through := range f.nodes {
				a := f.settled(through, path, header)
				if !a.whole() {
					t.Errorf("%s through %s: %v", path, through.vm, a)
					continue
				}
				serials[serialOf(t, a)] = true
			}
			if len(serials) != 1 {
				t.Errorf("%s: answers of several runs: %v", path, serials)
			}
			f.ranOnce(svc, path, 1)
		}
	}
	faults(t, f.store, map[string]any{"down": ""})
}

// The platform applies writes and loses their answers. A receipt with a key
// runs at most once: the node reads its claim back before it sends anything,
// and what callers are told stays true when the table answers again.
func TestLostAnswersOfClaims(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	svc := f.services[0]
	for _, lost := range []int{1, 3, -1} {
		path := fmt.Sprintf("/receipts/lost/%d", lost)
		faults(t, f.store, map[string]any{"lose_answers": lost})
		answers := f.sendEverywhere(path, keyed(path), 2)
		faults(t, f.store, map[string]any{"lose_answers": 0})
		for _, a := range answers {
			if a.outcome == "" {
				t.Errorf("%s: no outcome: %v", path, a)
			}
		}
		for _, n := range f.nodes {
			if a := f.settled(n, path, keyed(path)); a.whole() {
				serialOf(t, a)
			}
		}
		if runs := svc.ran(t, " "+path+" "); runs > 1 {
			t.Errorf("%s: ran %d times", path, runs)
		}
	}
}

// sendEverywhere sends the same receipt `times` times through each node at once.
func (f *testFleet) sendEverywhere(path string, header map[string]string, times int) []told {
	out := make([]told, len(f.nodes)*times)
	var work sync.WaitGroup
	for i := range out {
		work.Go(func() {
			out[i] = f.nodes[i%len(f.nodes)].call(f.t.Context(), "POST", path, receipt, header)
		})
	}
	work.Wait()
	return out
}

// settled repeats a receipt through a node until it is told something else than
// "still running".
func (f *testFleet) settled(n *node, path string, header map[string]string) told {
	f.t.Helper()
	var a told
	until(f.t, path+" is settled",
		func() bool {
			a = n.call(f.t.Context(), "POST", path, receipt, header)
			return a.kind != outcome.StillRunning
		},
		func() string { return a.String() })
	return a
}

// ranOnce checks the service's own count of a receipt.
func (f *testFleet) ranOnce(svc *endpoint, path string, want int) {
	f.t.Helper()
	if runs := svc.ran(f.t, " "+path+" "); runs != want {
		f.t.Errorf("%s ran %d times, want %d", path, runs, want)
	}
}

// ticket asks a node for a ticket.
func (f *testFleet) ticket(n *node) string {
	f.t.Helper()
	a := send(f.t.Context(), http.MethodPost, "http://"+n.caller+"/tickets", "", nil, nil)
	ticket := a.header.Get("Chervilloom-Ticket")
	if ticket == "" {
		f.t.Fatalf("no ticket: %v", a)
	}
	return ticket
}

func (f *testFleet) awaitRunning(svc *endpoint) { f.awaitLoad(svc, func(n int) bool { return n > 0 }) }
func (f *testFleet) awaitIdle(svc *endpoint)    { f.awaitLoad(svc, func(n int) bool { return n == 0 }) }

// awaitLoad polls the service's count of running calls.
func (f *testFleet) awaitLoad(svc *endpoint, holds func(running int) bool) {
	f.t.Helper()
	var l fleet.Load
	until(f.t, "calls running at "+string(svc.vm),
		func() bool {
			res, err := http.Get("http://" + svc.addr + "/load")
			if err != nil {
				return false
			}
			defer res.Body.Close()
			return json.NewDecoder(res.Body).Decode(&l) == nil && holds(l.Running)
		},
		func() string { return describe(l) })
}

// A client gets its ticket from a node whose availability zone has no service,
// and the balancer hands the call to other nodes. The holder of the ticket takes
// the call over and passes it on to a zone that has the service: the call runs
// once and every repeat gets the first answer.
func TestTicketHeldWhereNoServiceIs(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	for _, holder := range f.nodes {
		path := "/receipts/held-by/" + holder.vm
		header := map[string]string{"Chervilloom-Ticket": f.ticket(holder)}
		serials := map[uint64]bool{}
		for _, through := range f.nodes {
			a := f.settled(through, path, header)
			if !a.whole() {
				t.Errorf("%s through %s: %v", path, through.vm, a)
				continue
			}
			serials[serialOf(t, a)] = true
		}
		if len(serials) != 1 {
			t.Errorf("%s: answers of several runs: %v", path, serials)
		}
		f.ranOnce(f.services[0], path, 1)
	}
}
