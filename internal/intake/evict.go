package intake

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// holder is an open connection for the choice of those that are closed for others.
type holder struct {
	waits     waiting
	since     clock.Instant // since when its client has done nothing of what is awaited
	held      int           // bytes received of its request
	isEvicted bool
}

const (
	// minStall is how long a client must have done nothing before its connection is closed for
	// another one. It covers the way of the first bytes of a new connection, which usually follow at
	// once.
	minStall = 20 * time.Millisecond
	// minUnread is the same for a client that takes nothing of its response.
	minUnread = 2 * time.Second
	// idleShare is the share of the idle time-out within which clients may use a connection again.
	idleShare = 0.8
)

// isStalled reports whether the connection may be closed for another one. One that waits for its
// endpoint never is: its client doesn't stall.
func (h holder) isStalled(now clock.Instant, idleTimeout time.Duration) bool {
	stall := now.Sub(h.since)
	switch {
	case h.isEvicted || h.waits == forServer:
		return false
	case h.waits == forReader:
		return stall >= minUnread
	case h.waits == forNextRequest:
		return stall >= time.Duration(idleShare*float64(idleTimeout))
	}
	return stall >= minStall
}

// longestStalled returns the indexes of the stalled connections, those that have stalled longest first.
func longestStalled(holders []holder, now clock.Instant, idleTimeout time.Duration) []int {
	out := stalled(holders, now, idleTimeout)
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(holders[a].since, holders[b].since) })
	return out
}

// largestStalled returns the indexes of the stalled connections of which parts of requests are held, the
// largest first.
func largestStalled(holders []holder, now clock.Instant) []int {
	out := slices.DeleteFunc(stalled(holders, now, 0), func(i int) bool {
		h := holders[i]
		return h.held == 0 || h.waits != forHead && h.waits != forBody
	})
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(holders[b].held, holders[a].held) })
	return out
}

func stalled(holders []holder, now clock.Instant, idleTimeout time.Duration) []int {
	var out []int
	for i, h := range holders {
		if h.isStalled(now, idleTimeout) {
			out = append(out, i)
		}
	}
	return out
}
