package capacity

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/fleet"
)

// PrefixUsage is the usage and size of a cached prefix.
type PrefixUsage struct {
	Prefix      uint64
	Tokens      int     // prompt tokens beyond those of shorter prefixes in the list
	UsesPerHour float64 // number of uses
	Bytes       int64   // size of its KV cache
	Held        bool    // also cached by a replica that is kept
}

// ExportInput is the input of AdviseExport: the cached prefixes of a group and the
// costs of computing and moving them.
type ExportInput struct {
	Group           fleet.GroupID
	PrefixUsage     []PrefixUsage
	PrefillPerToken time.Duration // time to compute one prompt token
	BytesPerSecond  float64       // transfer rate to and from the object store
	PerObjectCost   time.Duration // fixed cost of each export and each import
	TimeLimit       time.Duration // time until the drain ends; exports must complete within it
	CacheLifetime   time.Duration // expected time for which an imported prefix stays cached
}

// ExportAdvice lists the prefixes that a group should export before it is dissolved.
type ExportAdvice struct {
	Group     fleet.GroupID
	Prefixes  []uint64
	NetSaving time.Duration // expected net saving of engine time
	Reason    string
}

// Reasons of an ExportAdvice.
const (
	reasonExport     = "computing these prefixes again costs more than moving them"
	reasonNoSaving   = "no prefix is used enough to pay for moving it"
	reasonNoTransfer = "the rate or the time to export is zero"
)

// AdviseExport selects the prefixes of a group about to drain whose export saves
// more engine time than it costs. A prefix saves at most one computation, because
// the first use after the move would have computed and cached it. It saves that
// only if it is used while it is still cached and no kept replica has it.
func AdviseExport(e ExportInput) ExportAdvice {
	a := ExportAdvice{Group: e.Group, Reason: reasonNoSaving}
	if e.BytesPerSecond <= 0 || e.TimeLimit <= 0 {
		a.Reason = reasonNoTransfer
		return a
	}
	candidates := slices.Clone(e.PrefixUsage)
	slices.SortStableFunc(candidates, func(x, y PrefixUsage) int { return cmp.Compare(e.savingRate(&y), e.savingRate(&x)) })
	timeLeft := e.TimeLimit
	for i := range candidates {
		h := &candidates[i]
		exportTime := e.transferTime(h)
		if e.netSaving(h) <= 0 || exportTime > timeLeft {
			continue
		}
		timeLeft -= exportTime
		a.Prefixes = append(a.Prefixes, h.Prefix)
		a.NetSaving += e.netSaving(h)
		a.Reason = reasonExport
	}
	return a
}

// savingRate returns the saving per unit of transfer time.
func (e *ExportInput) savingRate(h *PrefixUsage) float64 {
	return float64(e.netSaving(h)) / float64(max(e.transferTime(h), 1))
}

// transferTime returns the time to transfer the prefix in one direction.
func (e *ExportInput) transferTime(h *PrefixUsage) time.Duration {
	return e.PerObjectCost + time.Duration(float64(h.Bytes)/e.BytesPerSecond*float64(time.Second))
}

// netSaving returns the expected engine time saved, less the time of the export
// and the import; it is negative for a prefix that a kept replica has.
func (e *ExportInput) netSaving(h *PrefixUsage) time.Duration {
	if h.Held {
		return -1
	}
	probabilityUsed := min(1, h.UsesPerHour*e.CacheLifetime.Hours())
	return time.Duration(probabilityUsed*float64(h.Tokens)*float64(e.PrefillPerToken)) - 2*e.transferTime(h)
}
