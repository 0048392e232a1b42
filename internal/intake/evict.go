package intake

import (
	"cmp"
	"slices"
	"time"

	"chervilloom/internal/clock"
)

// connInfo describes an open connection for the choice of the one to close.
type connInfo struct {
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
func (c connInfo) isStalled(now clock.Instant, idleTimeout time.Duration) bool {
	stall := now.Sub(c.since)
	switch {
	case c.isEvicted || c.waits == forServer:
		return false
	case c.waits == forReader:
		return stall >= minUnread
	case c.waits == forNextRequest:
		return stall >= time.Duration(idleShare*float64(idleTimeout))
	}
	return stall >= minStall
}

// longestStalled returns the indexes of the stalled connections, those that have stalled longest first.
func longestStalled(infos []connInfo, now clock.Instant, idleTimeout time.Duration) []int {
	out := stalled(infos, now, idleTimeout)
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(infos[a].since, infos[b].since) })
	return out
}

// largestStalled returns the indexes of the stalled connections of which parts of requests are held, the
// largest first.
func largestStalled(infos []connInfo, now clock.Instant) []int {
	out := slices.DeleteFunc(stalled(infos, now, 0), func(i int) bool {
		c := infos[i]
		return c.held == 0 || c.waits != forHead && c.waits != forBody
	})
	slices.SortFunc(out, func(a, b int) int { return cmp.Compare(infos[b].held, infos[a].held) })
	return out
}

func stalled(infos []connInfo, now clock.Instant, idleTimeout time.Duration) []int {
	var out []int
	for i, c := range infos {
		if c.isStalled(now, idleTimeout) {
			out = append(out, i)
		}
	}
	return out
}
