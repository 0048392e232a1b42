package forward

import (
	"errors"
	"io"
	"sync"

	"chervilloom/internal/roster"
)

// defaultMaxHeld is the bound of the bytes that requests hold if none is set.
const defaultMaxHeld = 32 << 20

var errHeldTooMuch = errors.New("forward: the requests and responses in memory take all of it that they may")

// memoryBudget bounds the bytes of request and response bodies that are held for clients and
// endpoints, which may read slowly. It is safe for concurrent use.
type memoryBudget struct {
	mu      sync.Mutex
	held    int64
	reading map[roster.ID]int64 // of held: for responses that are being read, by endpoint
}

// endpointShare is the part of the budget that the responses of one endpoint may take while they are
// being read, so that one endpoint with slow or endless bodies leaves the others room.
const endpointShare = 0.25

// reserve reserves n bytes of at most limit, for a response of the endpoint if one is given. It
// reports whether they are available.
func (b *memoryBudget) reserve(n, limit int64, endpoint roster.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > limit || endpoint != "" && float64(b.reading[endpoint]+n) > endpointShare*float64(limit) {
		return false
	}
	b.held += n
	if endpoint != "" {
		if b.reading == nil {
			b.reading = map[roster.ID]int64{}
		}
		b.reading[endpoint] += n
	}
	return true
}

func (b *memoryBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}

// endRead takes n bytes from the endpoint's share; they stay reserved.
func (b *memoryBudget) endRead(n int64, endpoint roster.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == 0 {
		return
	}
	b.reading[endpoint] -= n
	if b.reading[endpoint] <= 0 {
		delete(b.reading, endpoint)
	}
}

// reservation is the part of the budget that one request uses.
type reservation struct {
	f        *Forwarder
	n        int64
	endpoint roster.ID // whose response is being read; empty: none
}

func (r *reservation) add(n int64) bool {
	limit := r.f.MaxHeld
	if limit <= 0 {
		limit = defaultMaxHeld
	}
	if !r.f.memory.reserve(n, limit, r.endpoint) {
		return false
	}
	r.n += n
	return true
}

// endRead ends the reading of the endpoint's response, which stays in memory for the client.
func (r *reservation) endRead() {
	if r.endpoint != "" {
		r.f.memory.endRead(r.n, r.endpoint)
		r.endpoint = ""
	}
}

func (r *reservation) release() {
	r.endRead()
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
