package lease

import (
	"slices"

	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
)

// Position returns the number of other VMs that precede self in rendezvous order for the
// subject. others may contain self.
func Position(subject string, self fleet.VM, others []fleet.VM) int {
	all := append(slices.Clone(others), self)
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.Index(membership.TopK(subject, all, len(all)), self)
}
