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
	maxPrefixes = 2048 // per group
	// usesDecayTime is the time constant of the exponential decay of use counts.
	usesDecayTime = 15 * time.Minute
)

// Use describes how often one node has sent a prefix to a group.
type Use struct {
	Prefix   uint64
	Parent   uint64        // the prefix that is one block shorter; 0 if none
	Depth    int           // number of blocks, including the last one
	PerHour  float64       // rate of uses after the first
	LastUsed clock.Instant // time of the latest use
}

// Uses counts the prefixes that this node sends to each group. The count is a sample,
// since other nodes send requests too. It is safe for concurrent use.
type Uses struct {
	clock  clock.Clock
	mu     sync.Mutex
	groups map[fleet.GroupID]*groupUses
}

type groupUses struct {
	lastUsed clock.Instant
	prefixes map[uint64]prefixCount
}

type prefixCount struct {
	parent   uint64
	depth    int
	count    float64 // uses after the first, decayed to the time of the last use
	lastUsed clock.Instant
}

// NewUses returns an empty counter.
func NewUses(c clock.Clock) *Uses {
	return &Uses{clock: c, groups: make(map[fleet.GroupID]*groupUses)}
}

// Record counts a prompt sent to a group. prefixes are those of request.Request.Prefix,
// shortest first.
func (u *Uses) Record(id fleet.GroupID, prefixes []uint64) {
	if len(prefixes) == 0 {
		return
	}
	now := u.clock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	g := u.getOrCreate(id)
	g.lastUsed = now
	parent := uint64(0)
	for i, h := range prefixes {
		g.record(h, parent, i+1, now)
		parent = h
	}
	g.evictOldest()
}

func (u *Uses) getOrCreate(id fleet.GroupID) *groupUses {
	if g, ok := u.groups[id]; ok {
		return g
	}
	if len(u.groups) >= maxGroups {
		u.evictOldestGroup()
	}
	g := &groupUses{prefixes: make(map[uint64]prefixCount)}
	u.groups[id] = g
	return g
}

func (u *Uses) evictOldestGroup() {
	var oldest fleet.GroupID
	for id, g := range u.groups {
		if oldest == "" || g.lastUsed < u.groups[oldest].lastUsed {
			oldest = id
		}
	}
	delete(u.groups, oldest)
}

func (g *groupUses) record(h, parent uint64, depth int, now clock.Instant) {
	c, ok := g.prefixes[h]
	if !ok {
		c = prefixCount{parent: parent, depth: depth}
	} else {
		c.count = c.decayed(now) + 1
	}
	c.lastUsed = now
	g.prefixes[h] = c
}

func (c *prefixCount) decayed(now clock.Instant) float64 {
	return c.count * math.Exp(-float64(now.Sub(c.lastUsed))/float64(usesDecayTime))
}

// evictOldest evicts the least recently used quarter if there are more than maxPrefixes.
func (g *groupUses) evictOldest() {
	if len(g.prefixes) <= maxPrefixes {
		return
	}
	lasts := make([]clock.Instant, 0, len(g.prefixes))
	for _, c := range g.prefixes {
		lasts = append(lasts, c.lastUsed)
	}
	slices.Sort(lasts)
	limit := lasts[len(lasts)/4]
	for h, c := range g.prefixes {
		if c.lastUsed <= limit && len(g.prefixes) > maxPrefixes*3/4 {
			delete(g.prefixes, h)
		}
	}
}

// ForGroup returns the uses of a group's prefixes at now, shorter prefixes first.
func (u *Uses) ForGroup(id fleet.GroupID, now clock.Instant) []Use {
	u.mu.Lock()
	defer u.mu.Unlock()
	g, ok := u.groups[id]
	if !ok {
		return nil
	}
	out := make([]Use, 0, len(g.prefixes))
	for h, c := range g.prefixes {
		out = append(out, Use{
			Prefix: h, Parent: c.parent, Depth: c.depth, LastUsed: c.lastUsed,
			PerHour: c.decayed(now) / usesDecayTime.Hours(),
		})
	}
	slices.SortFunc(out, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Depth, b.Depth), cmp.Compare(a.Prefix, b.Prefix))
	})
	return out
}
