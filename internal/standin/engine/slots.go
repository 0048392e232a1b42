package engine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// errQueueFull means that as many requests wait as may.
var errQueueFull = errors.New("the queue is full")

// slots lets a bounded number of requests run at once; the others wait in order
// of priority, then of arrival. It is safe for concurrent use.
type slots struct {
	mu      sync.Mutex
	size    int
	running int
	limit   int // requests that may wait
	waiting waiters
	arrived uint64
	changed func(running, waiting int) // called with mu held
}

type waiter struct {
	priority int
	arrived  uint64
	index    int           // in the heap; -1: not in it
	ready    chan struct{} // closed when the slot is handed over
}

func newSlots(size, limit int, changed func(running, waiting int)) *slots {
	return &slots{size: size, limit: limit, changed: changed}
}

// acquire waits for a slot.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w, err := s.enqueue(priority)
	if err != nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

func (s *slots) enqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, arrived: s.arrived, index: -1, ready: make(chan struct{})}
	s.arrived++
	switch {
	case s.running < s.size:
		s.running++
		close(w.ready)
	case len(s.waiting) >= s.limit:
		return nil, errQueueFull
	default:
		heap.Push(&s.waiting, w)
	}
	s.changed(s.running, len(s.waiting))
	return w, nil
}

// abandon takes w out of the queue, or gives back the slot that it was handed
// at the same moment.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		s.changed(s.running, len(s.waiting))
		return
	}
	s.next()
}

// release gives a slot back.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next()
}

// next hands a slot that is free to the first in the queue.
func (s *slots) next() {
	if len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		close(w.ready)
	} else {
		s.running--
	}
	s.changed(s.running, len(s.waiting))
}

// waiters is a heap.Interface: higher priority first, then the earlier.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrived < q[j].arrived
}

func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}
