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
func TestZonesCutFromEachOther(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{groupsIn: []string{zoneA, zoneB}, tokensPerSec: 200})
	stop := f.neverBack()
	f.cut()
	f.awaitApart()
	for _, n := range f.nodes() {
		f.mustServe(n, "cut")
	}
	a := f.b.call(t.Context(), ledger, "POST", "/receipts/beyond", receipt, nil)
	if a.outcome != outcome.NotRun || f.runs("/receipts/beyond") != 0 {
		t.Errorf("a receipt beyond the cut ran %d times and was told %v", f.runs("/receipts/beyond"), a)
	}

	base := uint64(1)
	for i, n := range f.nodes() {
		doc := f.document(20 + i)
		base = f.accept(n, base, doc)
		f.inForce(base, doc)
	}
	for _, n := range f.nodes() {
		f.await(n, "is still cut", func(s operator.Status) bool { return !sees(s, f.other(n)) })
		f.mustServe(n, "cut, with a new configuration")
	}

	f.heal()
	f.awaitTogether()
	f.relaysReceipt("/receipts/healed")
	stop()
}

// relaysReceipt sends a receipt through zoneB to zoneA's service, again while it
// is told not to have run.
func (f *testFleet) relaysReceipt(path string) {
	f.t.Helper()
	var a told
	until(f.t, path+" is relayed",
		func() bool {
			a = f.b.call(f.t.Context(), ledger, "POST", path, receipt, nil)
			return a.outcome != outcome.NotRun
		},
		func() string { return a.String() })
	if err := checkCall("POST", path, receipt, a); err != nil || !a.whole() || f.runs(path) != 1 {
		f.t.Errorf("%s ran %d times and was told %v %v", path, f.runs(path), a, err)
	}
}

// The availability zones are cut from each other and the platform is down as
// well. Formed groups go on serving in each zone. A receipt with a key is
// refused and does not run, because nothing can claim the key; one with a ticket
// runs once, and the side that can't reach the ticket's holder tells a repeat
// that its outcome is unknown. After healing nothing has gone back.
func TestZonesCutWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, plan{groupsIn: []string{zoneA, zoneB}, tokensPerSec: 200})
	stop := f.neverBack()
	doc := f.document(30)
	revision := f.accept(f.b, 1, doc)
	f.inForce(revision, doc)
	before := f.generations()

	faults(t, f.store, map[string]any{"down": "close"})
	f.cut()
	f.awaitApart()
	held := map[*node]map[string]string{}
	serials := map[*node]uint64{}
	for _, n := range f.nodes() {
		f.mustServe(n, "cut and without the platform")
		f.keyIsRefused(n)
		held[n] = f.ticket(n)
		serials[n] = f.ticketRunsOnce(n, held[n])
	}
	for _, n := range f.nodes() {
		path := ticketPath(f.other(n))
		a := f.settled(n, counter, path, held[f.other(n)])
		if a.whole() || a.outcome != outcome.Unknown {
			t.Errorf("a repeat of %s beyond the cut through %s was told %v", path, n.vm, a)
		}
	}

	faults(t, f.store, map[string]any{"down": ""})
	f.heal()
	f.awaitTogether()
	f.inForce(revision, doc)
	if after := f.generations(); !slices.Equal(after, before) {
		t.Errorf("groups were %v and are %v", before, after)
	}
	for _, n := range f.nodes() {
		f.firstAnswerThrough(f.other(n), ticketPath(n), held[n], serials[n])
	}
	stop()
}

// firstAnswerThrough repeats a receipt through a node until it gets the first
// answer. Until the node's next dial of the holder is due it may only be told
// that the outcome is unknown.
func (f *testFleet) firstAnswerThrough(n *node, path string, ticket map[string]string, serial uint64) {
	f.t.Helper()
	var a told
	until(f.t, n.vm+" gets the first answer of "+path,
		func() bool {
			a = f.settled(n, counter, path, ticket)
			if !a.whole() && a.outcome != outcome.Unknown {
				f.t.Fatalf("a repeat of %s through %s was told %v", path, n.vm, a)
			}
			return a.whole()
		},
		func() string { return a.String() })
	if serialOf(f.t, a) != serial || f.runs(path) != 1 {
		f.t.Errorf("%s ran %d times; a repeat through %s was told %v", path, f.runs(path), n.vm, a)
	}
}

// generations returns the groups that serve, as zoneA's node believes.
func (f *testFleet) generations() []string {
	f.t.Helper()
	s := f.await(f.a, "all groups serve", func(s operator.Status) bool {
		return len(wholeGroups(s)) == len(f.plan.groupsIn)
	})
	var out []string
	for _, g := range wholeGroups(s) {
		out = append(out, fmt.Sprintf("%s/%d", g.Group, g.Generation))
	}
	slices.Sort(out)
	return out
}

func (f *testFleet) keyIsRefused(n *node) {
	f.t.Helper()
	path := "/receipts/keyed/" + n.vm
	header := keyed(path)
	if a := n.call(f.t.Context(), counter, "POST", path, receipt, header); a.outcome != outcome.Unknown || a.kind != outcome.PlatformDown {
		f.t.Errorf("%s: a key without the table was told %v", n.vm, a)
	}
	header["Chervilloom-Key-State"] = "first"
	if a := n.call(f.t.Context(), counter, "POST", path, receipt, header); a.outcome != outcome.NotRun || a.kind != outcome.PlatformDown {
		f.t.Errorf("%s: the first try of a key without the table was told %v", n.vm, a)
	}
	if runs := f.runs(path); runs != 0 {
		f.t.Errorf("%s ran %d times", path, runs)
	}
}

func ticketPath(holder *node) string { return "/receipts/ticket/" + holder.vm }

// ticketRunsOnce sends a receipt twice with the node's own ticket.
func (f *testFleet) ticketRunsOnce(n *node, ticket map[string]string) uint64 {
	f.t.Helper()
	path := ticketPath(n)
	var serials []uint64
	for range 2 {
		a := f.settled(n, counter, path, ticket)
		if err := checkCall("POST", path, receipt, a); err != nil || !a.whole() {
			f.t.Fatalf("%s: %v %v", path, err, a)
		}
		serials = append(serials, serialOf(f.t, a))
	}
	if serials[0] != serials[1] || f.runs(path) != 1 {
		f.t.Errorf("%s ran %d times, serials %v", path, f.runs(path), serials)
	}
	return serials[0]
}
