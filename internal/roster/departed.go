package roster

import (
	"time"

	"chervilloom/internal/clock"
)

// departure records an endpoint that is no longer listed.
type departure struct {
	sequence     uint64        // sequence of its newest entry
	wasDraining  bool          // its entry was draining
	missingSince clock.Instant // when it was first missing
}

// restoreGrace is how long departures are remembered. It is also the time after a restore of
// the platform's table during which entries may be those of the older copy. A draining
// endpoint terminates within a minute, and live ones rewrite their entries every 1.2 s.
const restoreGrace = time.Minute

// isStale reports whether an entry is no newer than one with that sequence, as in a table
// restored from an older copy. Such an entry must not send new work to an endpoint that
// departed, nor show a group that was dissolved. For an endpoint without a start time the
// sequence counts only shortly after a restore, since a restart may have reset it.
func (r *Roster) isStale(e *Endpoint, sequence uint64) bool {
	if r.relayed {
		return false // the sending node has made this check with newer sequences
	}
	restored := r.restoredAt != 0 && r.RequestedAt.Sub(r.restoredAt) < restoreGrace
	return e.Sequence <= sequence && (restored || e.ID.StartMillis() != 0)
}

// recordDepartures copies the recent departures of the old roster and adds those that the new
// list shows.
func (r *Roster) recordDepartures(old *Roster) {
	r.departures = make(map[ID]departure, len(old.departures))
	for id, d := range old.departures {
		if r.RequestedAt.Sub(d.missingSince) < restoreGrace {
			r.departures[id] = d
		}
	}
	for _, e := range old.byID {
		if r.Get(e.ID) == nil && (e.Draining || !r.Partial && !old.Partial) {
			r.departures[e.ID] = departure{sequence: e.Sequence, wasDraining: e.Draining, missingSince: r.RequestedAt}
		}
	}
}
