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
	// headReads is how many reads of the head all nodes together may cost the
	// table in a second.
	headReads = 20
	// digestsPerSecond is how many digests a node may receive in a second.
	digestsPerSecond = 50
	// jitter spreads intervals by up to this share on both sides.
	jitter = 0.2
	// maxAsked bounds how many peers are asked for their highest revision.
	maxAsked = 16
	// maxPeersTried bounds how many peers are tried before the table.
	maxPeersTried = 3
	// callTimeout ends one call of a peer.
	callTimeout = time.Second
	// tableTimeout ends one read of the table.
	tableTimeout = 5 * time.Second
	// healPatience is how many intervals between two looks at the table a node
	// that lacks revisions leaves to those that hold them.
	healPatience = 3
	// joinRetry is the pause between two rounds of asking peers at the start.
	joinRetry = 100 * time.Millisecond
)

// PollInterval returns the time between two reads of the head by one of nodes
// nodes: least, or as long as keeps all nodes within their budget of reads.
func PollInterval(least time.Duration, nodes int) time.Duration {
	return max(least, time.Duration(nodes)*time.Second/headReads)
}

// DigestInterval returns the time between two digests of one of nodes nodes.
func DigestInterval(least time.Duration, nodes int) time.Duration {
	return max(least, time.Duration(nodes)*time.Second/digestsPerSecond)
}

func jittered(d time.Duration, r *rand.Rand) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*r.Float64()-1)))
}

// runJoin asks the peers until what they hold is here or the wait is over. A
// peer that holds nothing does not count: two nodes that start together know
// nothing of what was accepted before.
func (k *Keeper) runJoin(ctx context.Context) {
	defer k.learn(Joined{})
	if k.opts.JoinWait < 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.opts.JoinWait)
	defer cancel()
	for {
		k.askPeers(ctx)
		k.fetchHeard(ctx)
		state := k.snapshot()
		if state.PeerHeard && state.Seen == state.Highest() {
			return
		}
		if !clock.Sleep(ctx, joinRetry) {
			return
		}
	}
}

// askPeers asks up to maxAsked peers for their highest revision and learns the
// highest of the answers.
func (k *Keeper) askPeers(ctx context.Context) {
	nodes := slices.Clone(k.opts.Nodes())
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	nodes = nodes[:min(len(nodes), maxAsked)]
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
			k.learn(Heard{From: nodes[i], Stamp: stamp, Answer: true})
		}
	}
}

// askHighest returns the zero stamp when the peer does not answer.
func (k *Keeper) askHighest(ctx context.Context, vm fleet.VM) Stamp {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	payload, err := k.opts.Peers.Call(ctx, vm, MethodHighest, nil)
	if err != nil {
		return Stamp{}
	}
	var a Announcement
	if err := decode(payload, &a); err != nil {
		k.opts.Log.Warn("answer dropped", "from", vm, "error", err)
		return Stamp{}
	}
	return a.Stamp
}

// runPoll looks at the head of the table.
func (k *Keeper) runPoll(ctx context.Context, r *rand.Rand) {
	for {
		k.poll(ctx)
		if !clock.Sleep(ctx, jittered(PollInterval(k.opts.Poll, 1+len(k.opts.Nodes())), r)) {
			return
		}
	}
}

func (k *Keeper) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	head, err := k.store.Head(ctx)
	if err != nil {
		k.opts.Log.Debug("head of the revisions cannot be read; the next look tries again", "error", err)
		return
	}
	k.learn(HeadRead{head.Stamp})
}

// runFetch gets the revisions that were heard of. Until the node has joined,
// runJoin does, so that it knows when it has them.
func (k *Keeper) runFetch(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-k.joined:
	}
	k.fetchHeard(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.fetches.Wake():
			k.fetchHeard(ctx)
		}
	}
}

// fetchHeard tries the sources of the highest stamps, peers first. The rest is
// dropped: with many peers out of reach a whole round of timeouts would hold up
// the one source that answers, and the digests tell of the revision again.
func (k *Keeper) fetchHeard(ctx context.Context) {
	wishes := k.fetches.Take()
	slices.SortStableFunc(wishes, func(a, b fetch) int {
		return cmp.Or(b.stamp.Compare(a.stamp), cmp.Compare(b.from, a.from))
	})
	peers := 0
	for _, f := range wishes {
		if f.from != "" {
			if peers++; peers > maxPeersTried {
				continue
			}
		}
		k.fetch(ctx, f)
	}
}

