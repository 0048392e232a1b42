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
	"chervilloom/internal/lateness"
	"chervilloom/internal/roster"
)

// ConfigurationSource reads the operator's configuration.
type ConfigurationSource interface {
	Configuration(ctx context.Context) (catalog.Change, error)
	AwaitConfiguration(ctx context.Context, cursor catalog.Cursor, wait time.Duration) (catalog.Change, error)
}

// errOutdatedList means that a list received from another node is too old to be used.
var errOutdatedList = errors.New("entry: the received list of endpoints is outdated")

// EndpointSource reads the list of endpoints.
type EndpointSource interface {
	Endpoints(ctx context.Context) (roster.Listing, error)
}

// Intervals and timeouts of the reads. A key may be accepted for revokeMargin less than the
// platform's bound after the start of the last read that confirmed it. With these values a
// node that follows another one stays fresh over two lost answers in a row: the state it
// receives is up to 1.6 s old, and it asks every 0.9 s; the bound of both users is 5 s.
const (
	configWait       = 800 * time.Millisecond // long-poll time of a read
	configTimeout    = 600 * time.Millisecond // additional time for the answer
	configRetryDelay = 500 * time.Millisecond // delay after a failed read
	revokeMargin     = 400 * time.Millisecond

	rosterInterval    = time.Second            // interval between two reads of the list
	minRosterInterval = 300 * time.Millisecond // least interval between two reads
	rosterRetryDelay  = 400 * time.Millisecond // additional delay after a failed read
	rosterTimeout     = 700 * time.Millisecond // timeout of a read

	fedInterval = 200 * time.Millisecond // polling interval while another node keeps this one up to date
)

// configWatcher keeps the newest configuration up to date.
type configWatcher struct {
	source   ConfigurationSource
	clock    clock.Clock
	log      *slog.Logger
	lateness *lateness.Monitor // nil: never late
	mu       sync.Mutex        // held while a document is applied
	current  atomic.Pointer[catalog.Catalog]
	// confirmed is the start of the last read that returned the configuration in force at
	// that time.
	confirmed atomic.Int64
	// isFedByPeer reports whether another node keeps the configuration up to date.
	isFedByPeer func() bool
	// peerVersion is the newest version that another node reported.
	peerVersion atomic.Uint64
	// askDutyHolders asks the nodes that read the store for their configuration before this
	// node applies its first document; nil: no node is asked.
	askDutyHolders func(context.Context)
	// onEvacuations is called with the evacuated zones that a read returned and the start of that
	// read, before its document is put into force; nil: no call.
	onEvacuations func(change catalog.EvacuationChange, asked clock.Instant)
	regions       []string // the platform's regions
	backoff       backoff
}

func (w *configWatcher) run(ctx context.Context) error {
	var cursor catalog.Cursor
	known, down, behind := false, false, false
	for ctx.Err() == nil {
		if w.isFedByPeer() {
			known = false // changes in the meantime were received from another node
			w.backoff.reset()
			clock.Sleep(ctx, fedInterval)
			continue
		}
		if w.backoff.isLeftToPeer(w.clock.Now()) {
			clock.Sleep(ctx, fedInterval)
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
			var invalid *catalog.InvalidDocumentError
			if errors.As(err, &invalid) {
				known = false
			}
			clock.Sleep(ctx, w.backoff.recordFailure(configRetryDelay, w.clock.Now()))
			continue
		}
		w.backoff.reset()
		if down {
			w.log.Info("configuration is read again", "version", w.version())
		}
		down = false
		if w.current.Load() == nil && change.Document != nil {
			w.reportEvacuations(change, asked) // a document that another node returns is put into force at once
			if w.askDutyHolders != nil {
				w.askDutyHolders(ctx)
			}
		}
		before := known
		cursor, known = change.Cursor, w.showsNewest(change.Document, known)
		if known {
			w.reportEvacuations(change, asked)
			w.confirm(change.Document, asked)
			behind = false
			continue
		}
		if !behind && change.Document != nil {
			w.log.Warn("the store returned an older configuration than the one in force; not used as a confirmation", "shown", change.Document.Version, "version", w.version(), "heard", w.peerVersion.Load(), "watched", before)
		}
		behind = change.Document != nil
		if before && !behind {
			continue // another node reported a newer version before this watch did: read it now
		}
		clock.Sleep(ctx, configRetryDelay) // no document was written yet, or the newest one has to be restored first
	}
	return nil
}

