package kv

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// maxObjects is the maximum number of exports kept for import.
	maxObjects = 8
	// maxMoves is the maximum number of exports and imports returned by one Decide, so
	// that a rollout over many groups doesn't use up the object store's write quota.
	maxMoves = 2
)

// groupGeneration identifies one generation of a group.
type groupGeneration struct {
	group      fleet.GroupID
	generation fleet.Generation
}

func generationOf(g *fleet.Group) groupGeneration { return groupGeneration{g.ID, g.Generation} }

// drainState is the state of the export decision for a draining group.
type drainState int

const (
	undecided    drainState = iota
	unresponsive            // the leader doesn't respond; the decision is postponed
	decided
)

// exportedObject describes an object that holds a KV cache.
type exportedObject struct {
	exportedAt clock.Instant
	source     fleet.GroupID
	prefixes   []uint64
}

// Memory is the state that Decide keeps between calls. It is lost when the process ends
// or the duty moves to another node: exports not imported by then are never imported,
// and their objects are overwritten by the key's next export.
type Memory struct {
	hasRun       bool                              // Decide was called before
	servingSince map[groupGeneration]clock.Instant // when the group was first seen serving; 0 if at the first Decide
	drainStates  map[groupGeneration]drainState
	lastImported map[groupGeneration]clock.Instant // time of the export last selected for import
	objects      map[Key]exportedObject
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		servingSince: map[groupGeneration]clock.Instant{}, drainStates: map[groupGeneration]drainState{},
		lastImported: map[groupGeneration]clock.Instant{}, objects: map[Key]exportedObject{},
	}
}

// RecordExportStart records that an export is about to start and forgets the key's previous
// export. The object's content is unknown until the export has succeeded: a failed export
// may have written part of the data, or the cache of a leader that had been assigned to
// another generation.
func (m *Memory) RecordExportStart(a *Action) { delete(m.objects, a.Key) }

// RecordExport records that an export has succeeded.
func (m *Memory) RecordExport(a *Action, now clock.Instant) {
	m.objects[a.Key] = exportedObject{exportedAt: now, source: a.Group, prefixes: a.Prefixes}
}

// RecordEmptied records that an object must not be imported any more.
func (m *Memory) RecordEmptied(k Key) { delete(m.objects, k) }

// forgetMissing removes the group generations that aren't in present.
func (m *Memory) forgetMissing(present map[groupGeneration]bool) {
	for p := range m.servingSince {
		if !present[p] {
			delete(m.servingSince, p)
		}
	}
	for p := range m.drainStates {
		if !present[p] {
			delete(m.drainStates, p)
		}
	}
	for p := range m.lastImported {
		if !present[p] {
			delete(m.lastImported, p)
		}
	}
}
