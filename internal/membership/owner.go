package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/fleet"
)

// Owner returns the subject's owner by rendezvous hashing, or "" if there are
// no nodes. The result does not depend on the order of nodes; removing a node
// moves only the subjects that it owned.
func Owner(subject string, nodes []fleet.VM) fleet.VM {
	var owner fleet.VM
	var best uint64
	for _, vm := range nodes {
		if s := score(subject, vm); owner == "" || s > best || (s == best && vm < owner) {
			owner, best = vm, s
		}
	}
	return owner
}

// TopK returns the first k nodes for the subject in rendezvous order, the owner
// first.
func TopK(subject string, nodes []fleet.VM, k int) []fleet.VM {
	type scored struct {
		vm    fleet.VM
		score uint64
	}
	all := make([]scored, 0, len(nodes))
	for _, vm := range nodes {
		all = append(all, scored{vm: vm, score: score(subject, vm)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	out := make([]fleet.VM, 0, min(k, len(all)))
	for _, s := range all[:min(k, len(all))] {
		out = append(out, s.vm)
	}
	return out
}

// score hashes node and subject with a separator, so that different pairs never
// concatenate to the same string.
func score(subject string, vm fleet.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(vm))
	d.Write(separator)
	d.WriteString(subject)
	return d.Sum64()
}

var separator = []byte{0}
