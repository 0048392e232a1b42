package test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
	"chervilloom/platform/platformtest"
)

// startRestoredFleet starts a fleet and restores its table from a copy that
// predates the newest groups and the revocation of a key. It returns the open
// group heads as well.
func startRestoredFleet(t *testing.T) (f *entryFleet, open []string) {
	t.Helper()
	f = startEntryFleetOn(t, func(s *platformtest.Store) { s.SendEras(); s.SaveCopy() }, "a", "a", "b")
	f.keys = f.keys[:1]
	f.writeNextDocument()
	for _, n := range f.nodes {
		testkit.Eventually(t, "a node refuses the key", func() bool { return f.keyStatus(n, "k2") == http.StatusUnauthorized })
	}
	open = f.groupHeads()
	f.store.Restore()
	f.fleet.RegisterAll()
	return f, open
}

// groupHeads returns the sorted ids of the engines that lead groups.
func (f *entryFleet) groupHeads() []string {
	var out []string
	for _, e := range f.fleet.OpenHeads("m") {
		out = append(out, e.ID)
	}
	slices.Sort(out)
	return out
}

var keyRequests int

// keyStatus sends a lookup with the key to a node and returns the response
// status.
func (f *entryFleet) keyStatus(n *entryNode, key string) int {
	keyRequests++
	id := fmt.Sprintf("key%d", keyRequests)
	code, _ := f.status(n, "GET", "/lookup/1", id, map[string]string{"Authorization": "Token " + key})
	return code
}

// The table loses everything that the nodes and the operator wrote since the
// copy: leases, claims, addresses and the document that revoked a key. The
// nodes must write the claims again, the groups must continue without being
// formed anew, and the key must stay refused before and after the operator
// writes the document again.
func TestEntrySurvivesTableRestore(t *testing.T) {
	is := is.New(t)
	f, open := startRestoredFleet(t)
	testkit.Eventually(t, "leases, claims and addresses are written again", func() bool {
		return f.store.RowCount("leases") >= 2+len(f.nodes) && f.store.RowCount("groups") >= 1
	})
	for _, n := range f.nodes {
		is.True(f.keyStatus(n, "k2") != http.StatusOK)
	}
	is.Equal(f.groupHeads(), open)
	f.rewriteDocument()
	for _, n := range f.nodes {
		testkit.Eventually(t, "a node accepts the valid key", func() bool { return f.keyStatus(n, "k1") == http.StatusOK })
		testkit.Eventually(t, "a node refuses the revoked key with 401", func() bool {
			code := f.keyStatus(n, "k2")
			is.True(code != http.StatusOK) // 503 until the document is confirmed again
			return code == http.StatusUnauthorized
		})
		code, _ := f.status(n, "POST", "/text/x", fmt.Sprintf("after%d", n.cmd.Process.Pid), textHeader(7))
		is.Equal(code, http.StatusOK)
	}
	is.Equal(f.groupHeads(), open)
}

// All nodes are killed when the table is restored, so that no node remembers
// the claims. New nodes must find the groups from the engines' reports and
// close none of them.
func TestGroupsSurviveTableRestoreAndNodeRestart(t *testing.T) {
	is := is.New(t)
	f, open := startRestoredFleet(t)
	for _, n := range f.nodes {
		n.kill()
	}
	f.nodes = nil
	f.rewriteDocument()
	f.startNode("front-a-9", "a")
	f.startNode("front-b-9", "b")
	for _, n := range f.nodes {
		testkit.Eventually(t, "a node is ready", func() bool { return f.isReady(n) })
		testkit.Eventually(t, "a node serves streams", func() bool {
			code, _ := f.status(n, "POST", "/text/x", fmt.Sprintf("later%d", n.cmd.Process.Pid), textHeader(7))
			return code == http.StatusOK
		})
	}
	testkit.Eventually(t, "the claims are written again", func() bool { return f.store.RowCount("groups") >= 1 })
	is.Equal(f.groupHeads(), open)
}
