package capacity

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/fleet"
)

// Heat is how much a cached prefix is used.
type Heat struct {
	Prefix  uint64
	Tokens  int     // of the prompt up to here that no shorter prefix of the list holds
	PerHour float64 // uses
	Bytes   int64   // of its KV cache
	Held    bool    // in the cache of a replica that stays
}

// Export is what moving KV cache costs and saves.
type Export struct {
	Group          fleet.GroupID
	Heat           []Heat
	PrefillPerTok  time.Duration // to compute a prompt token
	BytesPerSecond float64       // out to the object store, and as fast in again
	PerObject      time.Duration // fixed cost of an export and an import
	Within         time.Duration // time for the drain; exports must end in it
	Useful         time.Duration // how long an imported prefix is likely to stay cached
}

// Advice names the prefixes that a group should export before it goes.
type Advice struct {
	Group    fleet.GroupID
	Prefixes []uint64
	Saves    time.Duration // engine time, expected, costs taken off
	Reason   string
}

// The reasons of an Advice.
const (
	reasonExport  = "computing these prefixes again costs more than moving them"
	reasonCold    = "no prefix is used enough to pay for moving it"
	reasonNoRoute = "the rate or the time to export is zero"
)

// AdviseExport chooses the prefixes of a group that is about to drain whose
// export pays. A prefix saves one computation at most: the first use after the
// move would have computed and cached it. It saves that only if it is used
// while it would still be cached, and if no replica that stays has it.
func AdviseExport(e Export) Advice {
	a := Advice{Group: e.Group, Reason: reasonCold}
	if e.BytesPerSecond <= 0 || e.Within <= 0 {
		a.Reason = reasonNoRoute
		return a
	}
	heat := slices.Clone(e.Heat)
	slices.SortStableFunc(heat, func(x, y Heat) int { return cmp.Compare(e.worth(&y), e.worth(&x)) })
	left := e.Within
	for i := range heat {
		h := &heat[i]
		out := e.move(h)
		if e.saves(h) <= 0 || out > left {
			continue
		}
		left -= out
		a.Prefixes = append(a.Prefixes, h.Prefix)
		a.Saves += e.saves(h)
		a.Reason = reasonExport
	}
	return a
}

// worth is the saving for each second of the drain that the export takes.
func (e *Export) worth(h *Heat) float64 {
	return float64(e.saves(h)) / float64(max(e.move(h), 1))
}

// move is the time to send the prefix one way.
func (e *Export) move(h *Heat) time.Duration {
	return e.PerObject + time.Duration(float64(h.Bytes)/e.BytesPerSecond*float64(time.Second))
}

// saves is the expected engine time saved, the export and the import taken off.
func (e *Export) saves(h *Heat) time.Duration {
	if h.Held {
		return -1
	}
	used := min(1, h.PerHour*e.Useful.Hours())
	return time.Duration(used*float64(h.Tokens)*float64(e.PrefillPerTok)) - 2*e.move(h)
}
