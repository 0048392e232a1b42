package feed

import "slices"

// changes are the changes of a table that a polling node lacks.
type changes[V any] struct {
	Seq     uint64   `json:"seq"`            // number of the newest change
	Full    bool     `json:"full,omitempty"` // Changed is the complete table
	Changed []V      `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"` // keys of removed entries
}

// changeLog numbers the changes of a table.
type changeLog[V any] struct {
	seq          uint64
	discardedSeq uint64 // number of the newest removal that was discarded
	current      map[string]numbered[V]
	removals     []removal
}

type numbered[V any] struct {
	value V
	seq   uint64
}

type removal struct {
	key string
	seq uint64
}

// maxRemovals is the number of removals to keep; a node that lacks older ones gets the
// complete table.
const maxRemovals = 256

// update updates the log to the newest content of the table. Entries that are the same as
// before keep their numbers.
func (r *changeLog[V]) update(next map[string]V, same func(a, b V) bool) {
	if r.current == nil {
		r.current = map[string]numbered[V]{}
	}
	seq := r.seq + 1
	for key, v := range next {
		if old, ok := r.current[key]; ok && same(old.value, v) {
			continue
		}
		r.current[key] = numbered[V]{v, seq}
		r.seq = seq
	}
	for key := range r.current {
		if _, ok := next[key]; ok {
			continue
		}
		delete(r.current, key)
		r.removals = append(r.removals, removal{key, seq})
		r.seq = seq
	}
	if n := len(r.removals) - maxRemovals; n > 0 {
		r.discardedSeq = r.removals[n-1].seq
		r.removals = slices.Clone(r.removals[n:])
	}
}

// since returns the changes after seq, or the complete table if seq is too old or, as known
// reports, not of this incarnation.
func (r *changeLog[V]) since(seq uint64, known bool) changes[V] {
	out := changes[V]{Seq: r.seq, Full: !known || seq < r.discardedSeq}
	for _, n := range r.current {
		if out.Full || n.seq > seq {
			out.Changed = append(out.Changed, n.value)
		}
	}
	if out.Full {
		return out
	}
	for _, d := range r.removals {
		if d.seq > seq {
			out.Removed = append(out.Removed, d.key)
		}
	}
	return out
}

// Table is a polling node's copy of a table.
type Table[V any] struct {
	List []V // unordered; never modified in place
	seq  uint64
}

// apply updates the copy; key returns an entry's key.
func (t *Table[V]) apply(c changes[V], key func(V) string) {
	t.seq = c.Seq
	if c.Full {
		t.List = c.Changed
		return
	}
	if len(c.Changed) == 0 && len(c.Removed) == 0 {
		return
	}
	replaced := map[string]bool{}
	for _, v := range c.Changed {
		replaced[key(v)] = true
	}
	for _, k := range c.Removed {
		replaced[k] = true
	}
	next := make([]V, 0, len(t.List)+len(c.Changed))
	for _, v := range t.List {
		if !replaced[key(v)] {
			next = append(next, v)
		}
	}
	t.List = append(next, c.Changed...)
}