func (w *configWatcher) reportEvacuations(change catalog.Change, asked clock.Instant) {
	if w.onEvacuations != nil {
		w.onEvacuations(change.Evacuations, asked)
	}
}

// showsNewest reports whether a read returned the newest configuration known to this node: a
// newer one, or the one in force. An uninterrupted watch without a change confirms it as
// well. A table restored from an older copy returns an older document until the operator
// has written the newest one again; were that accepted as a confirmation, a key that the
// newest document revokes would be accepted for as long.
func (w *configWatcher) showsNewest(doc *catalog.Document, watched bool) bool {
	newest := max(w.version(), w.peerVersion.Load())
	if doc == nil {
		return watched && w.version() >= newest
	}
	return doc.Version >= newest
}

// recordPeerVersion records the version that another node has in force.
func (w *configWatcher) recordPeerVersion(version uint64) {
	for {
		old := w.peerVersion.Load()
		if version <= old || w.peerVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

func (w *configWatcher) read(ctx context.Context, cursor catalog.Cursor, known bool) (catalog.Change, error) {
	if !known {
		ctx, cancel := w.lateness.WithTimeout(ctx, configTimeout)
		defer cancel()
		return w.source.Configuration(ctx)
	}
	ctx, cancel := w.lateness.WithTimeout(ctx, configWait+configTimeout)
	defer cancel()
	return w.source.AwaitConfiguration(ctx, cursor, configWait)
}

// apply puts a document into force unless an equal or newer one already is.
func (w *configWatcher) apply(doc *catalog.Document) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if doc == nil || doc.Version <= w.version() {
		return
	}
	next, err := catalog.New(*doc)
	if err != nil {
		w.log.Error("configuration rejected; the last valid one stays in force", "version", doc.Version, "err", err)
		return
	}
	w.log.Info("configuration in force", "version", doc.Version, "before", w.version(), "routes", len(doc.Routes))
	w.warnUnknownRegions(doc)
	w.warnInvalidRanks(next)
	w.current.Store(next)
}

// warnUnknownRegions logs restrictions to regions that the platform doesn't have: endpoints of
// other regions don't serve the requests in their place.
func (w *configWatcher) warnUnknownRegions(doc *catalog.Document) {
	warn := func(kind, name string, allowed []string) {
		for _, region := range allowed {
			if !slices.Contains(w.regions, region) {
				w.log.Warn("allowed region is unknown; check the region's name", kind, name, "region", region, "regions", w.regions)
			}
		}
	}
	for _, r := range doc.Routes {
		warn("route", r.Name, r.AllowedRegions)
	}
	for _, o := range doc.Organisations {
		warn("organisation", o.Name, o.AllowedRegions)
	}
}

// confirm records that a read started at asked confirmed the configuration in force. A
// newer document is applied first.
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

// age returns the time since the configuration was last confirmed.
func (w *configWatcher) age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(w.confirmed.Load()))
}

// rosterWatcher keeps the newest list of endpoints up to date.
type rosterWatcher struct {
	source      EndpointSource
	clock       clock.Clock
	log         *slog.Logger
	lateness    *lateness.Monitor // nil: never late
	mu          sync.Mutex        // held while the next roster is built
	current     atomic.Pointer[roster.Roster]
	readsStore  atomic.Bool // the newest list was read from the store by this node
	wake        chan struct{}
	isFedByPeer func() bool // reports whether another node keeps the list up to date
	// onLeaving is called when a list shows that usable endpoints are draining or no longer
	// listed, with those of them that accept requests; nil: no call.
	onLeaving func(leaving, gone []roster.ID)
	// rejectCounter counts invalid entries of the list; nil: not counted.
	rejectCounter prometheus.Counter
	loggedRejects map[string]bool // keys of rejected entries that were logged
	backoff       backoff
}

// maxLoggedRejects limits the log lines about rejected entries; the metric counts all.
const maxLoggedRejects = 50

