package entry

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/feed"
	"chervilloom/internal/roster"
)

// follower keeps this node's state up to date by polling the node that holds the zone's
// duty. While this succeeds, nothing is read from the store.
type follower struct {
	node   *Node
	client feedClient
	clock  clock.Clock
	log    *slog.Logger

	lastSuccess  atomic.Int64 // when the last successful poll was sent
	lastAnswer   atomic.Int64 // when the last poll was sent that got an answer, usable or not
	fromOwnZone  atomic.Bool  // the last answer came from the holder of the local zone's duty
	wake         chan struct{}
	nextInterval time.Duration            // interval to the next poll; used by run only
	source       string                   // address of the node that answered last; used by run only
	candidate    int                      // counts the polls of nodes without a duty; used by run only
	copies       map[string]*feed.Replica // state received from each node, by address; used by run only
}

// feedClient polls another node's feed.
type feedClient interface {
	Poll(ctx context.Context, addr string, q feed.PollRequest) (*feed.State, feed.Ages, error)
}

const (
	followInterval = 900 * time.Millisecond // between two polls
	followTimeout  = 400 * time.Millisecond // timeout of one answer
	// followRetryInterval is the interval after a round without a usable answer: the few
	// nodes that keep polling a failing store notice its recovery first.
	followRetryInterval = 400 * time.Millisecond
	// followValidity is how long after a successful poll the store is not read.
	followValidity = 1500 * time.Millisecond
	// maxFollowAge is the greatest accepted age of another node's state: the duty holder reads
	// the endpoint list every second and has its configuration confirmed every 0.8 s.
	maxFollowAge = 2200 * time.Millisecond
	// followMargin is subtracted from the time within which a configuration change must be
	// in force: it covers the detection that no node is followed any more and one read of
	// the store.
	followMargin      = 300 * time.Millisecond
	minFollowInterval = 200 * time.Millisecond // least interval between two polls
	// formerHolderCopies is the number of copies that are kept in addition to those of the duty
	// holders of all zones: a duty may move.
	formerHolderCopies = 1
)

// isFollowing reports whether this node is kept up to date by another one.
func (f *follower) isFollowing() bool {
	at := clock.Instant(f.lastSuccess.Load())
	return at != 0 && f.clock.Now().Sub(at) < followValidity
}

// isAnswered reports whether a node that reads the store itself answers this one, usably or not.
func (f *follower) isAnswered() bool {
	at := clock.Instant(f.lastAnswer.Load())
	return at != 0 && f.clock.Now().Sub(at) < followValidity
}

// isFollowingOwnZone reports whether the answers come from the holder of the local zone's
// duty. Otherwise the zone's lease is read from the store: another zone's holder reports it
// a second later, which would delay the takeover of the duty by as much.
func (f *follower) isFollowingOwnZone() bool { return f.fromOwnZone.Load() && f.isFollowing() }

// pollSoon triggers the next poll before it is due.
func (f *follower) pollSoon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run polls the feed sources until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.nextInterval = followInterval
		if f.node.isSeeking() && !f.node.storeGate.isClosed() {
			f.nextInterval = seekInterval
		}
		f.node.lookup.run(ctx)
		f.pollSources(ctx)
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(f.nextInterval):
		}
	}
	return nil
}

// pollSources asks the nodes that read the store in turn until one returns a usable answer.
func (f *follower) pollSources(ctx context.Context) {
	addrs := f.node.feedSources()
	if f.isAnswered() && !f.isFollowing() {
		addrs = f.withCandidate(addrs)
	}
	for _, addr := range addrs {
		if f.pollSource(ctx, addr) {
			own := f.node.leaseCache.addr(f.node.leaseCache.owner(f.node.Settings.Zone))
			f.fromOwnZone.Store(addr == own)
			return
		}
	}
	if len(addrs) > 0 {
		f.nextInterval = min(f.nextInterval, followRetryInterval)
	}
	if f.isFollowing() {
		f.log.Info("no node is followed; the store is read", "asked", addrs)
	}
	f.lastSuccess.Store(0)
}

// withCandidate adds one of the nodes that keep calling a failing store, in turn: the duty holders may
// have lost it for longer, and the duties may have moved to a node that this one doesn't know of.
func (f *follower) withCandidate(addrs []string) []string {
	n := f.node
	nodes := n.leaseCache.largestNodes(n.Settings.Zone, fullRateNodes)
	if len(nodes) == 0 || slices.Contains(nodes, n.Settings.VM) {
		return addrs
	}
	f.candidate++
	if addr := n.leaseCache.addr(nodes[f.candidate%len(nodes)]); !slices.Contains(addrs, addr) {
		addrs = append(addrs, addr)
	}
	return addrs
}

