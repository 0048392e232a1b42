package revision

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

const (
	// maxHeadReadsPerSecond limits the reads of the table's head by all nodes
	// together.
	maxHeadReadsPerSecond = 20
	// maxDigestsPerSecond limits the digests that one node receives per second.
	maxDigestsPerSecond = 50
	// jitterRatio is the largest relative deviation of an interval, up or down.
	jitterRatio = 0.2
	// maxPeersAsked limits how many peers are asked for their highest revision.
	maxPeersAsked = 16
	// maxPeersTried limits the peers tried for a revision before the table is
	// read.
	maxPeersTried = 3
	// callTimeout is the timeout of one call to a peer.
	callTimeout = time.Second
	// tableTimeout is the timeout of one read of the table.
	tableTimeout = 5 * time.Second
	// healDelayPolls is the time, in multiples of MinPollInterval, that a node
	// which lacks revisions waits before it heals the table, so that the nodes
	// that have them go first.
	healDelayPolls = 3
	// joinRetryInterval is the pause between two rounds of asking peers at
	// startup.
	joinRetryInterval = 100 * time.Millisecond
)

// PollInterval returns the interval between two reads of the head by one of the
// given number of nodes: minInterval, or longer if all nodes together would
// exceed their read limit.
func PollInterval(minInterval time.Duration, nodes int) time.Duration {
	return max(minInterval, time.Duration(nodes)*time.Second/maxHeadReadsPerSecond)
}

// DigestInterval returns the interval between two digests sent by one of the
// given number of nodes: minInterval, or longer if the digests that a node
// receives would exceed their limit.
func DigestInterval(minInterval time.Duration, nodes int) time.Duration {
	return max(minInterval, time.Duration(nodes)*time.Second/maxDigestsPerSecond)
}

func addJitter(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (1 + jitterRatio*(2*r.Float64()-1)))
}

// runJoin asks the peers until this node has the highest revision they report,
// or JoinTimeout expires. The answer of a peer without any revision is ignored:
// two nodes that start together know nothing of earlier revisions.
func (k *Keeper) runJoin(ctx context.Context) {
	defer k.applyEvent(JoinEnded{})
	if k.opts.JoinTimeout < 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.JoinTimeout)
	defer cancel()
	for {
		k.askPeers(ctx)
		k.fetchPending(ctx)
		state := k.snapshot()
		if state.PeerReplied && state.HighestSeen == state.Highest() {
			return
		}
		if !clock.Sleep(ctx, joinRetryInterval) {
			return
		}
	}
}

// askPeers asks up to maxPeersAsked peers for their highest revision and
// applies each answer to the state.
func (k *Keeper) askPeers(ctx context.Context) {
	nodes := slices.Clone(k.opts.Nodes())
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	nodes = nodes[:min(len(nodes), maxPeersAsked)]
	stamps := make([]Stamp, len(nodes))
	var g errgroup.Group
	for i, vm := range nodes {
		g.Go(func() error {
			stamps[i] = k.askHighest(ctx, vm)
			return nil
		})
	}
	_ = g.Wait() // the calls return no error
	for i, stamp := range stamps {
		if stamp.Number > 0 {
			k.applyEvent(StampReceived{From: nodes[i], Stamp: stamp, IsReply: true})
		}
	}
}

// askHighest returns a peer's highest stamp, or the zero stamp if the peer does
// not answer.
func (k *Keeper) askHighest(ctx context.Context, vm fleet.VM) Stamp {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	payload, err := k.opts.Peers.Call(ctx, vm, MethodHighest, nil)
	if err != nil {
		return Stamp{}
	}
	var a Announcement
	if err := decode(payload, &a); err != nil {
		k.opts.Log.Warn("cannot decode highest revision of peer; answer dropped", "from", vm, "error", err)
		return Stamp{}
	}
	return a.Stamp
}

// runPoll reads the head of the table periodically until ctx ends.
func (k *Keeper) runPoll(ctx context.Context, r *rand.Rand) {
	for {
		k.poll(ctx)
		if !clock.Sleep(ctx, addJitter(PollInterval(k.opts.MinPollInterval, 1+len(k.opts.Nodes())), r)) {
			return
		}
	}
}

func (k *Keeper) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	head, err := k.store.Head(ctx)
	if err != nil {
		k.opts.Log.Debug("cannot read head revision; retrying at next poll", "error", err)
		return
	}
	k.applyEvent(HeadRead{head.Stamp})
}

// runFetch fetches the revisions that were announced. Until the node has
// joined, runJoin fetches instead, because it must know when the fetches are
// complete.
func (k *Keeper) runFetch(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-k.joined:
	}
	k.fetchPending(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.fetches.Wake():
			k.fetchPending(ctx)
		}
	}
}

