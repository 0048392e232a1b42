package test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"chervilloom/internal/fleet"
	"chervilloom/internal/operator"
)

// Operators of the test fleets besides the first.
const (
	otherToken = "demo-other"
	otherHash  = "d3fdf8dc66e8fb688df2a29c0c708a4608dab6d2b946e793ced183bf1dad85a1"
)

func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operator, operatorToken)
}

// status returns what the node believes.
func (n *node) status(t *testing.T) operator.Status {
	t.Helper()
	s, err := n.client().Status(t.Context())
	must(t, err)
	return s
}

// await polls a node's status until it holds.
func (f *testFleet) await(n *node, what string, holds func(operator.Status) bool) operator.Status {
	f.t.Helper()
	var last operator.Status
	until(f.t, n.vm+": "+what,
		func() bool {
			s, err := n.client().Status(f.t.Context())
			last = s
			return err == nil && holds(s)
		},
		func() string { return describe(last) })
	return last
}

// awaitAll polls all nodes' status until it holds at each.
func (f *testFleet) awaitAll(what string, holds func(operator.Status) bool) {
	f.t.Helper()
	for _, n := range f.nodes {
		f.await(n, what, holds)
	}
}

func describe(v any) string {
	b, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

// wholeGroups returns the groups that take requests.
func wholeGroups(s operator.Status) []operator.GroupStatus {
	return slices.DeleteFunc(slices.Clone(s.Groups), func(g operator.GroupStatus) bool {
		return !g.Whole || g.Phase != string(fleet.PhaseServing)
	})
}

func servicesSeen(s operator.Status) int {
	n := 0
	for _, e := range s.Endpoints {
		if e.Kind == string(fleet.KindService) && e.State == "present" {
			n++
		}
	}
	return n
}

// group returns the one whole group as the first node believes it.
func (f *testFleet) group() operator.GroupStatus {
	f.t.Helper()
	s := f.await(f.nodes[0], "a group is whole", func(s operator.Status) bool { return len(wholeGroups(s)) > 0 })
	return wholeGroups(s)[0]
}

// engine returns the engine of the VM.
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

// repaired waits until every node believes that a later generation serves
// without the VM's old life, and returns it.
func (f *testFleet) repaired(old operator.GroupStatus) operator.GroupStatus {
	f.t.Helper()
	newer := func(s operator.Status) bool {
		w := wholeGroups(s)
		return len(w) > 0 && (w[0].Group != old.Group || w[0].Generation > old.Generation)
	}
	f.awaitAll("a later generation serves", newer)
	return f.group()
}
