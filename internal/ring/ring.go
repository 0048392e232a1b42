// Package ring connects pipeline goroutines by bounded queues.
package ring

import "sync"

// Queue is a bounded first-in-first-out queue. If it is full, the producer can reject its
// client immediately instead of waiting without limit.
type Queue[T any] struct{ c chan T }

// NewQueue returns a queue for up to size items.
func NewQueue[T any](size int) *Queue[T] { return &Queue[T]{c: make(chan T, size)} }

// Offer adds v and reports whether there was capacity.
func (q *Queue[T]) Offer(v T) bool {
	select {
	case q.c <- v:
		return true
	default:
		return false
	}
}

// C returns the channel to receive from.
func (q *Queue[T]) C() <-chan T { return q.c }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.c) }

// Latest is a bounded mailbox that keeps the newest value of each key. A slow consumer gets
// fewer values, never outdated ones. If size keys are queued already, a value for a new key
// is dropped and counted; the key is queued by its next Put.
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

// Wake returns a channel that receives after a Put; one receive may represent several Puts.
func (l *Latest[K, V]) Wake() <-chan struct{} { return l.wake }

// Drain removes and returns all values in order of their keys' arrival.
func (l *Latest[K, V]) Drain() []V {
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

// Dropped returns the number of values dropped for lack of capacity.
func (l *Latest[K, V]) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
