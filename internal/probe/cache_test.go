package probe

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
	"chervilloom/internal/prefix"
	"chervilloom/internal/view"
)

// cacheFeed returns one batch of cache events per poll.
type cacheFeed struct {
	endpoints
	batches [][]engine.CacheEvent
	after   []uint64 // the sequence number requested by each poll
}

func (f *cacheFeed) CacheEvents(_ context.Context, _ string, after uint64) ([]engine.CacheEvent, error) {
	f.after = append(f.after, after)
	b := f.batches[0]
	f.batches = f.batches[1:]
	return b, nil
}

// putEvents records the events put by the prober, in order.
type putEvents []view.Event

func (p *putEvents) Put(e view.Event) { *p = append(*p, e) }

// lastPrefixes returns the prefixes of the latest view.CacheReported, sorted.
func (p putEvents) lastPrefixes() []uint64 {
	var got []uint64
	if len(p) > 0 {
		got = slices.Sorted(maps.Keys(p[len(p)-1].(view.CacheReported).Prefixes))
	}
	return got
}

func TestCacheEventsAreApplied(t *testing.T) {
	ev := func(seq, prefix uint64) engine.CacheEvent { return engine.CacheEvent{Sequence: seq, Prefix: prefix} }
	out := func(seq, prefix uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: seq, Prefix: prefix, Evicted: true}
	}
	for name, c := range map[string]struct {
		batches [][]engine.CacheEvent
		boots   []fleet.BootID
		want    []uint64
		after   []uint64
		puts    int
	}{
		"added":                    {[][]engine.CacheEvent{{ev(1, 10), ev(2, 20)}}, []fleet.BootID{"a"}, []uint64{10, 20}, []uint64{0}, 1},
		"evicted":                  {[][]engine.CacheEvent{{ev(1, 10), ev(2, 20), out(3, 10)}}, []fleet.BootID{"a"}, []uint64{20}, []uint64{0}, 1},
		"late store ignored":       {[][]engine.CacheEvent{{ev(1, 10), out(2, 10)}, {ev(1, 10)}}, []fleet.BootID{"a", "a"}, nil, []uint64{0, 2}, 1},
		"no new events":            {[][]engine.CacheEvent{{ev(1, 10)}, {}}, []fleet.BootID{"a", "a"}, []uint64{10}, []uint64{0, 1}, 1},
		"gap after few events":     {[][]engine.CacheEvent{{ev(1, 10)}, {ev(3, 20)}}, []fleet.BootID{"a", "a"}, []uint64{20}, []uint64{0, 1}, 2},
		"restart clears the set":   {[][]engine.CacheEvent{{ev(1, 10)}, {ev(1, 30)}}, []fleet.BootID{"a", "b"}, []uint64{30}, []uint64{0, 0}, 2},
		"restart without events":   {[][]engine.CacheEvent{{ev(1, 10)}, {}}, []fleet.BootID{"a", "b"}, nil, []uint64{0, 0}, 2},
		"first sequence above one": {[][]engine.CacheEvent{{ev(7, 10), ev(8, 20)}}, []fleet.BootID{"a"}, []uint64{10, 20}, []uint64{0}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			feed, sink, now := &cacheFeed{batches: c.batches}, putEvents{}, clock.NewManual(1)
			p := New(Settings{}, feed, nil, &sink, now, 1, prometheus.NewRegistry())
			tg := &target{record: fleet.Record{VM: "vm"}, cache: newCache()}
			for _, boot := range c.boots {
				p.updateCache(t.Context(), tg, boot)
				now.Advance(time.Second)
			}
			is.Equal(sink.lastPrefixes(), c.want)
			is.Equal(feed.after, c.after)
			is.Equal(len(sink), c.puts)
		})
	}
}

// The engine drops one batch of cache events, which happens occasionally. The node must
// keep the prefixes that are probably still cached: otherwise all prompts would be routed
// to groups that must compute them again.
func TestGapKeepsProbablyCachedPrefixes(t *testing.T) {
	is := is.New(t)
	var first []engine.CacheEvent
	for i := range uint64(64) {
		first = append(first, engine.CacheEvent{Sequence: i + 1, Prefix: i})
	}
	feed := &cacheFeed{batches: [][]engine.CacheEvent{first, {{Sequence: 70, Prefix: 100}}}}
	sink, now := putEvents{}, clock.NewManual(1)
	p := New(Settings{}, feed, nil, &sink, now, 1, prometheus.NewRegistry())
	tg := &target{record: fleet.Record{VM: "vm"}, cache: newCache()}
	p.updateCache(t.Context(), tg, "a")
	now.Advance(time.Second)
	p.updateCache(t.Context(), tg, "a")
	is.Equal(len(sink.lastPrefixes()), 65)
}

func TestCacheIsBounded(t *testing.T) {
	is := is.New(t)
	feed, sink, now := &cacheFeed{}, putEvents{}, clock.NewManual(1)
	p := New(Settings{}, feed, nil, &sink, now, 1, prometheus.NewRegistry())
	tg := &target{record: fleet.Record{VM: "vm"}, cache: newCache()}
	for i := range uint64(3) {
		var batch []engine.CacheEvent
		for j := range uint64(prefix.DefaultLimit) {
			n := i*prefix.DefaultLimit + j + 1
			batch = append(batch, engine.CacheEvent{Sequence: n, Prefix: n})
		}
		feed.batches = append(feed.batches, batch)
		p.updateCache(t.Context(), tg, "a")
		now.Advance(time.Second)
	}
	is.Equal(len(sink.lastPrefixes()), prefix.DefaultLimit)
}
