package entry

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// ConfigurationSource reads the operator's configuration.
type ConfigurationSource interface {
	Configuration(ctx context.Context) (catalog.Change, error)
	AwaitConfiguration(ctx context.Context, cursor catalog.Cursor, wait time.Duration) (catalog.Change, error)
}

// EndpointSource reads the list of endpoints.
type EndpointSource interface {
	Endpoints(ctx context.Context) (roster.Listing, error)
}

// The pace of the reads. A key may be served for revokeMargin less than the
// platform's bound after the start of the last read that confirmed it. With
// these times a node that asks another one stays fresh over two lost answers in
// a row: what it is told is up to 1.6 s old, and it asks every 0.9 s; 5 s are
// both users' bound.
const (
	configWait   = 800 * time.Millisecond // how long a read waits for a change
	configLimit  = 600 * time.Millisecond // for the answer beyond that
	configPause  = 500 * time.Millisecond // after a read that failed
	revokeMargin = 400 * time.Millisecond

	rosterPause = time.Second            // between two reads of the list
	rosterAgain = 300 * time.Millisecond // at least between two
	rosterDown  = 400 * time.Millisecond // and beyond that after one that failed
	rosterLimit = 700 * time.Millisecond // for the answer

	idlePause = 200 * time.Millisecond // while another node keeps this one up to date
)

// configWatcher keeps the newest configuration.
type configWatcher struct {
	source  ConfigurationSource
	clock   clock.Clock
	log     *slog.Logger
	mu      sync.Mutex // held while a document is put into force
	current atomic.Pointer[catalog.Catalog]
	// confirmed is the start of the last read that shows the configuration in
	// force at that time.
	confirmed atomic.Int64
	// idle reports whether another node keeps the configuration up to date.
	idle func() bool
	// heard is the newest version that another node was heard to have.
	heard atomic.Uint64
	// askOthers asks the nodes that read the store what they have in force, before this
	// node believes its first document; nil: nobody is asked.
	askOthers func(context.Context)
	backoff   backoff
}

func (w *configWatcher) run(ctx context.Context) error {
	var cursor catalog.Cursor
	known, down, behind := false, false, false
	for ctx.Err() == nil {
		if w.idle() {
			known = false // changes since then came from elsewhere
			clock.Sleep(ctx, idlePause)
			continue
		}
		asked := w.clock.Now()
		change, err := w.read(ctx, cursor, known)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			known = known && !errors.Is(err, catalog.ErrHistoryGone)
			if !down {
				w.log.Warn("configuration not read", "err", err, "version", w.version())
			}
			down = true
			var invalid *catalog.InvalidDocument
			if errors.As(err, &invalid) {
				known = false
			}
			clock.Sleep(ctx, w.backoff.failed(configPause))
			continue
		}
		w.backoff.succeeded()
		if down {
			w.log.Info("configuration is read again", "version", w.version())
		}
		down = false
		if w.current.Load() == nil && change.Document != nil && w.askOthers != nil {
			w.askOthers(ctx)
		}
		before := known
		cursor, known = change.Cursor, w.shows(change.Document, known)
		if known {
			w.confirm(change.Document, asked)
			behind = false
			continue
		}
		if !behind && change.Document != nil {
			w.log.Warn("the store shows an older configuration than is in force; it confirms nothing", "shown", change.Document.Version, "version", w.version(), "heard", w.heard.Load(), "watched", before)
		}
		behind = change.Document != nil
		if before && !behind {
			continue // another node was told of a newer one before this watch was: read it at once
		}
		clock.Sleep(ctx, configPause) // none was ever written, or the newest is yet to come back
	}
	return nil
}

// shows reports whether a read shows the newest configuration that this node knows of: a
// newer one, or the one in force. A watch that went on shows that by its silence. A table
// that came back from an older copy shows an older document until the operator has
// written it again; were that taken for a confirmation, a key that the newer one takes
// away would be served for as long.
func (w *configWatcher) shows(doc *catalog.Document, watched bool) bool {
	newest := max(w.version(), w.heard.Load())
	if doc == nil {
		return watched && w.version() >= newest
	}
	return doc.Version >= newest
}

// hear takes up which version another node has in force.
func (w *configWatcher) hear(version uint64) {
	for {
		old := w.heard.Load()
		if version <= old || w.heard.CompareAndSwap(old, version) {
			return
		}
	}
}

func (w *configWatcher) read(ctx context.Context, cursor catalog.Cursor, known bool) (catalog.Change, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, configLimit)
		defer cancel()
		return w.source.Configuration(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, configWait+configLimit)
	defer cancel()
	return w.source.AwaitConfiguration(ctx, cursor, configWait)
}

// apply puts a document into force unless an equal or newer one is.
func (w *configWatcher) apply(doc *catalog.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if doc == nil || doc.Version <= w.version() {
		return
	}
	next, err := catalog.New(*doc)
	if err != nil {
		w.log.Error("configuration not taken; the last good one stays in force", "version", doc.Version, "err", err)
		return
	}
	w.log.Info("configuration in force", "version", doc.Version, "before", w.version(), "routes", len(doc.Routes))
	w.current.Store(next)
}

