package backpressure

import (
	"time"

	"chervilloom/internal/clock"
)

// leavingMemory is how long a leaving endpoint that isn't listed is remembered. Its entry may
// reappear after an outage of the platform.
const leavingMemory = 10 * time.Minute

// leavingEndpoints has the endpoints that announced that they are leaving, with the time when
// each was last listed or announced it. Leaving is final for one lifetime of an endpoint. It has
// no clock and no lock, and does no I/O.
type leavingEndpoints map[ID]clock.Instant

// add records a leaving endpoint. It reports whether the endpoint is new.
func (l leavingEndpoints) add(id ID, now clock.Instant) bool {
	_, known := l[id]
	l[id] = now
	return !known
}

func (l leavingEndpoints) contains(id ID) bool {
	_, known := l[id]
	return known
}

func (l leavingEndpoints) refresh(listed func(ID) bool, now clock.Instant) {
	for id, lastSeen := range l {
		if listed(id) {
			l[id] = now
		} else if now.Sub(lastSeen) > leavingMemory {
			delete(l, id)
		}
	}
}
