package backpressure

import (
	"time"

	"chervilloom/internal/clock"
)

// leavingMemory is how long an endpoint that leaves and isn't listed is remembered. Its entry
// may come back after an outage of the platform.
const leavingMemory = 10 * time.Minute

// leaving holds the endpoints that said that they leave, and when each was last listed or
// heard. Leaving is final for one life. It is pure: no clock, no lock, no I/O.
type leaving map[ID]clock.Instant

// add notes that an endpoint leaves. It reports whether that is new.
func (l leaving) add(id ID, now clock.Instant) bool {
	_, known := l[id]
	l[id] = now
	return !known
}

func (l leaving) has(id ID) bool {
	_, known := l[id]
	return known
}

func (l leaving) keep(listed func(ID) bool, now clock.Instant) {
	for id, seen := range l {
		if listed(id) {
			l[id] = now
		} else if now.Sub(seen) > leavingMemory {
			delete(l, id)
		}
	}
}
