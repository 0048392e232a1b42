package cut

import (
	"fmt"
	"slices"
	"testing"

	"chervilloom/internal/operator"
	"chervilloom/internal/outcome"
)

// The availability zones are disconnected from each other but not from the
// platform. Callers of each zone must still get responses from its groups and
// services, because members are probed within the zone. A receipt for the other
// zone's service must be refused as not run and must not run. A configuration
// applied in either zone must come into use in both, because the nodes read it
// from the platform's table.
func TestZonesDisconnectedFromEachOther(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA, zoneB}, tokensPerSec: 200})
	stop := f.watchRevisions()
	f.disconnect()
	f.awaitDisconnected()
	for _, n := range f.nodes() {
		f.checkZoneServed(n, "cut")
	}
	a := f.b.call(t.Context(), ledger, "POST", "/receipts/beyond", receipt, nil)
	if a.outcome != outcome.NotRun || f.countReceiptRuns("/receipts/beyond") != 0 {
		t.Errorf("a receipt for the unreachable zone ran %d times and got %v", f.countReceiptRuns("/receipts/beyond"), a)
	}

	base := uint64(1)
	for i, n := range f.nodes() {
		doc := f.document(20 + i)
		base = f.applyDocument(n, base, doc)
		f.awaitRevision(base, doc)
	}
	for _, n := range f.nodes() {
		f.awaitStatus(n, "is still disconnected", func(s operator.Status) bool { return !seesAlive(s, f.other(n)) })
		f.checkZoneServed(n, "disconnected, with a new configuration")
	}

	f.reconnect()
	f.awaitConnected()
	f.awaitReceiptRelayed("/receipts/healed")
	stop()
}

// awaitReceiptRelayed sends a receipt through zoneB to zoneA's service, and
// retries while it is refused as not run.
func (f *testFleet) awaitReceiptRelayed(path string) {
	f.t.Helper()
	var a callResult
	waitUntil(f.t, path+" is relayed",
		func() bool {
			a = f.b.call(f.t.Context(), ledger, "POST", path, receipt, nil)
			return a.outcome != outcome.NotRun
		},
		func() string { return a.String() })
	if err := checkCall("POST", path, receipt, a); err != nil || !a.isComplete() || f.countReceiptRuns(path) != 1 {
		f.t.Errorf("%s ran %d times and got %v %v", path, f.countReceiptRuns(path), a, err)
	}
}

// The availability zones are disconnected from each other and the platform is
// down. Existing groups must still be served in each zone. A receipt with a key
// must be refused and not run, because the key can't be claimed. A receipt with
// a ticket must run once, and a node that can't reach the ticket's holder must
// report a repeat's outcome as unknown. After recovery no configuration or
// group may have reverted.
func TestZonesDisconnectedWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSpec{groupZones: []string{zoneA, zoneB}, tokensPerSec: 200})
	stop := f.watchRevisions()
	doc := f.document(30)
	revision := f.applyDocument(f.b, 1, doc)
	f.awaitRevision(revision, doc)
	before := f.servingGenerations()

	setFaults(t, f.platformAddr, map[string]any{"down": "close"})
	f.disconnect()
	f.awaitDisconnected()
	tickets := map[*node]map[string]string{}
	serials := map[*node]uint64{}
	for _, n := range f.nodes() {
		f.checkZoneServed(n, "disconnected and without the platform")
		f.checkKeyRefused(n)
		tickets[n] = f.requestTicket(n)
		serials[n] = f.checkTicketRunsOnce(n, tickets[n])
	}
	for _, n := range f.nodes() {
		path := ticketPath(f.other(n))
		a := f.awaitSettled(n, counter, path, tickets[f.other(n)])
		if a.isComplete() || a.outcome != outcome.Unknown {
			t.Errorf("a repeat of %s through the disconnected node %s got %v", path, n.vm, a)
		}
	}

	setFaults(t, f.platformAddr, map[string]any{"down": ""})
	f.reconnect()
	f.awaitConnected()
	f.awaitRevision(revision, doc)
	if after := f.servingGenerations(); !slices.Equal(after, before) {
		t.Errorf("serving groups changed from %v to %v", before, after)
	}
	for _, n := range f.nodes() {
		f.awaitFirstAnswer(f.other(n), ticketPath(n), tickets[n], serials[n])
	}
	stop()
}

// awaitFirstAnswer repeats a receipt through a node until it gets the first
// response. Until the node redials the ticket's holder, only an unknown outcome
// is allowed.
func (f *testFleet) awaitFirstAnswer(n *node, path string, ticket map[string]string, serial uint64) {
	f.t.Helper()
	var a callResult
	waitUntil(f.t, n.vm+" returns the first response of "+path,
		func() bool {
			a = f.awaitSettled(n, counter, path, ticket)
			if !a.isComplete() && a.outcome != outcome.Unknown {
				f.t.Fatalf("a repeat of %s through %s got %v", path, n.vm, a)
			}
			return a.isComplete()
		},
		func() string { return a.String() })
	if serialOf(f.t, a) != serial || f.countReceiptRuns(path) != 1 {
		f.t.Errorf("%s ran %d times; a repeat through %s got %v", path, f.countReceiptRuns(path), n.vm, a)
	}
}

// servingGenerations returns the groups and generations that serve according to
// zoneA's node.
func (f *testFleet) servingGenerations() []string {
	f.t.Helper()
	s := f.awaitStatus(f.a, "all groups serve", func(s operator.Status) bool {
		return len(servingGroups(s)) == len(f.spec.groupZones)
	})
	var out []string
	for _, g := range servingGroups(s) {
		out = append(out, fmt.Sprintf("%s/%d", g.Group, g.Generation))
	}
	slices.Sort(out)
	return out
}

// checkKeyRefused requires that a receipt with a key is refused without running
// while the platform is down.
func (f *testFleet) checkKeyRefused(n *node) {
	f.t.Helper()
	path := "/receipts/keyed/" + n.vm
	header := keyHeader(path)
	if a := n.call(f.t.Context(), counter, "POST", path, receipt, header); a.outcome != outcome.Unknown || a.kind != outcome.PlatformDown {
		f.t.Errorf("%s: a keyed call without the platform got %v", n.vm, a)
	}
	header["Chervilloom-Key-State"] = "first"
	if a := n.call(f.t.Context(), counter, "POST", path, receipt, header); a.outcome != outcome.NotRun || a.kind != outcome.PlatformDown {
		f.t.Errorf("%s: the first attempt of a keyed call without the platform got %v", n.vm, a)
	}
	if runs := f.countReceiptRuns(path); runs != 0 {
		f.t.Errorf("%s ran %d times", path, runs)
	}
}

func ticketPath(holder *node) string { return "/receipts/ticket/" + holder.vm }

// checkTicketRunsOnce sends a receipt twice with the node's ticket, requires
// the same response, and returns its serial number.
func (f *testFleet) checkTicketRunsOnce(n *node, ticket map[string]string) uint64 {
	f.t.Helper()
	path := ticketPath(n)
	var serials []uint64
	for range 2 {
		a := f.awaitSettled(n, counter, path, ticket)
		if err := checkCall("POST", path, receipt, a); err != nil || !a.isComplete() {
			f.t.Fatalf("%s: %v %v", path, err, a)
		}
		serials = append(serials, serialOf(f.t, a))
	}
	if serials[0] != serials[1] || f.countReceiptRuns(path) != 1 {
		f.t.Errorf("%s ran %d times, serials %v", path, f.countReceiptRuns(path), serials)
	}
	return serials[0]
}
