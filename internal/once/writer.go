package once

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chervilloom/internal/clock"
	"chervilloom/internal/platform"
	"chervilloom/internal/ring"
)

// Table is the part of the platform client that this package uses.
type Table interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (platform.Result, error)
}

// writeResult is the result of a conditional write of one row.
type writeResult uint8

const (
	writeCommitted writeResult = iota + 1
	writeRefused               // the row was not at the expected version; done receives the current row
	writeFailed                // certainly without effect
	writeAmbiguous             // may have been committed or may still be
)

// write is a conditional write of one row. done is called once with the result.
type write struct {
	key     string
	version uint64
	value   []byte
	done    func(writeResult, platform.Row)
}

// writer batches the writes of many calls in shared transactions, so that the
// platform receives far fewer transactions than there are calls.
//
// Claims have priority, because a caller waits for each. Notes (outcomes and
// releases) are added to batches of claims, and are committed alone only if no
// claim arrives within WriteLimits.NoteDelay.
type writer struct {
	table   Table
	clock   clock.Clock
	log     *slog.Logger
	metrics *metrics
	limits  WriteLimits

	claims *ring.Queue[write] // when full, the call is refused immediately
	notes  *ring.Queue[write] // when full, the note is dropped; the sweep queues outcomes again
	// noteLimiter limits the rate of notes, so that they don't use up the platform's row
	// rate: a refused claim means a refused caller, while a note can be written
	// later.
	noteLimiter *rate.Limiter

	collecting        chan struct{} // mutex: contains a token while a committer collects a batch
	lastCommitStart   time.Time     // start of the last commit; guarded by collecting
	claimsPausedUntil atomic.Int64  // clock.Instant until which claims are refused without asking the table
	nextPause         atomic.Int64  // next pause in nanoseconds
	notesPausedUntil  atomic.Int64  // clock.Instant until which notes are dropped, as the platform's rate limit was exceeded
}

// WriteLimits limits the load of one node on the table.
type WriteLimits struct {
	MinInterval    time.Duration // minimum interval between the starts of commits; default 25ms, with which six nodes commit at most 240 times per second
	InFlight       int           // maximum concurrent commits; default 4
	BatchRows      int           // maximum rows per commit; default 64
	NotesPerSecond float64       // maximum outcomes per second; default 25
	NoteDelay      time.Duration // maximum time that an outcome waits for a claim to share its commit; default 100ms
	Timeout        time.Duration // timeout of one commit; default 2s
	QueueCapacity  int           // capacity of the claim queue and of the note queue; default 1024
}

func (l WriteLimits) withDefaults() WriteLimits {
	setDefault(&l.MinInterval, 25*time.Millisecond)
	setDefault(&l.InFlight, 4)
	setDefault(&l.BatchRows, 64)
	setDefault(&l.NotesPerSecond, 25)
	setDefault(&l.NoteDelay, 100*time.Millisecond)
	setDefault(&l.Timeout, 2*time.Second)
	setDefault(&l.QueueCapacity, 1024)
	return l
}

func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

const (
	readBackTimeout = 500 * time.Millisecond

	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	notePause  = 5 * time.Second
)

func newWriter(t Table, c clock.Clock, log *slog.Logger, m *metrics, l WriteLimits) *writer {
	return &writer{
		table: t, clock: c, log: log, metrics: m, limits: l,
		claims: ring.NewQueue[write](l.QueueCapacity), notes: ring.NewQueue[write](l.QueueCapacity),
		noteLimiter: rate.NewLimiter(rate.Limit(l.NotesPerSecond), 2*int(l.NotesPerSecond)+1),
		collecting:  make(chan struct{}, 1),
	}
}

// enqueueClaim queues a claim. It reports false if the queue is full or the table was
// recently unavailable, so that the caller is refused immediately instead of
// after a timeout.
func (w *writer) enqueueClaim(op write) bool { return w.allowClaim() && w.claims.Offer(op) }

// allowClaim reports whether a claim may be sent to the table, like a circuit breaker.
// After a pause, one claim per firstPause is let through to probe the table; the
// others are refused without waiting for it.
func (w *writer) allowClaim() bool {
	until := w.claimsPausedUntil.Load()
	now := w.clock.Now()
	switch {
	case until == 0:
		return true
	case int64(now) < until:
		return false
	}
	return w.claimsPausedUntil.CompareAndSwap(until, int64(now.Add(firstPause)))
}

