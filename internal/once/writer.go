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

// Table is what the keys need of the platform's table.
type Table interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (platform.Result, error)
}

// writeEnd is how a conditional write of one row ended.
type writeEnd uint8

const (
	writeLanded  writeEnd = iota + 1
	writeRefused          // the row was not at the version; it is in the result
	writeFailed           // surely without effect
	writeUnclear          // may have landed, or may yet
)

// write is one conditional write of one row.
type write struct {
	key     string
	version uint64
	value   []byte
	done    func(writeEnd, platform.Row)
}

// writer commits the writes of many calls in shared transactions, so that the
// platform sees far fewer transactions than there are calls.
//
// Claims go first: a caller waits for each. Notes (outcomes, releases) ride
// along, and go alone only when no claim has come for noteDelay.
type writer struct {
	table  Table
	clock  clock.Clock
	log    *slog.Logger
	meters *meters
	limits WriteLimits

	claims *ring.Queue[write] // full: the call is refused at once
	notes  *ring.Queue[write] // full: dropped; the sweeper offers it again
	// pace keeps notes from using up the rows that the platform takes: a claim
	// that it refuses is a caller refused, a note can come later.
	pace *rate.Limiter

	turn      chan struct{} // holds one token while a committer collects the next batch
	lastStart time.Time     // of the newest commit; guarded by turn
	downUntil atomic.Int64  // clock.Instant until which claims are refused unasked
	downFor   atomic.Int64  // the next pause, in nanoseconds
	quiet     atomic.Int64  // clock.Instant until which notes are dropped: the platform was over its rate
}

// WriteLimits bounds what one node asks of the table.
type WriteLimits struct {
	Gap       time.Duration // least time between two commits' starts; default 25ms: six nodes commit 240 times a second at most
	InFlight  int           // commits at once; default 4
	Batch     int           // rows of one commit; default 64
	Notes     float64       // outcomes a second; default 25
	NoteDelay time.Duration // how long an outcome waits for a claim to ride with; default 100ms
	Timeout   time.Duration // of one commit; default 2s
	Queue     int           // claims and notes that wait, each; default 1024
}

func (l WriteLimits) withDefaults() WriteLimits {
	setDefault(&l.Gap, 25*time.Millisecond)
	setDefault(&l.InFlight, 4)
	setDefault(&l.Batch, 64)
	setDefault(&l.Notes, 25)
	setDefault(&l.NoteDelay, 100*time.Millisecond)
	setDefault(&l.Timeout, 2*time.Second)
	setDefault(&l.Queue, 1024)
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
	quietPause = 5 * time.Second
)

func newWriter(t Table, c clock.Clock, log *slog.Logger, m *meters, l WriteLimits) *writer {
	return &writer{
		table: t, clock: c, log: log, meters: m, limits: l,
		claims: ring.NewQueue[write](l.Queue), notes: ring.NewQueue[write](l.Queue),
		pace: rate.NewLimiter(rate.Limit(l.Notes), 2*int(l.Notes)+1),
		turn: make(chan struct{}, 1),
	}
}

// claim queues a claim. It reports false when the queue is full or the table
// did not answer a moment ago: the caller is told so at once instead of waiting
// for a timeout.
func (w *writer) claim(op write) bool { return w.open() && w.claims.Offer(op) }

// open reports whether a claim may be tried. After a pause one claim at a time
// finds out whether the table answers again; the others need not wait for it.
func (w *writer) open() bool {
	until := w.downUntil.Load()
	now := w.clock.Now()
	switch {
	case until == 0:
		return true
	case int64(now) < until:
		return false
	}
	return w.downUntil.CompareAndSwap(until, int64(now.Add(firstPause)))
}

// note queues an outcome.
func (w *writer) note(op write) {
	if int64(w.clock.Now()) < w.quiet.Load() || !w.pace.Allow() || !w.notes.Offer(op) {
		w.meters.notesDropped.Inc()
	}
}

// run commits until ctx ends.
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

// failQueued ends the writes that nobody will commit any more.
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

// collect waits for the next batch. It holds the turn, so that what arrives in
// the gap goes into one batch instead of one for each committer.
func (w *writer) collect(ctx context.Context) ([]write, bool) {
	w.turn <- struct{}{}
	defer func() { <-w.turn }()
	first, ok := w.first(ctx)
	if !ok {
		return nil, false
	}
	if !clock.Sleep(ctx, w.limits.Gap-time.Since(w.lastStart)) {
		first.done(writeFailed, platform.Row{})
		return nil, false
	}
	w.lastStart = time.Now()
	return w.fill(first), true
}

func (w *writer) first(ctx context.Context) (write, bool) {
	select {
	case op := <-w.claims.C():
		return op, true
	case op := <-w.notes.C():
		return w.waitToRide(ctx, op)
	case <-ctx.Done():
		return write{}, false
	}
}

// waitToRide holds a note until a claim comes or the delay is over.
func (w *writer) waitToRide(ctx context.Context, note write) (write, bool) {
	timer := time.NewTimer(w.limits.NoteDelay)
	defer timer.Stop()
	select {
	case op := <-w.claims.C():
		if !w.notes.Offer(note) {
			w.meters.notesDropped.Inc()
		}
		return op, true
	case <-timer.C:
		return note, true
	case <-ctx.Done():
		note.done(writeFailed, platform.Row{})
		return write{}, false
	}
}

func (w *writer) fill(first write) []write {
	batch := append(make([]write, 0, 8), first)
	batch = w.drain(batch, w.claims)
	return w.drain(batch, w.notes)
}

func (w *writer) drain(batch []write, q *ring.Queue[write]) []write {
	for len(batch) < w.limits.Batch {
		select {
		case op := <-q.C():
			batch = append(batch, op)
		default:
			return batch
		}
	}
	return batch
}

func (w *writer) answered() {
	w.downUntil.Store(0)
	w.downFor.Store(0)
}

// unreachable makes claims be refused at once for a while that doubles. Over
// the platform's rate the first pause is enough: it answers.
func (w *writer) unreachable(err error) {
	pause := min(max(time.Duration(w.downFor.Load()), firstPause), maxPause)
	if errors.Is(err, platform.ErrLimited) {
		pause = firstPause
		w.quiet.Store(int64(w.clock.Now().Add(quietPause)))
	}
	w.downFor.Store(int64(2 * pause))
	w.downUntil.Store(int64(w.clock.Now().Add(pause)))
	w.log.Warn("claims of keys are refused, the table does not answer; it is asked again soon", "pause_seconds", pause.Seconds(), "err", err)
}
