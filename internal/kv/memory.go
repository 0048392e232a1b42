package kv

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// maxObjects bounds the exports that are kept for an import at once.
	maxObjects = 8
	// maxMoves bounds what one Decide asks for, so that a rollout over many
	// groups does not fill the object store's share of writes.
	maxMoves = 2
)

// place is one generation of a group.
type place struct {
	group      fleet.GroupID
	generation fleet.Generation
}

func placeOf(g *fleet.Group) place { return place{g.ID, g.Generation} }

// drain is how far the decision on a draining group is.
type drain int

const (
	undecided drain = iota
	silent          // its leader does not answer; it may yet
	decided
)

// exported is an object that holds KV cache.
type exported struct {
	at       clock.Instant
	from     fleet.GroupID
	prefixes []uint64
}

// Memory is what Decide remembers. It is lost with the process and when the duty
// moves: exports that were not imported by then are not imported at all, and
// their objects are overwritten by the key's next export.
type Memory struct {
	begun    bool
	serving  map[place]clock.Instant // since when it was seen to serve; 0: from the beginning
	drained  map[place]drain
	imported map[place]clock.Instant // of the export that was offered last
	objects  map[Key]exported
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		serving: map[place]clock.Instant{}, drained: map[place]drain{},
		imported: map[place]clock.Instant{}, objects: map[Key]exported{},
	}
}

// Exporting notes that an export is about to begin: until it has surely ended
// well nobody can vouch for what the object holds. An export that failed may have
// written half of it, or the cache of a leader that had moved on; the one before
// it is gone as well then.
func (m *Memory) Exporting(a *Action) { delete(m.objects, a.Key) }

// Exported notes that an export has surely ended well.
func (m *Memory) Exported(a *Action, now clock.Instant) {
	m.objects[a.Key] = exported{at: now, from: a.Group, prefixes: a.Prefixes}
}

// Emptied notes that an object is of no use any more.
func (m *Memory) Emptied(k Key) { delete(m.objects, k) }

// sweep forgets the places that exist no more.
func (m *Memory) sweep(now map[place]bool) {
	for p := range m.serving {
		if !now[p] {
			delete(m.serving, p)
		}
	}
	for p := range m.drained {
		if !now[p] {
			delete(m.drained, p)
		}
	}
	for p := range m.imported {
		if !now[p] {
			delete(m.imported, p)
		}
	}
}