// enqueueNote queues an outcome or a release, or drops and counts it.
func (w *writer) enqueueNote(op write) {
	if int64(w.clock.Now()) < w.notesPausedUntil.Load() || !w.noteLimiter.Allow() || !w.notes.Offer(op) {
		w.metrics.notesDropped.Inc()
	}
}

// run commits queued writes until ctx ends, then fails the remaining ones.
func (w *writer) run(ctx context.Context) {
	var group sync.WaitGroup
	for range w.limits.InFlight {
		group.Go(func() { w.commitLoop(ctx) })
	}
	group.Wait()
	w.failQueued()
}

func (w *writer) commitLoop(ctx context.Context) {
	for {
		batch, ok := w.collect(ctx)
		if !ok {
			return
		}
		w.commit(ctx, batch)
	}
}

// failQueued fails the writes that are still queued at shutdown.
func (w *writer) failQueued() {
	for {
		select {
		case op := <-w.claims.C():
			op.done(writeFailed, platform.Row{})
		case op := <-w.notes.C():
			op.done(writeFailed, platform.Row{})
		default:
			return
		}
	}
}

// collect waits for the next batch. Only one committer collects at a time, so that
// the writes that arrive within MinInterval go into one batch instead of one per
// committer.
func (w *writer) collect(ctx context.Context) ([]write, bool) {
	w.collecting <- struct{}{}
	defer func() { <-w.collecting }()
	first, ok := w.firstWrite(ctx)
	if !ok {
		return nil, false
	}
	if !clock.Sleep(ctx, w.limits.MinInterval-time.Since(w.lastCommitStart)) {
		first.done(writeFailed, platform.Row{})
		return nil, false
	}
	w.lastCommitStart = time.Now()
	return w.fillBatch(first), true
}

func (w *writer) firstWrite(ctx context.Context) (write, bool) {
	select {
	case op := <-w.claims.C():
		return op, true
	case op := <-w.notes.C():
		return w.waitForClaim(ctx, op)
	case <-ctx.Done():
		return write{}, false
	}
}

// waitForClaim waits for a claim to commit together with the note. When one arrives,
// the note is queued again and the claim is returned; after the delay the note is
// returned.
func (w *writer) waitForClaim(ctx context.Context, note write) (write, bool) {
	timer := time.NewTimer(w.limits.NoteDelay)
	defer timer.Stop()
	select {
	case op := <-w.claims.C():
		if !w.notes.Offer(note) {
			w.metrics.notesDropped.Inc()
		}
		return op, true
	case <-timer.C:
		return note, true
	case <-ctx.Done():
		note.done(writeFailed, platform.Row{})
		return write{}, false
	}
}

func (w *writer) fillBatch(first write) []write {
	batch := append(make([]write, 0, 8), first)
	batch = w.appendQueued(batch, w.claims)
	return w.appendQueued(batch, w.notes)
}

func (w *writer) appendQueued(batch []write, q *ring.Queue[write]) []write {
	for len(batch) < w.limits.BatchRows {
		select {
		case op := <-q.C():
			batch = append(batch, op)
		default:
			return batch
		}
	}
	return batch
}

func (w *writer) markAvailable() {
	w.claimsPausedUntil.Store(0)
	w.nextPause.Store(0)
}

// markUnavailable makes claims be refused immediately for a pause that doubles each
// time up to maxPause. If the platform's rate limit was exceeded, the pause is
// always firstPause, since the platform does answer, and notes are dropped for
// notePause.
func (w *writer) markUnavailable(err error) {
	pause := min(max(time.Duration(w.nextPause.Load()), firstPause), maxPause)
	if errors.Is(err, platform.ErrRateLimited) {
		pause = firstPause
		w.notesPausedUntil.Store(int64(w.clock.Now().Add(notePause)))
	}
	w.nextPause.Store(int64(2 * pause))
	w.claimsPausedUntil.Store(int64(w.clock.Now().Add(pause)))
	w.log.Warn("key claims refused: table unavailable; retrying after the pause", "pause_seconds", pause.Seconds(), "err", err)
}
