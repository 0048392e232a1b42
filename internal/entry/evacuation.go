package entry

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
)

// evacuations is the set of availability zones that the operator evacuates. Nothing is sent to
// the endpoints of these zones. It is read together with the configuration.
type evacuations struct {
	zones []string // the platform's zones
	clock clock.Clock
	log   *slog.Logger

	mu          sync.Mutex    // held while the sets are changed
	confirmedAt clock.Instant // start of the newest read that confirmed the set
	current     atomic.Pointer[map[string]bool]
	endedAt     atomic.Pointer[map[string]clock.Instant] // by zone: when its last evacuation ended here
}

// coldReportDelay is the time until the endpoint list shows at all nodes whether endpoints are
// cold: endpoints rewrite their entries every 1.2 s, entries appear up to 0.8 s later, and a
// follower receives the list up to 1.9 s after that.
const coldReportDelay = 4 * time.Second

// presumedCold returns the zones whose endpoints may have become cold without the endpoint list
// showing it yet: endpoints are cold at the end of an evacuation.
func (e *evacuations) presumedCold() map[string]bool {
	ended := e.endedAt.Load()
	if ended == nil {
		return nil
	}
	var out map[string]bool // nil in the usual case, in which no evacuation has ended lately
	for zone, at := range *ended {
		if e.clock.Now().Sub(at) >= coldReportDelay {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[zone] = true
	}
	return out
}

// evacuated returns the evacuated zones. The caller must not modify the map.
func (e *evacuations) evacuated() map[string]bool {
	if m := e.current.Load(); m != nil {
		return *m
	}
	return nil
}

func (e *evacuations) contains(zone string) bool { return e.evacuated()[zone] }

// list returns the evacuated zones in alphabetical order, never nil.
func (e *evacuations) list() []string {
	return append([]string{}, slices.Sorted(maps.Keys(e.evacuated()))...)
}

// apply applies a change that was read at asked. A complete set that is older than the known one
// is ignored.
func (e *evacuations) apply(change catalog.EvacuationChange, asked clock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if change.Complete && asked.Before(e.confirmedAt) {
		return
	}
	e.confirmedAt = max(e.confirmedAt, asked)
	before := e.evacuated()
	next := map[string]bool{}
	if !change.Complete {
		maps.Copy(next, before)
	}
	for zone, evacuated := range change.Zones {
		if evacuated {
			next[zone] = true
			continue
		}
		delete(next, zone)
	}
	if maps.Equal(before, next) {
		return
	}
	e.recordEnds(before, next)
	e.current.Store(&next)
	e.logChange(before, next)
}

// recordEnds records the evacuations that end with the change from before to next.
func (e *evacuations) recordEnds(before, next map[string]bool) {
	ended := map[string]clock.Instant{}
	if old := e.endedAt.Load(); old != nil {
		maps.Copy(ended, *old)
	}
	for zone := range before {
		if !next[zone] {
			ended[zone] = e.clock.Now()
		}
	}
	if len(ended) > 0 {
		e.endedAt.Store(&ended)
	}
}

// applyPeerList applies the complete set of another node, which it read at asked; nil: that node
// doesn't report evacuations.
func (e *evacuations) applyPeerList(zones []string, asked clock.Instant) {
	if zones == nil {
		return
	}
	change := catalog.EvacuationChange{Complete: true, Zones: map[string]bool{}}
	for _, zone := range zones {
		change.Zones[zone] = true
	}
	e.apply(change, asked)
}

func (e *evacuations) logChange(before, next map[string]bool) {
	for zone := range next {
		switch {
		case before[zone]:
		case !slices.Contains(e.zones, zone):
			e.log.Warn("evacuation of an unknown zone has no effect; check the zone's name", "zone", zone, "zones", e.zones)
		default:
			e.log.Info("zone is evacuated; its endpoints get no requests", "zone", zone)
		}
	}
	for zone := range before {
		if !next[zone] {
			e.log.Info("evacuation of a zone ended", "zone", zone)
		}
	}
}
