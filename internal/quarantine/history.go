package quarantine

import (
	"time"

	"chervilloom/internal/clock"
)

// history counts the runs of each request that ended well at this node, of late.
type history struct {
	now, before map[Fingerprint]int
	since       clock.Instant // when now was begun
}

// The bounds of a history. Of 4,200 requests a second 370 nodes see 11 each: two
// generations of 2,048 hold the last 3 to 6 minutes. A request of before that counts as
// one that never ran well.
const (
	mostHistory   = 2048
	historyMemory = endsMemory / 2
)

func (h *history) add(fp Fingerprint, now clock.Instant) {
	if h.now == nil || len(h.now) >= mostHistory || now.Sub(h.since) > historyMemory {
		h.before, h.now, h.since = h.now, map[Fingerprint]int{}, now
	}
	h.now[fp]++
}

func (h *history) runs(fp Fingerprint) int { return h.now[fp] + h.before[fp] }

// Times of the quarantine.
const (
	// banFor is how long a request is refused before one run of it is tried: whoever runs
	// the engines needs minutes to see what it does to them, and each try may end one
	// with all that it serves.
	banFor = 10 * time.Minute
	// forgetAfter is how long a request is remembered for which no try was asked: it then
	// has the rights of one that was never seen.
	forgetAfter = time.Hour
	// tryPause is the least pause between two times that a node asks for the try of a
	// request: another node may have it, or the store may be away.
	tryPause = 10 * time.Second
)
