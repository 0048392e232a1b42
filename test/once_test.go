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

// keyHeader returns the request headers for an idempotency key.
func keyHeader(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }

// A client sends one receipt through all nodes at once and repeats it
// afterwards. It must run once, because the key is claimed in the table before
// the receipt is sent: each attempt gets the first response or an error that it
// is still running, and every repeat gets the first response.
func TestSameKeyThroughAllNodesRunsOnce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	svc := f.services[0]
	setFaults(t, svc.addr, map[string]any{"slow": "300ms"})
	for round := range 5 {
		path := fmt.Sprintf("/receipts/%d", round)
		answers := f.sendThroughAllNodes(path, keyHeader(path), 4)
		serials := map[uint64]int{}
		for _, a := range answers {
			switch {
			case a.isComplete():
				serials[serialOf(t, a)]++
			case a.kind == outcome.StillRunning:
			default:
				t.Errorf("%s: a repeat got %v", path, a)
			}
		}
		for _, n := range f.nodes {
			a := f.awaitSettled(n, path, keyHeader(path))
			if !a.isComplete() {
				t.Errorf("%s: a repeat did not get the first response: %v", path, a)
				continue
			}
			serials[serialOf(t, a)]++
		}
		if len(serials) != 1 {
			t.Errorf("%s: responses of several executions: %v", path, serials)
		}
		f.checkRunCount(svc, path, 1)
	}
}

// The node that holds a key's state is killed while the receipt runs. Attempts
// through other nodes must report the outcome as unknown, never as not run, and
// the receipt must not be sent again: only the killed node knew the result.
func TestKeyHolderKilledDuringCall(t *testing.T) {
	t.Parallel()
	for _, by := range []string{"key", "ticket"} {
		t.Run(by, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
			svc, holder, path := f.services[0], f.nodes[1], "/receipts/held"
			header := keyHeader("held")
			if by == "ticket" {
				header = map[string]string{"Chervilloom-Ticket": f.requestTicket(holder)}
			}
			setFaults(t, svc.addr, map[string]any{"slow": "3s"})
			ended := make(chan callResult, 1)
			go func() { ended <- holder.call(t.Context(), "POST", path, receipt, header) }()
			f.awaitRunning(svc)
			holder.kill()
			<-ended
			for _, n := range []*node{f.nodes[0], f.nodes[2]} {
				if a := f.awaitSettled(n, path, header); a.isComplete() || a.outcome != outcome.Unknown {
					t.Errorf("after the holder was killed a repeat through %s got %v", n.vm, a)
				}
			}
			f.awaitIdle(svc)
			f.checkRunCount(svc, path, 1)
		})
	}
}

// The platform is down. A receipt with only a key must be refused and not sent,
// because the key can't be claimed: as not run if the caller declares it the
// first attempt, otherwise as unknown, because an earlier attempt may have run.
// A receipt with a ticket must run, because the ticket names the node that
// holds its state, and repeats through other nodes must get the first response.
func TestTicketedCallRunsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	svc := f.services[0]
	for _, down := range []string{"close", "unavailable"} {
		setFaults(t, f.platformAddr, map[string]any{"down": down})
		for _, n := range f.nodes {
			path := fmt.Sprintf("/receipts/keyed/%s/%s", down, n.vm)
			header := keyHeader(path)
			if a := n.call(t.Context(), "POST", path, receipt, header); a.outcome != outcome.Unknown || a.kind != outcome.PlatformDown {
				t.Errorf("%s: a keyed call without the platform got %v", path, a)
			}
			header["Chervilloom-Key-State"] = "first"
			if a := n.call(t.Context(), "POST", path, receipt, header); a.outcome != outcome.NotRun || a.kind != outcome.PlatformDown {
				t.Errorf("%s: the first attempt of a keyed call without the platform got %v", path, a)
			}
			f.checkRunCount(svc, path, 0)

			path = fmt.Sprintf("/receipts/ticket/%s/%s", down, n.vm)
			header = map[string]string{"Chervilloom-Ticket": f.requestTicket(n)}
			serials := map[uint64]bool{}
			for _, through := range f.nodes {
				a := f.awaitSettled(through, path, header)
				if !a.isComplete() {
					t.Errorf("%s through %s: %v", path, through.vm, a)
					continue
				}
				serials[serialOf(t, a)] = true
			}
			if len(serials) != 1 {
				t.Errorf("%s: responses of several executions: %v", path, serials)
			}
			f.checkRunCount(svc, path, 1)
		}
	}
	setFaults(t, f.platformAddr, map[string]any{"down": ""})
}