// pollSource asks one node, applies its answer and reports whether the answer was usable.
func (f *follower) pollSource(ctx context.Context, addr string) bool {
	ctx, cancel := f.node.lateness.WithTimeout(ctx, followTimeout)
	defer cancel()
	known := f.copyOf(addr)
	asked := f.clock.Now()
	q := feed.PollRequest{
		Have: known.Have(), Node: f.node.Settings.VM, Zone: f.node.Settings.Zone, Demand: f.node.forwarder.AllDemand(),
	}
	q.Config, q.Row = f.node.config.version(), f.node.ownRow()
	s, ages, err := f.client.Poll(ctx, addr, q)
	if errors.Is(err, feed.ErrNotReading) {
		f.lastAnswer.Store(0) // it follows a node for which the store answers
	}
	if err != nil {
		return false
	}
	f.lastAnswer.Store(int64(asked))
	known.Apply(s)
	f.node.config.recordPeerVersion(s.Config)
	if ages.Config > f.maxConfigAge() || ages.Roster > maxFollowAge {
		return false
	}
	if s.Era < f.node.eras.newest() {
		return false // that node has not detected the table restore yet
	}
	f.node.eras.observe(s.Era)
	f.node.evacuations.applyPeerList(s.Evacuated, asked.Add(-ages.Config))
	f.nextInterval = f.intervalAfter(ages.Config)
	if !f.isFollowing() || addr != f.source {
		f.log.Info("node is followed; the store is not read", "node", addr, "config_age_ms", ages.Config.Milliseconds(), "endpoints_age_ms", ages.Roster.Milliseconds())
	}
	f.source = addr
	if !f.node.holdsAnyDuty() { // a duty holder needs the full list and reads it itself
		f.node.roster.applyPeerList(roster.Listing{Endpoints: known.Endpoints.List, Era: s.Era, Partial: true}, asked.Add(-ages.Roster))
	}
	if s.Config >= f.node.config.version() { // otherwise the other node has yet to read the configuration in force here
		f.node.config.confirm(s.Document, asked.Add(-ages.Config))
	}
	f.node.leaseCache.applyRows(known.Rows.List, s.Era)
	f.lastSuccess.Store(int64(asked))
	return true
}

// fetchConfig asks a node for its configuration and applies a newer one.
func (f *follower) fetchConfig(ctx context.Context, addr string) {
	ctx, cancel := f.node.lateness.WithTimeout(ctx, followTimeout)
	defer cancel()
	asked := f.clock.Now()
	s, ages, err := f.client.Poll(ctx, addr, feed.PollRequest{Node: f.node.Settings.VM, Zone: f.node.Settings.Zone})
	if err != nil {
		f.log.Info("configuration not received from node", "node", addr, "err", err)
		return
	}
	f.node.evacuations.applyPeerList(s.Evacuated, asked.Add(-ages.Config))
	f.node.config.recordPeerVersion(s.Config)
	if s.Document != nil {
		f.node.config.apply(s.Document)
	}
}

// maxConfigAge returns the greatest accepted age of a configuration from another node.
func (f *follower) maxConfigAge() time.Duration {
	if within := f.node.Settings.MaxConfigDelay; within > 0 {
		return min(maxFollowAge, within-followMargin)
	}
	return maxFollowAge
}

// intervalAfter returns the interval after an answer with a configuration of the given age,
// such that the next answer arrives or times out before that configuration is too old. With
// a fixed interval of 0.9 s a node used a configuration of up to 3.1 s after its source had
// lost the store.
func (f *follower) intervalAfter(age time.Duration) time.Duration {
	return min(followInterval, max(minFollowInterval, f.maxConfigAge()+followMargin/2-age))
}

// copyOf returns the state received from the node at addr so far.
func (f *follower) copyOf(addr string) *feed.Replica {
	if c := f.copies[addr]; c != nil {
		return c
	}
	if f.copies == nil || len(f.copies) >= len(f.node.Settings.Zones)+formerHolderCopies {
		f.copies = map[string]*feed.Replica{}
	}
	c := &feed.Replica{}
	f.copies[addr] = c
	return c
}

// feedSources returns the addresses of the nodes that read the store: the holder of the local
// zone's duty first, then those of other zones, which read the same data and serve while
// the local zone has no holder. It returns none if this node holds the local zone's duty.
func (n *Node) feedSources() []string {
	zones := []string{n.Settings.Zone}
	for _, zone := range n.Settings.Zones {
		if zone != n.Settings.Zone {
			zones = append(zones, zone)
		}
	}
	if n.holdsDuty(n.Settings.Zone) || n.isRestartedHolder() {
		return nil
	}
	var addrs []string
	for _, zone := range zones {
		owner := n.leaseCache.owner(zone)
		if owner == n.Settings.VM {
			// This node has lost the store, and with it the lease and the means to read who
			// holds the zone now. Another zone's holder reports it.
			continue
		}
		if addr := n.leaseCache.addr(owner); addr != "" && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	if addr := n.lookup.addr(); addr != "" && !n.leaseCache.hasRows() {
		addrs = append(addrs, addr)
	}
	return addrs
}
