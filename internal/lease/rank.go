package lease

import (
	"slices"

	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
)

// Position returns how many of the other VMs come before self in rendezvous
// order for the subject. Self need not be among them.
func Position(subject string, self fleet.VM, others []fleet.VM) int {
	all := append(slices.Clone(others), self)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.Index(membership.TopK(subject, all, len(all)), self)
}