// The platform applies writes and loses the responses. A receipt with a key
// must run at most once, because the node reads its claim back before sending
// the receipt, and reported outcomes must still be true once the platform
// responds again.
func TestClaimsWithLostPlatformAnswers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	svc := f.services[0]
	for _, lost := range []int{1, 3, -1} {
		path := fmt.Sprintf("/receipts/lost/%d", lost)
		setFaults(t, f.platformAddr, map[string]any{"lose_answers": lost})
		answers := f.sendThroughAllNodes(path, keyHeader(path), 2)
		setFaults(t, f.platformAddr, map[string]any{"lose_answers": 0})
		for _, a := range answers {
			if a.outcome == "" {
				t.Errorf("%s: response without outcome: %v", path, a)
			}
		}
		for _, n := range f.nodes {
			if a := f.awaitSettled(n, path, keyHeader(path)); a.isComplete() {
				serialOf(t, a)
			}
		}
		if runs := svc.countExecutions(t, " "+path+" "); runs > 1 {
			t.Errorf("%s: ran %d times", path, runs)
		}
	}
}

// sendThroughAllNodes sends the same receipt concurrently, `times` times
// through each node.
func (f *testFleet) sendThroughAllNodes(path string, header map[string]string, times int) []callResult {
	out := make([]callResult, len(f.nodes)*times)
	var work sync.WaitGroup
	for i := range out {
		work.Go(func() {
			out[i] = f.nodes[i%len(f.nodes)].call(f.t.Context(), "POST", path, receipt, header)
		})
	}
	work.Wait()
	return out
}

// awaitSettled repeats a receipt through a node until the response is no longer
// "still running".
func (f *testFleet) awaitSettled(n *node, path string, header map[string]string) callResult {
	f.t.Helper()
	var a callResult
	waitUntil(f.t, path+" is settled",
		func() bool {
			a = n.call(f.t.Context(), "POST", path, receipt, header)
			return a.kind != outcome.StillRunning
		},
		func() string { return a.String() })
	return a
}

// checkRunCount compares the service's execution count of a receipt with want.
func (f *testFleet) checkRunCount(svc *endpoint, path string, want int) {
	f.t.Helper()
	if runs := svc.countExecutions(f.t, " "+path+" "); runs != want {
		f.t.Errorf("%s ran %d times, want %d", path, runs, want)
	}
}

// requestTicket requests a ticket from a node.
func (f *testFleet) requestTicket(n *node) string {
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

// awaitLoad waits until the number of calls running at the service satisfies
// the condition.
func (f *testFleet) awaitLoad(svc *endpoint, condition func(running int) bool) {
	f.t.Helper()
	var l fleet.Load
	waitUntil(f.t, "calls running at "+string(svc.vm),
		func() bool {
			res, err := http.Get("http://" + svc.addr + "/load")
			if err != nil {
				return false
			}
			defer res.Body.Close()
			return json.NewDecoder(res.Body).Decode(&l) == nil && condition(l.Running)
		},
		func() string { return formatJSON(l) })
}

// A client gets its ticket from a node whose availability zone has no service,
// and sends the call to other nodes. They must forward it to the ticket's
// holder, which relays it to a zone with the service: the call must run once
// and every repeat must get the first response.
func TestTicketHolderInZoneWithoutService(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{zones: []string{zoneA, zoneB, zoneC}, services: 1})
	for _, holder := range f.nodes {
		path := "/receipts/held-by/" + holder.vm
		header := map[string]string{"Chervilloom-Ticket": f.requestTicket(holder)}
		serials := map[uint64]bool{}
		for _, through := range f.nodes {
			a := f.awaitSettled(through, path, header)
			if !a.isComplete() {
				t.Errorf("%s through %s: %v", path, through.vm, a)
				continue
			}
			serials[serialOf(t, a)] = true
		}
		if len(serials) != 1 {
			t.Errorf("%s: responses of several executions: %v", path, serials)
		}
		f.checkRunCount(f.services[0], path, 1)
	}
}
