package kv

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	maxGroups   = 128
	maxPrefixes = 2048 // of one group
	// usesWindow is the time over which uses count.
	usesWindow = 15 * time.Minute
)

// Use is how a group's prefix is used, as one node sees it.
type Use struct {
	Prefix  uint64
	Parent  uint64        // the prefix that is one block shorter; 0: none
	Depth   int           // blocks, this one included
	PerHour float64       // uses after the first
	Last    clock.Instant // newest use
}

// Uses counts the prefixes that this node sends to each group. Other nodes send
// others: the count is a sample. It is safe for concurrent use.
type Uses struct {
	clock  clock.Clock
	mu     sync.Mutex
	groups map[fleet.GroupID]*groupUses
}

type groupUses struct {
	last     clock.Instant
	prefixes map[uint64]counted
}

type counted struct {
	parent uint64
	depth  int
	count  float64 // decayed; the first use is not in it
	last   clock.Instant
}

// NewUses returns an empty count.
func NewUses(c clock.Clock) *Uses {
	return &Uses{clock: c, groups: make(map[fleet.GroupID]*groupUses)}
}

// Note counts a prompt sent to a group; prefixes are those of
// request.Request.Prefix, shortest first.
func (u *Uses) Note(id fleet.GroupID, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	g := u.group(id)
	g.last = now
	parent := uint64(0)
	for i, h := range prefixes {
		g.note(h, parent, i+1, now)
		parent = h
	}
	g.bound()
}

func (u *Uses) group(id fleet.GroupID) *groupUses {
	if g, ok := u.groups[id]; ok {
		return g
	}
	if len(u.groups) >= maxGroups {
		u.dropOldest()
	}
	g := &groupUses{prefixes: make(map[uint64]counted)}
	u.groups[id] = g
	return g
}

func (u *Uses) dropOldest() {
	var oldest fleet.GroupID
	for id, g := range u.groups {
		if oldest == "" || g.last < u.groups[oldest].last {
			oldest = id
		}
	}
	delete(u.groups, oldest)
}

func (g *groupUses) note(h, parent uint64, depth int, now clock.Instant) {
	c, ok := g.prefixes[h]
	if !ok {
		c = counted{parent: parent, depth: depth}
	} else {
		c.count = c.at(now) + 1
	}
	c.last = now
	g.prefixes[h] = c
}

func (c *counted) at(now clock.Instant) float64 {
	return c.count * math.Exp(-float64(now.Sub(c.last))/float64(usesWindow))
}

// bound drops the quarter that was used longest ago when there are too many.
func (g *groupUses) bound() {
	if len(g.prefixes) <= maxPrefixes {
		return
	}
	lasts := make([]clock.Instant, 0, len(g.prefixes))
	for _, c := range g.prefixes {
		lasts = append(lasts, c.last)
	}
	slices.Sort(lasts)
	limit := lasts[len(lasts)/4]
	for h, c := range g.prefixes {
		if c.last <= limit && len(g.prefixes) > maxPrefixes*3/4 {
			delete(g.prefixes, h)
		}
	}
}

// Of returns the uses of a group's prefixes at now, shorter prefixes first.
func (u *Uses) Of(id fleet.GroupID, now clock.Instant) []Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	g, ok := u.groups[id]
	if !ok {
		return nil
	}
	out := make([]Use, 0, len(g.prefixes))
	for h, c := range g.prefixes {
		out = append(out, Use{
			Prefix: h, Parent: c.parent, Depth: c.depth, Last: c.last,
			PerHour: c.at(now) / usesWindow.Hours(),
		})
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Prefix, b.Prefix))
	})
	return out
}
