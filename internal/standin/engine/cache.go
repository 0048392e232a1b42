package engine

import (
	"container/list"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
)

// Bounds of the published cache events.
const (
	eventsKept   = 8192
	eventsAtOnce = 1000
)

// publishedEvent is a cache event with the time at which it happened.
type publishedEvent struct {
	engine.CacheEvent
	at clock.Instant
}

// prefixCache is a bounded cache of prompt prefixes, least recently used out
// first. It is not safe for concurrent use.
type prefixCache struct {
	size     int
	order    *list.List // of uint64, most recently used first
	entries  map[uint64]*list.Element
	sequence uint64
	events   []publishedEvent
	gapEvery int // every n-th event is lost; 0: none
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// use marks the prefixes as used and returns how many of them, counted from the
// shortest, were cached.
func (c *prefixCache) use(now clock.Instant, prefixes []uint64) (hits int) {
	for _, p := range prefixes {
		if _, ok := c.entries[p]; !ok {
			break
		}
		hits++
	}
	// The longest goes first, so that the shortest, which more prompts share,
	// ends as the most recently used.
	for i := len(prefixes) - 1; i >= 0; i-- {
		c.add(now, prefixes[i])
	}
	return hits
}

func (c *prefixCache) add(now clock.Instant, p uint64) {
	if e, ok := c.entries[p]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.entries[p] = c.order.PushFront(p)
	c.publish(now, p, false)
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		evicted := oldest.Value.(uint64)
		delete(c.entries, evicted)
		c.publish(now, evicted, true)
	}
}

// publish numbers an event; a lost one leaves a gap in the numbers.
func (c *prefixCache) publish(now clock.Instant, p uint64, evicted bool) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%uint64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, publishedEvent{
		CacheEvent: engine.CacheEvent{Sequence: c.sequence, Prefix: p, Evicted: evicted},
		at:         now,
	})
	if len(c.events) > eventsKept {
		c.events = append([]publishedEvent(nil), c.events[len(c.events)-eventsKept/2:]...)
	}
}

// after returns the events with a higher sequence that are at least lag old.
func (c *prefixCache) after(sequence uint64, now clock.Instant, lag time.Duration) []engine.CacheEvent {
	out := []engine.CacheEvent{}
	for _, e := range c.events {
		if now.Sub(e.at) < lag || len(out) == eventsAtOnce {
			break
		}
		if e.Sequence > sequence {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}

// held returns those of the prefixes that are cached.
func (c *prefixCache) held(prefixes []uint64) []uint64 {
	var out []uint64
	for _, p := range prefixes {
		if _, ok := c.entries[p]; ok {
			out = append(out, p)
		}
	}
	return out
}

// used returns the share of the cache that is in use.
func (c *prefixCache) used() float64 { return float64(c.order.Len()) / float64(c.size) }
