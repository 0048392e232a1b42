package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
)

// Credentials of the second operator of the test fleets.
const (
	otherToken = "demo-other"
	otherHash  = "d3fdf8dc66e8fb688df2a29c0c708a4608dab6d2b946e793ced183bf1dad85a1"
)

// client returns an operator client for the node.
func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operator, operatorToken)
}

// status returns the node's status.
func (n *node) status(t *testing.T) operator.Status {
	t.Helper()
	s, err := n.client().Status(t.Context())
	must(t, err)
	return s
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

// awaitStatusOnAll polls the status of each node until it satisfies the
// condition.
func (f *testFleet) awaitStatusOnAll(description string, condition func(operator.Status) bool) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.awaitStatus(n, description, condition)
	}
}

// formatJSON formats v as indented JSON for failure messages.
func formatJSON(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// servingGroups returns the groups that accept requests.
func servingGroups(s operator.Status) []operator.GroupStatus {
	return slices.DeleteFunc(slices.Clone(s.Groups), func(g operator.GroupStatus) bool {
		return !g.Whole || g.Phase != string(fleet.PhaseServing)
	})
}

// countPresentServices returns the number of plain services that the node sees.
func countPresentServices(s operator.Status) int {
	n := 0
	for _, e := range s.Endpoints {
		if e.Kind == string(fleet.KindService) && e.State == "present" {
			n++
		}
	}
	return n
}

// awaitGroup waits until the first node reports a serving group, and returns
// the first one.
func (f *testFleet) awaitGroup() operator.GroupStatus {
	f.t.Helper()
	s := f.awaitStatus(f.nodes[0], "a group is serving", func(s operator.Status) bool { return len(servingGroups(s)) > 0 })
	return servingGroups(s)[0]
}

// engine returns the engine on the VM.
func (f *testFleet) engine(vm string) *endpoint {
	f.t.Helper()
	for _, e := range f.engines {
		if string(e.vm) == vm {
			return e
		}
	}
	f.t.Fatalf("no engine %q", vm)
	return nil
}

// awaitRepaired waits until every node reports a serving group newer than old,
// and returns it.
func (f *testFleet) awaitRepaired(old operator.GroupStatus) operator.GroupStatus {
	f.t.Helper()
	isNewer := func(s operator.Status) bool {
		groups := servingGroups(s)
		return len(groups) > 0 && (groups[0].Group != old.Group || groups[0].Generation > old.Generation)
	}
	f.awaitStatusOnAll("a later generation serves", isNewer)
	return f.awaitGroup()
}