// confirm notes that a read that began at asked showed the configuration in
// force, with the document if it is a newer one.
func (w *configWatcher) confirm(doc *catalog.Document, asked clock.Instant) {
	w.apply(doc)
	for {
		old := w.confirmed.Load()
		if int64(asked) <= old || w.confirmed.CompareAndSwap(old, int64(asked)) {
			return
		}
	}
}

func (w *configWatcher) version() uint64 {
	if c := w.current.Load(); c != nil {
		return c.Version
	}
	return 0
}

// age is how long ago the configuration was last confirmed.
func (w *configWatcher) age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(w.confirmed.Load()))
}

// rosterWatcher keeps the newest list of endpoints.
type rosterWatcher struct {
	source  EndpointSource
	clock   clock.Clock
	log     *slog.Logger
	mu      sync.Mutex // held while the next roster is made
	current atomic.Pointer[roster.Roster]
	wake    chan struct{}
	idle    func() bool // another node keeps the list up to date
	// leaves is told that the list shows endpoints to leave or to be gone, and which of
	// these take requests; nil: nobody.
	leaves func(leaving, gone []roster.ID)
	// rejects counts entries that name no endpoint to use; nil: nobody counts.
	rejects prometheus.Counter
	told    map[string]bool // keys of rejected entries that were logged
	backoff backoff
}

// mostTold bounds the lines about rejected entries; the metric counts all.
const mostTold = 50

// noteRejected logs each rejected entry once.
func (w *rosterWatcher) noteRejected(rejected []roster.Rejected) {
	for _, r := range rejected {
		if w.rejects != nil {
			w.rejects.Inc()
		}
		if w.told[r.Key] || len(w.told) >= mostTold {
			continue
		}
		if w.told == nil {
			w.told = map[string]bool{}
		}
		w.told[r.Key] = true
		w.log.Warn("entry names no endpoint to use", "key", r.Key, "reason", r.Reason)
	}
}

func newRosterWatcher(source EndpointSource, c clock.Clock, log *slog.Logger) *rosterWatcher {
	w := &rosterWatcher{source: source, clock: c, log: log, wake: make(chan struct{}, 1)}
	w.current.Store(roster.Empty())
	return w
}

// soon asks for a read before the next one is due.
func (w *rosterWatcher) soon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *rosterWatcher) run(ctx context.Context) error {
	var recovered clock.Instant
	down := false
	for ctx.Err() == nil {
		if w.idle() {
			down = false
			w.await(ctx, idlePause)
			continue
		}
		asked := w.clock.Now()
		rctx, cancel := context.WithTimeout(ctx, rosterLimit)
		list, err := w.source.Endpoints(rctx)
		cancel()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			if !down {
				w.log.Warn("endpoints not read", "err", err, "age_ms", asked.Sub(w.current.Load().Asked).Milliseconds())
			}
			down = true
		default:
			if down {
				recovered = w.clock.Now()
				w.log.Info("endpoints are read again", "endpoints", len(list.Endpoints))
			}
			down = false
			w.backoff.succeeded()
			w.take(list, asked, recovered)
		}
		w.pause(ctx, down)
	}
	return nil
}

func (w *rosterWatcher) take(list roster.Listing, asked, recovered clock.Instant) {
	w.noteRejected(list.Rejected)
	w.mu.Lock()
	old := w.current.Load()
	next := roster.Merge(old, list, asked, recovered)
	w.current.Store(next)
	w.mu.Unlock()
	if w.leaves != nil {
		w.tellLeaving(old, next)
	}
}

func (w *rosterWatcher) tellLeaving(old, next *roster.Roster) {
	var leaving, gone []roster.ID
	left := false
	old.All(func(e *roster.Endpoint) {
		now := next.Get(e.ID)
		if !e.Usable() || now != nil && now.Usable() {
			return
		}
		left = true
		switch {
		case !e.TakesRequests():
		case now == nil:
			gone = append(gone, e.ID)
		default:
			leaving = append(leaving, e.ID)
		}
	})
	if left {
		w.leaves(leaving, gone)
	}
}

// leaving takes up that endpoints leave, or are listed no more.
func (w *rosterWatcher) leaving(leaving, gone []roster.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.Store(w.current.Load().Leaving(leaving, gone))
}

// takeFrom takes up a list that another node read at asked, unless this node
// knows a newer one.
func (w *rosterWatcher) takeFrom(list roster.Listing, asked clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if asked.Before(old.Asked) {
		return
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	w.current.Store(roster.Merge(old, list, asked, 0))
}

// hint takes up what a node tells of an endpoint.
func (w *rosterWatcher) hint(h roster.Hint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.Store(w.current.Load().With(h, w.clock.Now()))
}

func (w *rosterWatcher) pause(ctx context.Context, down bool) {
	if !clock.Sleep(ctx, rosterAgain) {
		return
	}
	if down {
		clock.Sleep(ctx, w.backoff.failed(rosterDown))
		return
	}
	w.await(ctx, rosterPause-rosterAgain)
}

// await waits until a read is asked for, for d at most.
func (w *rosterWatcher) await(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-time.After(d):
	}
}
