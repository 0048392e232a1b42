package cut

import (
	"fmt"
	"slices"
	"testing"

	"chervilloom/internal/operator"
	"chervilloom/internal/outcome"
)

// The availability zones are cut from each other, the platform is not. Callers
// of each zone go on getting its groups' and services' answers, because the
// check of members is made within the zone. A receipt for the other zone's
// service is refused as not run and did not run. What an operator has one side
// accept comes into force on both, for the table carries it.
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
		t.Errorf("a receipt beyond the cut ran %d times and was told %v", f.countReceiptRuns("/receipts/beyond"), a)
	}

	base := uint64(1)
	for i, n := range f.nodes() {
		doc := f.document(20 + i)
		base = f.applyDocument(n, base, doc)
		f.awaitRevision(base, doc)
	}
	for _, n := range f.nodes() {
		f.awaitStatus(n, "is still cut", func(s operator.Status) bool { return !seesAlive(s, f.other(n)) })
		f.checkZoneServed(n, "cut, with a new configuration")
	}

	f.reconnect()
	f.awaitConnected()
	f.awaitReceiptRelayed("/receipts/healed")
	stop()
}

// awaitReceiptRelayed sends a receipt through zoneB to zoneA's service, again while it
// is told not to have run.
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
		f.t.Errorf("%s ran %d times and was told %v %v", path, f.countReceiptRuns(path), a, err)
	}
}

// The availability zones are cut from each other and the platform is down as
// well. Formed groups go on serving in each zone. A receipt with a key is
// refused and does not run, because nothing can claim the key; one with a ticket
// runs once, and the side that can't reach the ticket's holder tells a repeat
// that its outcome is unknown. After healing nothing has gone back.
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
		f.checkZoneServed(n, "cut and without the platform")
		f.checkKeyRefused(n)
		tickets[n] = f.requestTicket(n)
		serials[n] = f.checkTicketRunsOnce(n, tickets[n])
	}
	for _, n := range f.nodes() {
		path := ticketPath(f.other(n))
		a := f.awaitSettled(n, counter, path, tickets[f.other(n)])
		if a.isComplete() || a.outcome != outcome.Unknown {
			t.Errorf("a repeat of %s beyond the cut through %s was told %v", path, n.vm, a)
		}
	}

	setFaults(t, f.platformAddr, map[string]any{"down": ""})
	f.reconnect()
	f.awaitConnected()
	f.awaitRevision(revision, doc)
	if after := f.servingGenerations(); !slices.Equal(after, before) {
		t.Errorf("groups were %v and are %v", before, after)
	}
	for _, n := range f.nodes() {
		f.awaitFirstAnswer(f.other(n), ticketPath(n), tickets[n], serials[n])
	}
	stop()
}

// awaitFirstAnswer repeats a receipt through a node until it gets the first
// answer. Until the node's next dial of the holder is due it may only be told
// that the outcome is unknown.
func (f *testFleet) awaitFirstAnswer(n *node, path string, ticket map[string]string, serial uint64) {
	f.t.Helper()
	var a callResult
	waitUntil(f.t, n.vm+" gets the first answer of "+path,
		func() bool {
			a = f.awaitSettled(n, counter, path, ticket)
			if !a.isComplete() && a.outcome != outcome.Unknown {
				f.t.Fatalf("a repeat of %s through %s was told %v", path, n.vm, a)
			}
			return a.isComplete()
		},
		func() string { return a.String() })
	if serialOf(f.t, a) != serial || f.countReceiptRuns(path) != 1 {
		f.t.Errorf("%s ran %d times; a repeat through %s was told %v", path, f.countReceiptRuns(path), n.vm, a)
	}
}

// servingGenerations returns the groups that serve, as zoneA's node believes.
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

func (f *testFleet) checkKeyRefused(n *node) {
	f.t.Helper()
	path := "/receipts/keyed/" + n.vm
	header := keyHeader(path)
	if a := n.call(f.t.Context(), counter, "POST", path, receipt, header); a.outcome != outcome.Unknown || a.kind != outcome.PlatformDown {
		f.t.Errorf("%s: a key without the table was told %v", n.vm, a)
	}
	header["Chervilloom-Key-State"] = "first"
	if a := n.call(f.t.Context(), counter, "POST", path, receipt, header); a.outcome != outcome.NotRun || a.kind != outcome.PlatformDown {
		f.t.Errorf("%s: the first try of a key without the table was told %v", n.vm, a)
	}
	if runs := f.countReceiptRuns(path); runs != 0 {
		f.t.Errorf("%s ran %d times", path, runs)
	}
}

func ticketPath(holder *node) string { return "/receipts/ticket/" + holder.vm }

// checkTicketRunsOnce sends a receipt twice with the node's own ticket.
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
