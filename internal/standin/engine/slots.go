package engine

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// errQueueFull is returned when the queue limit is reached.
var errQueueFull = errors.New("the queue is full")

// slots bounds the number of requests that run concurrently. Other requests wait, in
// order of priority and then of arrival. It is safe for concurrent use.
type slots struct {
	mu         sync.Mutex
	capacity   int
	running    int
	queueLimit int // requests that may wait
	waiting    waiters
	arrivals   uint64                     // requests so far
	onChange   func(running, waiting int) // called after each change, with mu held
}

type waiter struct {
	priority int
	arrival  uint64        // order of arrival
	index    int           // in the heap; -1 if not queued
	ready    chan struct{} // closed when the waiter gets a slot
}

func newSlots(size, limit int, changed func(running, waiting int)) *slots {
	return &slots{capacity: size, queueLimit: limit, onChange: changed}
}

// acquire waits for a slot. It returns errQueueFull, or the error of ctx if ctx is
// done first.
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

// enqueue takes a free slot or queues the request.
func (s *slots) enqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &waiter{priority: priority, arrival: s.arrivals, index: -1, ready: make(chan struct{})}
	s.arrivals++
	switch {
	case s.running < s.capacity:
		s.running++
		close(w.ready)
	case len(s.waiting) >= s.queueLimit:
		return nil, errQueueFull
	default:
		heap.Push(&s.waiting, w)
	}
	s.onChange(s.running, len(s.waiting))
	return w, nil
}

// abandon removes w from the queue, or releases its slot if it got one at the same
// moment.
func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.waiting, w.index)
		s.onChange(s.running, len(s.waiting))
		return
	}
	s.passSlot()
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passSlot()
}

// passSlot passes a returned slot to the first waiter, or frees it. The caller holds
// s.mu.
func (s *slots) passSlot() {
	if len(s.waiting) > 0 {
		w := heap.Pop(&s.waiting).(*waiter)
		close(w.ready)
	} else {
		s.running--
	}
	s.onChange(s.running, len(s.waiting))
}

// waiters implements heap.Interface: the highest priority first, then the earliest
// arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }

func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
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
