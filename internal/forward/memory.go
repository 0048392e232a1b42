package forward

import (
	"errors"
	"io"
	"sync"
)

// defaultMaxHeld is the bound of the bytes that requests hold if none is set.
const defaultMaxHeld = 32 << 20

var errHeldTooMuch = errors.New("forward: the requests and responses in memory take all of it that they may")

// memoryBudget bounds the bytes of request and response bodies that are held for clients and
// endpoints, which may read slowly. It is safe for concurrent use.
type memoryBudget struct {
	mu   sync.Mutex
	held int64
}

// reserve reserves n bytes of at most limit. It reports whether they are available.
func (b *memoryBudget) reserve(n, limit int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > limit {
		return false
	}
	b.held += n
	return true
}

func (b *memoryBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// reservation is the part of the budget that one request uses.
type reservation struct {
	f *Forwarder
	n int64
}

func (r *reservation) add(n int64) bool {
	limit := r.f.MaxHeld
	if limit <= 0 {
		limit = defaultMaxHeld
	}
	if !r.f.memory.reserve(n, limit) {
		return false
	}
	r.n += n
	return true
}

func (r *reservation) release() {
	r.f.memory.release(r.n)
	r.n = 0
}

// reservingReader reserves each byte that it reads. It fails with errHeldTooMuch.
type reservingReader struct {
	io.Reader
	reserved *reservation
}

// Read implements io.Reader.
func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.reserved.add(int64(n)) {
		return 0, errHeldTooMuch
	}
	return n, err
}

// HeldBytes returns the number of bytes of request and response bodies in memory.
func (f *Forwarder) HeldBytes() int64 {
	f.memory.mu.Lock()
	defer f.memory.mu.Unlock()
	return f.memory.held
}