// noteRejected counts rejected entries and logs each key once.
func (w *rosterWatcher) noteRejected(rejected []roster.Rejected) {
	for _, r := range rejected {
		if w.rejectCounter != nil {
			w.rejectCounter.Inc()
		}
		if w.loggedRejects[r.Key] || len(w.loggedRejects) >= maxLoggedRejects {
			continue
		}
		if w.loggedRejects == nil {
			w.loggedRejects = map[string]bool{}
		}
		w.loggedRejects[r.Key] = true
		w.log.Warn("endpoint entry rejected", "key", r.Key, "reason", r.Reason)
	}
}

func newRosterWatcher(source EndpointSource, c clock.Clock, log *slog.Logger) *rosterWatcher {
	w := &rosterWatcher{source: source, clock: c, log: log, wake: make(chan struct{}, 1)}
	w.current.Store(roster.Empty())
	return w
}

// refreshSoon triggers a read before the next one is due.
func (w *rosterWatcher) refreshSoon() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *rosterWatcher) run(ctx context.Context) error {
	var recovered clock.Instant
	down := false
	for ctx.Err() == nil {
		if w.isFedByPeer() {
			down = false
			w.readsStore.Store(false)
			w.backoff.reset()
			w.await(ctx, fedInterval)
			continue
		}
		if w.backoff.isLeftToPeer(w.clock.Now()) {
			w.await(ctx, fedInterval)
			continue
		}
		asked := w.clock.Now()
		rctx, cancel := w.lateness.WithTimeout(ctx, rosterTimeout)
		list, err := w.source.Endpoints(rctx)
		cancel()
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			if !down {
				w.log.Warn("endpoints not read", "err", err, "age_ms", asked.Sub(w.current.Load().RequestedAt).Milliseconds())
			}
			down = true
		default:
			if down {
				recovered = w.clock.Now()
				w.log.Info("endpoints are read again", "endpoints", len(list.Endpoints))
			}
			down = false
			w.backoff.reset()
			w.applyList(list, asked.Add(-list.Age), recovered)
			w.readsStore.Store(!list.Relayed)
		}
		if err == nil && list.Relayed {
			w.await(ctx, relayInterval)
			continue
		}
		w.pause(ctx, down)
	}
	return nil
}

// applyList merges a list that this node read at asked into the roster.
func (w *rosterWatcher) applyList(list roster.Listing, asked, recovered clock.Instant) {
	w.noteRejected(list.Rejected)
	w.mu.Lock()
	old := w.current.Load()
	next := roster.Merge(old, list, asked, recovered)
	w.current.Store(next)
	w.mu.Unlock()
	if w.onLeaving != nil && !list.Relayed { // otherwise the node that read the list reports them
		w.reportLeaving(old, next)
	}
}

// reportLeaving calls onLeaving if usable endpoints of old are draining or missing in next.
func (w *rosterWatcher) reportLeaving(old, next *roster.Roster) {
	var leaving, gone []roster.ID
	left := false
	old.ForEach(func(e *roster.Endpoint) {
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
		w.onLeaving(leaving, gone)
	}
}

// markLeaving marks endpoints as draining or removes them.
func (w *rosterWatcher) markLeaving(leaving, gone []roster.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.Store(w.current.Load().WithDepartures(leaving, gone))
}

// applyPeerList merges a list that another node read at asked, unless this node has a newer
// one.
func (w *rosterWatcher) applyPeerList(list roster.Listing, asked clock.Instant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if asked.Before(old.RequestedAt) {
		return
	}
	list.Endpoints = slices.Clone(list.Endpoints)
	w.current.Store(roster.Merge(old, list, asked, 0))
}

// applyHint applies a hint about an endpoint to the roster.
func (w *rosterWatcher) applyHint(h roster.Hint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.Store(w.current.Load().WithHint(h, w.clock.Now()))
}

// pause waits until the next read is due.
func (w *rosterWatcher) pause(ctx context.Context, down bool) {
	if !clock.Sleep(ctx, minRosterInterval) {
		return
	}
	if down {
		clock.Sleep(ctx, w.backoff.recordFailure(rosterRetryDelay, w.clock.Now()))
		return
	}
	w.await(ctx, rosterInterval-minRosterInterval)
}

// await waits for at most d, or until a read is requested.
func (w *rosterWatcher) await(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.wake:
	case <-time.After(d):
	}
}
