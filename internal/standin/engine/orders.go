package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

// orderStatus is the result of checking an order.
type orderStatus int

const (
	orderAccepted   orderStatus = iota
	orderStaleFence             // its fence is lower than one accepted before
	orderOtherBoot              // it names another boot
	orderMalformed              // its verb is unknown
)

// Order executes an order, as POST /orders does, and reports whether it was
// accepted.
func (e *Engine) Order(o engine.Order) (engine.OrderResult, bool) {
	res, v := e.executeOrder(o)
	return res, v == orderAccepted
}

func (e *Engine) executeOrder(o engine.Order) (engine.OrderResult, orderStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.checkOrder(o)
	if v == orderAccepted {
		e.state.Fence = max(e.state.Fence, o.Fence)
		e.applyOrder(o)
	}
	return engine.OrderResult{Accepted: v == orderAccepted, State: e.currentState()}, v
}

// checkOrder decides whether an order is accepted. Without Options.CheckFence, an order
// from a former owner with an outdated fence is accepted.
func (e *Engine) checkOrder(o engine.Order) orderStatus {
	switch {
	case o.Verb != engine.VerbJoin && o.Verb != engine.VerbLeave:
		return orderMalformed
	case o.Boot != e.state.Boot:
		return orderOtherBoot
	case e.opts.CheckFence && o.Fence < e.state.Fence:
		return orderStaleFence
	default:
		return orderAccepted
	}
}

func (e *Engine) applyOrder(o engine.Order) {
	if o.Verb == engine.VerbLeave {
		e.leaveGroup()
		return
	}
	if e.replica != nil && isSameAssignment(e.joinOrder, o) {
		return // a repeated order does not load again
	}
	e.leaveGroup()
	e.joinOrder = o
	e.state.Group, e.state.Generation, e.state.Rank = o.Group, o.Generation, o.Rank
	e.state.Model, e.state.Version, e.state.Adapters = o.Model, o.Version, slices.Clone(o.Adapters)
	e.loadedAt = e.clock.Now().Add(delayOrDefault(e.opts.LoadTime, DefaultLoadTime))
	e.replica = e.newReplica(o)
}

// isSameAssignment reports whether two join orders assign the same group,
// generation, rank, model and peers.
func isSameAssignment(a, b engine.Order) bool {
	return a.Group == b.Group && a.Generation == b.Generation && a.Rank == b.Rank &&
		a.Model == b.Model && a.Version == b.Version &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Peers, b.Peers)
}

// leaveGroup ends the replica, which cuts off its running streams, and clears the
// group state. The caller holds e.mu.
func (e *Engine) leaveGroup() {
	if e.replica == nil {
		return
	}
	e.replica.cancel(errReplicaEnded)
	e.replica = nil
	e.joinOrder = engine.Order{}
	e.state.Group, e.state.Generation, e.state.Rank = "", 0, 0
	e.state.Model, e.state.Version, e.state.Adapters = "", "", nil
	e.streams = make(map[string]*stream)
	e.ended = nil
}

func (e *Engine) newReplica(o engine.Order) *replica {
	ctx, cancel := context.WithCancelCause(e.bootCtx)
	r := &replica{
		generationTag: engine.GenerationTag(o.Group, o.Generation),
		client:        &http.Client{Transport: e.peerTransport},
		interval:      e.opts.PeerInterval.Or(DefaultPeerInterval),
		lossTimeout:   e.opts.PeerLossTimeout.Or(DefaultPeerLossTimeout),
		ctx:           ctx,
		cancel:        cancel,
		peerBoots:     make(map[string]fleet.BootID),
	}
	if o.Rank != 0 {
		return r // only rank 0 checks the other members
	}
	for rank, addr := range o.Peers {
		if rank != o.Rank {
			r.peers = append(r.peers, addr)
		}
	}
	if len(r.peers) == 0 {
		r.lastPresent = time.Now()
	}
	return r
}