func (k *Keeper) fetch(ctx context.Context, f fetch) {
	state := k.snapshot()
	if f.stamp.Compare(state.Highest()) <= 0 {
		return // another source was quicker
	}
	source, get := "peer", k.fetchPeer
	if f.from == "" {
		source, get = "table", k.fetchTable
	}
	rec, err := get(ctx, f)
	if err != nil {
		k.metrics.fetches.WithLabelValues(source, "failed").Inc()
		k.opts.Log.Warn("revision cannot be fetched; the next digest or look at the table tries again",
			"revision", f.stamp.String(), "source", source, "peer", f.from, "error", err)
		return
	}
	k.metrics.fetches.WithLabelValues(source, "done").Inc()
	k.learn(Got{k.hold(rec)})
}

func (k *Keeper) fetchTable(ctx context.Context, f fetch) (*Record, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return k.store.Get(ctx, f.stamp.Number)
}

func (k *Keeper) fetchPeer(ctx context.Context, f fetch) (*Record, error) {
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
	if reply.Record.Stamp != f.stamp || !reply.Record.intact() {
		return nil, fmt.Errorf("%w: the record is not revision %s", errBadMessage, f.stamp)
	}
	return reply.Record, nil
}

// runAnnounce tells the peers of the highest revision: at once after a change,
// and from time to time for those that missed it.
func (k *Keeper) runAnnounce(ctx context.Context, r *rand.Rand) {
	for {
		interval := jittered(DigestInterval(k.opts.Digest, 1+len(k.opts.Nodes())), r)
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

// runHeal writes into the table what it lost.
func (k *Keeper) runHeal(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.heal:
			if k.lacksLinks(ctx) {
				clock.Sleep(ctx, healPatience*k.opts.Poll)
			}
			k.healOnce(ctx)
		}
	}
}

// lacksLinks reports whether the table lost revisions that this node does not
// hold either. A node that started after them knows the highest alone; if it
// wrote that first, the table's head would be right and nobody would see that
// the ones between are missing from the history.
func (k *Keeper) lacksLinks(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	head, err := k.store.Head(ctx)
	if err != nil {
		return false // healing fails as well
	}
	state := k.snapshot()
	for _, rec := range state.Records() {
		if rec.Stamp.Compare(head.Stamp) > 0 {
			return rec.Base > head.Stamp.Number
		}
	}
	return false
}

func (k *Keeper) healOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	state := k.snapshot()
	wrote, err := k.store.Heal(ctx, state.Records())
	if err != nil {
		k.opts.Log.Warn("table cannot be brought back to the revision in force; the next look at it tries again", "error", err)
		return
	}
	if wrote {
		k.metrics.heals.Inc()
		k.opts.Log.Warn("table had lost revisions and was given them again", "highest", state.Highest().String())
	}
}

// HandleAnnounce takes a peer's Announcement.
func (k *Keeper) HandleAnnounce(from fleet.Node, payload []byte) {
	var a Announcement
	if err := decode(payload, &a); err != nil {
		k.opts.Log.Warn("announcement dropped", "from", from.String(), "error", err)
		return
	}
	k.learn(Heard{From: from.VM, Stamp: a.Stamp})
}

// HandleHighest answers a peer's question for the highest revision. A node that
// has not joined knows too little to be asked.
func (k *Keeper) HandleHighest(_ context.Context, _ fleet.Node, _ []byte) ([]byte, error) {
	state := k.snapshot()
	if !state.Joined {
		return encode(Announcement{}), nil
	}
	return encode(Announcement{state.Highest()}), nil
}

// HandleFetch answers a peer's FetchRequest.
func (k *Keeper) HandleFetch(_ context.Context, _ fleet.Node, payload []byte) ([]byte, error) {
	var req FetchRequest
	if err := decode(payload, &req); err != nil {
		return nil, err
	}
	state := k.snapshot()
	return encode(FetchReply{Record: state.Find(req.Stamp)}), nil
}
