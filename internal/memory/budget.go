package memory

import (
	"errors"
	"io"
	"sync"
	"time"
)

// Budget bounds the bytes that are held for clients and endpoints, which may send and read slowly. It
// is safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes that may be held at the same time; 0: DefaultLimit.
	Limit int64
	// OnShort is called with the number of missing bytes, so that reservations are released; may be
	// nil.
	OnShort func(missing int64)

	mu      sync.Mutex
	held    int64
	reading map[string]int64 // of held: for responses that are being read, by source
	freed   chan struct{}    // closed at the next release; nil: nobody waits
}

// DefaultLimit is the limit of a budget that has none, in bytes.
const DefaultLimit = 32 << 20

// sourceShare is the part of the budget that the responses of one source may take while they are being
// read, so that one endpoint with slow or endless bodies leaves the others room.
const sourceShare = 0.25

// ErrFull means that the budget is used up.
var ErrFull = errors.New("memory: the requests and responses in memory take all of it that they may; raise the VM's memory if this lasts")

func (b *Budget) limit() int64 {
	if b.Limit > 0 {
		return b.Limit
	}
	return DefaultLimit
}

// Reserve reserves n bytes, for a response of the source if one is given. It reports whether they are
// available.
func (b *Budget) Reserve(n int64, source string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(n, source)
}

func (b *Budget) reserve(n int64, source string) bool {
	limit := b.limit()
	if b.held+n > limit || source != "" && float64(b.reading[source]+n) > sourceShare*float64(limit) {
		return false
	}
	b.held += n
	if source != "" {
		if b.reading == nil {
			b.reading = map[string]int64{}
		}
		b.reading[source] += n
	}
	return true
}

// Await reserves n bytes and waits for them, for at most the given time. It reports whether they are
// reserved.
func (b *Budget) Await(n int64, wait time.Duration) bool {
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		if b.reserve(n, "") {
			b.mu.Unlock()
			return true
		}
		missing := b.held + n - b.limit()
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		if b.OnShort != nil {
			b.OnShort(missing)
		}
		if timeout == nil {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-freed:
		case <-timeout:
			return false
		}
	}
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Held returns the number of reserved bytes.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// endRead takes n bytes from the source's share; they stay reserved.
func (b *Budget) endRead(n int64, source string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n == 0 {
		return
	}
	b.reading[source] -= n
	if b.reading[source] <= 0 {
		delete(b.reading, source)
	}
}

// Reservation is the part of a budget that one user holds. It is not safe for concurrent use.
type Reservation struct {
	Budget *Budget
	Source string // whose response is being read; empty: none
	n      int64
}

// Add reserves n bytes and reports whether they are available.
func (r *Reservation) Add(n int64) bool {
	if !r.Budget.Reserve(n, r.Source) {
		return false
	}
	r.n += n
	return true
}

// Await reserves n bytes and waits for them, for at most the given time.
func (r *Reservation) Await(n int64, wait time.Duration) bool {
	if !r.Budget.Await(n, wait) {
		return false
	}
	r.n += n
	return true
}

// EndRead ends the reading of the source's response, which stays in memory for the client.
func (r *Reservation) EndRead() {
	if r.Source != "" {
		r.Budget.endRead(r.n, r.Source)
		r.Source = ""
	}
}

// Release returns everything.
func (r *Reservation) Release() {
	r.EndRead()
	r.Budget.Release(r.n)
	r.n = 0
}

// Reader reserves each byte that it reads. It fails with ErrFull.
type Reader struct {
	io.Reader
	Reserved *Reservation
}

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.Reserved.Add(int64(n)) {
		return 0, ErrFull
	}
	return n, err
}

// Take adds what the other reservation holds, which is empty afterwards.
func (r *Reservation) Take(other *Reservation) {
	r.n += other.n
	other.n = 0
}
