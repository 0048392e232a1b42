package engine

import (
	"container/list"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
)

// Bounds of the published cache events.
const (
	maxCacheEvents    = 8192
	maxEventsPerReply = 1000
)

// publishedEvent is a cache event with the time at which it occurred.
type publishedEvent struct {
	engine.CacheEvent
	at clock.Instant
}

// prefixCache is a bounded LRU cache of prompt prefixes that publishes its
// insertions and evictions as events. It is not safe for concurrent use.
type prefixCache struct {
	capacity int        // in prefixes
	lru      *list.List // of uint64, most recently used first
	entries  map[uint64]*list.Element
	sequence uint64 // of the newest event
	events   []publishedEvent
	gapEvery int // every n-th event is lost; 0 loses none
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{capacity: size, lru: list.New(), entries: make(map[uint64]*list.Element)}
}

// use adds the prefixes to the cache or marks them as used. It returns how many of
// them, counted from the shortest, were cached before.
func (c *prefixCache) use(now clock.Instant, prefixes []uint64) (hits int) {
	for _, p := range prefixes {
		if _, ok := c.entries[p]; !ok {
			break
		}
		hits++
	}
	// The longest prefix is added first, so that the shortest, which more prompts
	// share, becomes the most recently used.
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.add(now, prefixes[i])
	}
	return hits
}

func (c *prefixCache) add(now clock.Instant, p uint64) {
	if e, ok := c.entries[p]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.entries[p] = c.lru.PushFront(p)
	c.publish(now, p, false)
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		evicted := oldest.Value.(uint64)
		delete(c.entries, evicted)
		c.publish(now, evicted, true)
	}
}

// publish numbers an event and keeps it. An event that is lost by gapEvery leaves a
// gap in the sequence numbers.
func (c *prefixCache) publish(now clock.Instant, p uint64, evicted bool) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%uint64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, publishedEvent{
		CacheEvent: engine.CacheEvent{Sequence: c.sequence, Prefix: p, Evicted: evicted},
		at:         now,
	})
	if len(c.events) > maxCacheEvents {
		c.events = append([]publishedEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events with a higher sequence number that are at least lag old,
// at most maxEventsPerReply of them.
func (c *prefixCache) eventsAfter(sequence uint64, now clock.Instant, lag time.Duration) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if now.Sub(e.at) < lag || len(out) == maxEventsPerReply {
			break
		}
		if e.Sequence > sequence {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// filterCached returns the prefixes that are cached.
func (c *prefixCache) filterCached(prefixes []uint64) []uint64 {
	var out []uint64
	for _, p := range prefixes {
		if _, ok := c.entries[p]; ok {
			out = append(out, p)
		}
	}
	return out
}

// usage returns the fraction of the cache that is in use, from 0 to 1.
func (c *prefixCache) usage() float64 { return float64(c.lru.Len()) / float64(c.capacity) }
