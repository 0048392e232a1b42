// Package ring joins the goroutines of the pipelines by bounded queues.
package ring

import "sync"

// Queue is a bounded first-in-first-out queue. A full queue refuses: the
// producer tells its own client at once instead of waiting without bound.
type Queue[T any] struct{ c chan T }

// NewQueue returns a queue that holds up to size items.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{c: make(chan T, size)} }

// Offer adds v and reports whether there was room.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		return false
	}
}

// C is the receiving end.
func (q *Queue[T]) C() <-chan T { return q.c }

// Len returns the number of items that wait.
func (q *Queue[T]) Len() int { return len(q.c) }

// Latest is a bounded mailbox that keeps the newest value for each key. A slow
// consumer sees fewer values, never old ones; when size keys wait already, a
// value for a new key is dropped and counted, and the next report of that key
// brings it back.
type Latest[K comparable, V any] struct {
	mu      sync.Mutex
	size    int
	order   []K
	value   map[K]V
	dropped uint64
	wake    chan struct{}
}

// NewLatest returns a mailbox for up to size keys.
func NewLatest[K comparable, V any](size int) *Latest[K, V] {
	return &Latest[K, V]{size: size, value: make(map[K]V, size), wake: make(chan struct{}, 1)}
}

// Put stores v as the newest value of k.
func (l *Latest[K, V]) Put(k K, v V) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.value[k]; !ok {
		if len(l.order) >= l.size {
			l.dropped++
			return
		}
		l.order = append(l.order, k)
	}
	l.value[k] = v
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Wake receives after a Put; a receive stands for any number of them.
func (l *Latest[K, V]) Wake() <-chan struct{} { return l.wake }

// Take empties the mailbox into the values in order of their keys' arrival.
func (l *Latest[K, V]) Take() []V {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]V, 0, len(l.order))
	for _, k := range l.order {
		out = append(out, l.value[k])
	}
	l.order = l.order[:0]
	clear(l.value)
	return out
}

// Dropped returns how many values were dropped for want of room.
func (l *Latest[K, V]) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
