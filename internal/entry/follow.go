package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/feed"
	"chervilloom/internal/roster"
)

// follower keeps this node's knowledge by asking the node that holds the zone's
// duty. While that works, nothing is read from the store.
type follower struct {
	node  *Node
	ask   *feed.Client
	clock clock.Clock
	log   *slog.Logger

	last atomic.Int64 // when the last good answer was asked for
	own  atomic.Bool  // it came from the holder of the own zone's duty
	wake chan struct{}
	next time.Duration         // until the next question; touched by run alone
	from string                // address of the node that answered last; touched by run alone
	kept map[string]*feed.Copy // what each node has told, by address; touched by run alone
}

const (
	followPause = 900 * time.Millisecond // between two questions
	followLimit = 400 * time.Millisecond // for an answer
	// followAgain is the pause after nobody answered well: the few nodes that look for a
	// failing store see its return first.
	followAgain = 400 * time.Millisecond
	// followFor is how long after a question that was answered well the store is
	// left alone.
	followFor = 1500 * time.Millisecond
	// followAge is the greatest age of what another node tells: the owner reads
	// the list every second and has its configuration confirmed every 0.8 s.
	followAge = 2200 * time.Millisecond
	// followSpare is kept of the time in which a change of the configuration must
	// be in force: for noticing that no node is followed any more, and a read of
	// the store.
	followSpare = 300 * time.Millisecond
	followLeast = 200 * time.Millisecond // between two questions
	// keptCopies is how many nodes' copies are kept: the holders of a region's
	// zones.
	keptCopies = 4
)

// following reports whether this node is kept up to date by another one.
func (f *follower) following() bool {
	at := clock.Instant(f.last.Load())
	return at != 0 && f.clock.Now().Sub(at) < followFor
}

// followingOwn reports whether the holder of the own zone's duty answers. While
// it doesn't, its lease is read from the store: what another node tells of it is
// a second older, and the zone would wait that much longer for its next holder.
func (f *follower) followingOwn() bool { return f.own.Load() && f.following() }

// soon asks before the next question is due.
func (f *follower) soon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.next = followPause
		if f.node.seeking() {
			f.next = seekPause
		}
		f.askAny(ctx)
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(f.next):
		}
	}
	return nil
}

// askAny asks the nodes that read the store, until one answers well.
func (f *follower) askAny(ctx context.Context) {
	addrs := f.node.feeders()
	own := f.node.leaseRows.addr(f.node.leaseRows.owner(f.node.Settings.Zone))
	for _, addr := range addrs {
		if f.once(ctx, addr) {
			f.own.Store(addr == own)
			return
		}
	}
	if len(addrs) > 0 {
		f.next = min(f.next, followAgain)
	}
	if f.following() {
		f.log.Info("no node is followed; the store is read", "asked", addrs)
	}
	f.last.Store(0)
}

func (f *follower) once(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, followLimit)
	defer cancel()
	known := f.copyOf(addr)
	asked := f.clock.Now()
	q := feed.Question{
		Have: known.Have(), Node: f.node.Settings.VM, Zone: f.node.Settings.Zone, Demand: f.node.forwarder.DemandOfAll(),
	}
	q.Config = f.node.config.version()
	s, ages, err := f.ask.Ask(ctx, addr, q)
	if err != nil {
		return false
	}
	known.Apply(s)
	f.node.config.hear(s.Config)
	if ages.Config > f.oldest() || ages.Roster > followAge {
		return false
	}
	if s.Era < f.node.eras.newest() {
		return false // it doesn't know yet that the table came back from an older copy
	}
	f.node.eras.note(s.Era)
	f.next = f.pauseAfter(ages.Config)
	if !f.following() || addr != f.from {
		f.log.Info("node is followed; the store is not read", "node", addr, "config_age_ms", ages.Config.Milliseconds(), "endpoints_age_ms", ages.Roster.Milliseconds())
	}
	f.from = addr
	if !f.node.holdsAny() { // else it plans by the whole list, and reads it itself
		f.node.roster.takeFrom(roster.Listing{Endpoints: known.Endpoints.List, Era: s.Era, Partial: true}, asked.Add(-ages.Roster))
	}
	if s.Config >= f.node.config.version() { // else it is yet to learn of the one in force here
		f.node.config.confirm(s.Document, asked.Add(-ages.Config))
	}
	f.node.leaseRows.take(known.Rows.List, s.Era)
	f.last.Store(int64(asked))
	return true
}

// hearVersion asks a node which configuration it has in force.
func (f *follower) hearVersion(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, followLimit)
	defer cancel()
	s, _, err := f.ask.Ask(ctx, addr, feed.Question{Node: f.node.Settings.VM, Zone: f.node.Settings.Zone})
	if err != nil {
		f.log.Info("node doesn't tell its configuration", "node", addr, "err", err)
		return
	}
	f.node.config.hear(s.Config)
	if s.Document != nil {
		f.node.config.apply(s.Document)
	}
}

// oldest is the greatest age of a configuration that another node may tell.
func (f *follower) oldest() time.Duration {
	if within := f.node.Settings.ConfigWithin; within > 0 {
		return min(followAge, within-followSpare)
	}
	return followAge
}

// pauseAfter returns the pause after an answer with a configuration of that age: the
// next one comes, or is missed, before the configuration is too old. A node that
// asked every 0.9 s went on with what was up to 3.1 s old after its holder had lost
// the store.
func (f *follower) pauseAfter(age time.Duration) time.Duration {
	return min(followPause, max(followLeast, f.oldest()+followSpare/2-age))
}

// copyOf returns what the node at addr has told so far.
func (f *follower) copyOf(addr string) *feed.Copy {
	if c := f.kept[addr]; c != nil {
		return c
	}
	if f.kept == nil || len(f.kept) >= keptCopies {
		f.kept = map[string]*feed.Copy{}
	}
	c := &feed.Copy{}
	f.kept[addr] = c
	return c
}
