// Package lease decides which node holds a duty and for how long.
//
// A lease is a row of the platform's table. Rendezvous hashing only says who
// tries first; the conditional write of the row decides. The holder counts its
// term on CLOCK_BOOTTIME from before it sent the write; every other node counts
// from when it first saw the row's version and waits the term and a margin
// out. No clocks are compared between VMs.
package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chervilloom/internal/fleet"
)

// Rank returns the VMs in rendezvous order for the subject, highest first. All
// nodes that know the same VMs get the same order, and a VM that leaves moves
// only the subjects that it was first for.
func Rank(subject string, vms []fleet.VM) []fleet.VM {
	type scored struct {
		vm    fleet.VM
		score uint64
	}
	all := make([]scored, len(vms))
	for i, vm := range vms {
		all[i] = scored{vm, Score(subject, vm)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm, b.vm)
	})
	out := make([]fleet.VM, len(all))
	for i := range all {
		out[i] = all[i].vm
	}
	return out
}

// Score is the rendezvous weight of the VM for the subject.
func Score(subject string, vm fleet.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(subject) // a hash never fails to write
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}

// Position returns how many of the other VMs come before self in rendezvous
// order for the subject. Self need not be among them.
func Position(subject string, self fleet.VM, others []fleet.VM) int {
	own := Score(subject, self)
	n := 0
	for _, vm := range others {
		if vm == self {
			continue
		}
		s := Score(subject, vm)
		if s > own || s == own && vm < self {
			n++
		}
	}
	return n
}
