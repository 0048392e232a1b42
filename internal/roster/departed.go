package roster

import (
	"time"

	"chervilloom/internal/clock"
)

// departure is what is remembered of an endpoint that is listed no more.
type departure struct {
	sequence uint64        // of its newest entry
	draining bool          // its entry said that it leaves
	seen     clock.Instant // when it was first missing
}

// copyMemory is how long departures are remembered, and how long after the platform's
// table came back from an older copy its entries may be those of the copy. An endpoint
// ends within a minute of its leaving, and live ones write their entries anew every
// 1.2 s.
const copyMemory = time.Minute

// isOlder reports whether an entry is no newer than one with that sequence, as in a table
// that came back from an older copy: it must not bring new work to an endpoint that was
// seen to leave, nor show a group that has ended. An endpoint that doesn't tell its lives
// may have begun to count anew, unless a copy has just come back.
func (r *Roster) isOlder(e *Endpoint, sequence uint64) bool {
	if r.Partial {
		return false // the node that tells it has looked, and knows newer sequences
	}
	restored := r.restored != 0 && r.Asked.Sub(r.restored) < copyMemory
	return e.Sequence <= sequence && (restored || e.ID.Born() != 0)
}

// remember carries the departures on and adds those that this list shows.
func (r *Roster) remember(old *Roster) {
	r.left = make(map[ID]departure, len(old.left))
	for id, d := range old.left {
		if r.Asked.Sub(d.seen) < copyMemory {
			r.left[id] = d
		}
	}
	for _, e := range old.byID {
		if r.Get(e.ID) == nil && (e.Draining || !r.Partial && !old.Partial) {
			r.left[e.ID] = departure{sequence: e.Sequence, draining: e.Draining, seen: r.Asked}
		}
	}
}
