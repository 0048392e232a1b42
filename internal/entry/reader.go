package entry

import (
	"context"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/feed"
	"chervilloom/internal/roster"
)

// endpointReader reads the endpoint list for a duty holder, which plans with all endpoints. One of
// the holders reads the store, and the others poll it for changes: a list has hundreds of bytes
// for each endpoint of all zones, and each zone has a holder.
type endpointReader struct {
	node  *Node
	store EndpointSource

	// Used by the roster watcher's goroutine only.
	addr    string        // address of the node polled last
	replica feed.Replica  // its endpoints
	retryAt clock.Instant // earliest time of the next poll after a failed one
}

const (
	// relayTimeout is the timeout of a poll for all endpoints.
	relayTimeout = 300 * time.Millisecond
	// relayInterval is the interval between two polls for all endpoints.
	relayInterval = 400 * time.Millisecond
	// relayRetryDelay is the time after a failed poll during which the store is read.
	relayRetryDelay = 3 * time.Second
	// maxRelayAge is the greatest accepted age of a polled list. It leaves time to pass the list
	// on to followers before it exceeds maxFollowAge.
	maxRelayAge = 1600 * time.Millisecond
)

// Endpoints returns the list of the node that reads it for all holders, or reads the store.
func (r *endpointReader) Endpoints(ctx context.Context) (roster.Listing, error) {
	addr := r.node.endpointReaderAddr()
	if addr == "" || r.node.Clock.Now().Before(r.retryAt) {
		return r.store.Endpoints(ctx)
	}
	list, err := r.poll(ctx, addr)
	if err == nil {
		return list, nil
	}
	r.retryAt = r.node.Clock.Now().Add(relayRetryDelay)
	r.node.Log.Info("list of all endpoints not received; the store is read", "node", addr, "err", err)
	return r.store.Endpoints(ctx)
}

func (r *endpointReader) poll(ctx context.Context, addr string) (roster.Listing, error) {
	ctx, cancel := r.node.lateness.WithTimeout(ctx, relayTimeout)
	defer cancel()
	if addr != r.addr {
		r.addr, r.replica = addr, feed.Replica{}
	}
	n := r.node
	q := feed.PollRequest{Have: r.replica.Have(), Node: n.Settings.VM, Zone: n.Settings.Zone, Demand: n.forwarder.AllDemand()}
	q.Config, q.Complete = n.config.version(), true
	s, ages, err := n.follower.client.Poll(ctx, addr, q)
	if err != nil {
		return roster.Listing{}, err
	}
	r.replica.Apply(s)
	if ages.Roster > maxRelayAge || s.Era < n.eras.newest() {
		return roster.Listing{}, errOutdatedList
	}
	n.eras.observe(s.Era)
	return roster.Listing{Endpoints: slices.Clone(r.replica.Endpoints.List), Era: s.Era, Relayed: true, Age: ages.Roster}, nil
}

// endpointReaderAddr returns the address of the duty holder that reads the endpoint list for all
// others: that of the first zone with a holder. It is empty if this node holds no duty, is that
// node itself, or doesn't know the address.
func (n *Node) endpointReaderAddr() string {
	if !n.holdsAnyDuty() {
		return ""
	}
	for _, zone := range slices.Sorted(slices.Values(n.Settings.Zones)) {
		owner := n.leaseCache.owner(zone)
		switch owner {
		case "":
			continue
		case n.Settings.VM:
			return ""
		}
		return n.leaseCache.addr(owner)
	}
	return ""
}
