package prefix

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const start = clock.Instant(time.Hour)

func stored(seq, hash uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: seq, Prefix: hash}
}

func evicted(seq, hash uint64) engine.CacheEvent {
	return engine.CacheEvent{Sequence: seq, Prefix: hash, Evicted: true}
}

func containsPrefix(x *Index, hash uint64, now clock.Instant) bool {
	_, ok := x.Prefixes("vm", now)[hash]
	return ok
}

func TestEventsInAnyOrder(t *testing.T) {
	cases := []struct {
		name   string
		events []engine.CacheEvent
		want   bool
	}{
		{"stored", []engine.CacheEvent{stored(1, 7)}, true},
		{"stored and evicted", []engine.CacheEvent{stored(1, 7), evicted(2, 7)}, false},
		{"late store after its eviction", []engine.CacheEvent{stored(1, 1), evicted(3, 7), stored(2, 7)}, false},
		{"late eviction after a newer store", []engine.CacheEvent{stored(1, 1), stored(3, 7), evicted(2, 7)}, true},
		{"duplicate events", []engine.CacheEvent{stored(1, 7), evicted(2, 7), evicted(2, 7), stored(3, 7), stored(3, 7)}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := New(0)
			x.Apply("vm", "b1", c.events, start)
			is.New(t).Equal(containsPrefix(x, 7, start), c.want)
		})
	}
}

// An engine restarts between two batches of events, without eviction events for its old
// cache. The old entries must be removed, or requests would be routed to an engine with a
// cold cache.
func TestRestartClearsTheSet(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.Apply("vm", "b1", []engine.CacheEvent{stored(1, 7), stored(2, 8)}, start)
	x.Apply("vm", "b2", []engine.CacheEvent{stored(1, 9)}, start)
	is.True(!containsPrefix(x, 7, start))
	is.True(containsPrefix(x, 9, start))
	is.Equal(x.LastSequence("vm", "b1"), uint64(0))
}

// A batch of events with evictions is lost. The entries from before the gap must not stay
// forever, since no second eviction event follows: the oldest are dropped immediately,
// the others when their doubt expires.
func TestEntriesBeforeAGapExpire(t *testing.T) {
	is := is.New(t)
	x := New(0)
	var events []engine.CacheEvent
	for i := range uint64(20) {
		events = append(events, stored(i+1, 100+i))
	}
	x.Apply("vm", "b1", events, start)
	x.Apply("vm", "b1", []engine.CacheEvent{stored(41, 200)}, start)
	st := x.Stats("vm")
	is.Equal(st.Gaps, uint64(1))
	is.Equal(st.MissedEvents, uint64(20))
	is.Equal(st.Entries, 21) // no eviction was received, so none is assumed in the gap
	later := start.Add(doubtDuration)
	is.True(!containsPrefix(x, 119, later))
	is.True(containsPrefix(x, 200, later))
}

func TestGapDropsOldestImmediately(t *testing.T) {
	is := is.New(t)
	x := New(0)
	var events []engine.CacheEvent
	for i := range uint64(20) {
		events = append(events, stored(2*i+1, 100+i), evicted(2*i+2, 500+i))
	}
	x.Apply("vm", "b1", events, start)
	x.Apply("vm", "b1", []engine.CacheEvent{stored(51, 200)}, start)
	is.True(!containsPrefix(x, 100, start))
	is.True(containsPrefix(x, 119, start))
	is.Equal(x.Stats("vm").DroppedAfterGaps, uint64(5)) // half of the ten missed events
}

func TestPublishedSetIsNotModified(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.Apply("vm", "b1", []engine.CacheEvent{stored(1, 7)}, start)
	old := x.Prefixes("vm", start)
	x.Apply("vm", "b1", []engine.CacheEvent{evicted(2, 7)}, start)
	later := start.Add(rebuildInterval)
	is.Equal(len(old), 1)
	is.Equal(len(x.Prefixes("vm", later)), 0)
}

// After any events the set must be within its limit and consistently linked, and equal to
// the cache if no event was missed or out of order.
func TestSetProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 16
		x := New(limit)
		cache := map[uint64]bool{}
		seq, ordered := uint64(0), true
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			step := uint64(1)
			if rapid.IntRange(0, 30).Draw(t, "gap") == 0 {
				step, ordered = 5, false
			}
			seq += step
			h := rapid.Uint64Range(1, limit).Draw(t, "hash")
			gone := rapid.Bool().Draw(t, "gone")
			cache[h] = !gone
			x.Apply("vm", "b", []engine.CacheEvent{{Sequence: seq, Prefix: h, Evicted: gone}}, start)
		}
		checkLinks(t, x.sets["vm"])
		got := x.Prefixes("vm", start.Add(time.Second))
		if len(got) > limit {
			t.Fatalf("%d prefixes exceed the limit of %d", len(got), limit)
		}
		for h, in := range cache {
			if _, ok := got[h]; ordered && ok != in {
				t.Fatalf("prefix %d: in the set %v, in the cache %v", h, ok, in)
			}
		}
	})
}

func checkLinks(t *rapid.T, s *cacheSet) {
	n := 0
	for i := s.oldest; i != noSlot; i = s.entries[i].newer {
		if s.index[s.entries[i].hash] != i {
			t.Fatalf("slot %d is linked but not indexed", i)
		}
		n++
	}
	if n != len(s.index) {
		t.Fatalf("%d slots linked, %d indexed", n, len(s.index))
	}
}

func BenchmarkApply(b *testing.B) {
	x := New(0)
	seq := uint64(0)
	batch := make([]engine.CacheEvent, 64)
	b.ReportAllocs()
	for b.Loop() {
		for i := range batch {
			seq++
			batch[i] = engine.CacheEvent{Sequence: seq, Prefix: seq / 2, Evicted: seq%2 == 1 && seq > 8000}
			if batch[i].Evicted {
				batch[i].Prefix -= 4000
			}
		}
		x.Apply("vm", "b", batch, start)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(batch)), "ns/event")
}

// BenchmarkMemory reports the memory of a full set, including its published map.
func BenchmarkMemory(b *testing.B) {
	for _, engines := range []int{50, 100, 200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				x := newFullIndex(engines)
				b.ReportMetric(float64(heapBytes()-before)/float64(engines), "B/engine")
				runtime.KeepAlive(x)
			}
		})
	}
}

func newFullIndex(engines int) *Index {
	x := New(0)
	events := make([]engine.CacheEvent, DefaultLimit)
	for e := range engines {
		for i := range events {
			events[i] = stored(uint64(i+1), uint64(e*DefaultLimit+i)*0x9e3779b97f4a7c15)
		}
		vm := vmName(e)
		x.Apply(vm, "b", events, start)
		x.Prefixes(vm, start)
	}
	return x
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func vmName(i int) fleet.VM { return fleet.VM(fmt.Sprintf("e%03d", i)) }