// fetchPending fetches from the sources with the highest stamps, peers first.
// At most maxPeersTried peers are tried and the rest are dropped: with many
// unreachable peers, their timeouts would delay the one source that answers.
// Later digests announce the revision again.
func (k *Keeper) fetchPending(ctx context.Context) {
	pending := k.fetches.Drain()
	slices.SortStableFunc(pending, func(a, b pendingFetch) int {
		return cmp.Or(b.stamp.Compare(a.stamp), cmp.Compare(b.from, a.from))
	})
	peers := 0
	for _, f := range pending {
		if f.from != "" {
			if peers++; peers > maxPeersTried {
				continue
			}
		}
		k.fetchRevision(ctx, f)
	}
}

func (k *Keeper) fetchRevision(ctx context.Context, f pendingFetch) {
	state := k.snapshot()
	if f.stamp.Compare(state.Highest()) <= 0 {
		return // another source was faster
	}
	source, get := "peer", k.fetchPeer
	if f.from == "" {
		source, get = "table", k.fetchTable
	}
	rec, err := get(ctx, f)
	if err != nil {
		k.metrics.fetches.WithLabelValues(source, "failed").Inc()
		k.opts.Log.Warn("cannot fetch revision; retrying at next digest or poll",
			"revision", f.stamp.String(), "source", source, "peer", f.from, "error", err)
		return
	}
	k.metrics.fetches.WithLabelValues(source, "done").Inc()
	k.applyEvent(RevisionReceived{k.parseRecord(rec)})
}

func (k *Keeper) fetchTable(ctx context.Context, f pendingFetch) (*Record, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return k.store.Get(ctx, f.stamp.Number)
}

func (k *Keeper) fetchPeer(ctx context.Context, f pendingFetch) (*Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	payload, err := k.opts.Peers.Call(ctx, f.from, MethodFetch, encode(FetchRequest{f.stamp}))
	if err != nil {
		return nil, err
	}
	var reply FetchReply
	if err := decode(payload, &reply); err != nil {
		return nil, err
	}
	if reply.Record == nil {
		return nil, ErrNoRevision
	}
	if reply.Record.Stamp != f.stamp || !reply.Record.hashMatches() {
		return nil, fmt.Errorf("%w: the record received is not revision %s", errBadMessage, f.stamp)
	}
	return reply.Record, nil
}

// runAnnounce broadcasts the highest revision: immediately after a change, and
// periodically for peers that missed the announcement.
func (k *Keeper) runAnnounce(ctx context.Context, r *rand.Rand) {
	for {
		interval := addJitter(DigestInterval(k.opts.MinDigestInterval, 1+len(k.opts.Nodes())), r)
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-k.announce:
			timer.Stop()
		case <-timer.C:
		}
		state := k.snapshot()
		if stamp := state.Highest(); stamp.Number > 0 {
			k.opts.Peers.Broadcast(TopicAnnounce, encode(Announcement{stamp}))
		}
	}
}

// runHeal writes revisions that the table lost back into it.
func (k *Keeper) runHeal(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.heal:
			if k.isMissingIntermediate(ctx) {
				clock.Sleep(ctx, healDelayPolls*k.opts.MinPollInterval)
			}
			k.healTable(ctx)
		}
	}
}

// isMissingIntermediate reports whether the table lost revisions that this node
// does not have either. A node that started after them has only the highest. If
// it wrote that one first, the table's head would be correct and no node would
// detect that the revisions in between are missing from the history.
func (k *Keeper) isMissingIntermediate(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	head, err := k.store.Head(ctx)
	if err != nil {
		return false // the heal fails as well
	}
	state := k.snapshot()
	for _, rec := range state.Records() {
		if rec.Stamp.Compare(head.Stamp) > 0 {
			return rec.Base > head.Stamp.Number
		}
	}
	return false
}

func (k *Keeper) healTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	state := k.snapshot()
	wrote, err := k.store.Heal(ctx, state.Records())
	if err != nil {
		k.opts.Log.Warn("cannot write lost revisions back to table; retrying at next poll", "error", err)
		return
	}
	if wrote {
		k.metrics.heals.Inc()
		k.opts.Log.Warn("lost revisions written back to table", "highest", state.Highest().String())
	}
}

// HandleAnnounce handles an Announcement from a peer.
func (k *Keeper) HandleAnnounce(from fleet.Node, payload []byte) {
	var a Announcement
	if err := decode(payload, &a); err != nil {
		k.opts.Log.Warn("cannot decode announcement; dropped", "from", from.String(), "error", err)
		return
	}
	k.applyEvent(StampReceived{From: from.VM, Stamp: a.Stamp})
}

// HandleHighest returns this node's highest stamp. A node that has not joined
// returns the zero stamp, because its revisions may be outdated.
func (k *Keeper) HandleHighest(_ context.Context, _ fleet.Node, _ []byte) ([]byte, error) {
	state := k.snapshot()
	if !state.Joined {
		return encode(Announcement{}), nil
	}
	return encode(Announcement{state.Highest()}), nil
}

// HandleFetch returns the revision that a FetchRequest names, if this node has
// it.
func (k *Keeper) HandleFetch(_ context.Context, _ fleet.Node, payload []byte) ([]byte, error) {
	var req FetchRequest
	if err := decode(payload, &req); err != nil {
		return nil, err
	}
	state := k.snapshot()
	return encode(FetchReply{Record: state.Find(req.Stamp)}), nil
}
