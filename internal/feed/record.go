package feed

import "slices"

// changes are what an asker lacks of a table.
type changes[V any] struct {
	Seq     uint64   `json:"seq"`            // number of the newest change
	Full    bool     `json:"full,omitempty"` // Changed holds everything
	Changed []V      `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"` // keys
}

// record numbers the changes of a table.
type record[V any] struct {
	seq     uint64
	oldest  uint64 // removals up to here are forgotten
	current map[string]numbered[V]
	removed []removal
}

type numbered[V any] struct {
	value V
	seq   uint64
}

type removal struct {
	key string
	seq uint64
}

// keptRemovals is how many removals are remembered; an asker that lacks older
// ones gets everything.
const keptRemovals = 256

// take notes the newest content of the table.
func (r *record[V]) take(next map[string]V, same func(a, b V) bool) {
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
		r.removed = append(r.removed, removal{key, seq})
		r.seq = seq
	}
	if n := len(r.removed) - keptRemovals; n > 0 {
		r.oldest = r.removed[n-1].seq
		r.removed = slices.Clone(r.removed[n:])
	}
}

// since returns what has changed after seq; everything if seq is not known here.
func (r *record[V]) since(seq uint64, known bool) changes[V] {
	out := changes[V]{Seq: r.seq, Full: !known || seq < r.oldest}
	for _, n := range r.current {
		if out.Full || n.seq > seq {
			out.Changed = append(out.Changed, n.value)
		}
	}
	if out.Full {
		return out
	}
	for _, d := range r.removed {
		if d.seq > seq {
			out.Removed = append(out.Removed, d.key)
		}
	}
	return out
}

// Table is an asker's copy of a table.
type Table[V any] struct {
	List []V // in no order; never changed in place
	seq  uint64
}

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
