package engine

import (
	"context"
	"net/http"
	"slices"
	"time"

	"chervilloom/internal/engine"
	"chervilloom/internal/fleet"
)

// verdict is how an order was met.
type verdict int

const (
	orderTaken     verdict = iota
	orderStale             // its fence is older than one seen before
	orderOtherLife         // it was meant for another boot
	orderMalformed
)

// Order carries an order out, as POST /orders does.
func (e *Engine) Order(o engine.Order) (engine.OrderResult, bool) {
	res, v := e.take(o)
	return res, v == orderTaken
}

func (e *Engine) take(o engine.Order) (engine.OrderResult, verdict) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.judge(o)
	if v == orderTaken {
		e.state.Fence = max(e.state.Fence, o.Fence)
		e.carryOut(o)
	}
	return engine.OrderResult{Accepted: v == orderTaken, State: e.stateNow()}, v
}

// judge decides whether an order is taken. An engine that ignores fences takes
// an old owner's order like any other.
func (e *Engine) judge(o engine.Order) verdict {
	switch {
	case o.Verb != engine.VerbJoin && o.Verb != engine.VerbLeave:
		return orderMalformed
	case o.Boot != e.state.Boot:
		return orderOtherLife
	case e.opts.CheckFence && o.Fence < e.state.Fence:
		return orderStale
	default:
		return orderTaken
	}
}

func (e *Engine) carryOut(o engine.Order) {
	if o.Verb == engine.VerbLeave {
		e.leaveGroup()
		return
	}
	if e.replica != nil && samePlace(e.order, o) {
		return // sent again: nothing is loaded twice
	}
	e.leaveGroup()
	e.order = o
	e.state.Group, e.state.Generation, e.state.Rank = o.Group, o.Generation, o.Rank
	e.state.Model, e.state.Version, e.state.Adapters = o.Model, o.Version, slices.Clone(o.Adapters)
	e.loadedAt = e.clock.Now().Add(lagOr(e.opts.LoadTime, DefaultLoadTime))
	e.replica = e.newReplica(o)
}

// samePlace reports whether two orders describe the same place.
func samePlace(a, b engine.Order) bool {
	return a.Group == b.Group && a.Generation == b.Generation && a.Rank == b.Rank &&
		a.Model == b.Model && a.Version == b.Version &&
		slices.Equal(a.Adapters, b.Adapters) && slices.Equal(a.Peers, b.Peers)
}

// leaveGroup breaks what runs and frees the memory.
func (e *Engine) leaveGroup() {
	if e.replica == nil {
		return
	}
	e.replica.kill(errStreamBroken)
	e.replica = nil
	e.order = engine.Order{}
	e.state.Group, e.state.Generation, e.state.Rank = "", 0, 0
	e.state.Model, e.state.Version, e.state.Adapters = "", "", nil
	e.streams = make(map[string]*stream)
	e.ended = nil
}

func (e *Engine) newReplica(o engine.Order) *replica {
	ctx, kill := context.WithCancelCause(e.life)
	r := &replica{
		tag:      engine.GenerationTag(o.Group, o.Generation),
		client:   &http.Client{Transport: e.peers},
		interval: e.opts.PeerInterval.Or(DefaultPeerInterval),
		lost:     e.opts.PeerLost.Or(DefaultPeerLost),
		ctx:      ctx,
		kill:     kill,
		boots:    make(map[string]fleet.BootID),
	}
	if o.Rank != 0 {
		return r // only rank 0 watches the others
	}
	for rank, addr := range o.Peers {
		if rank != o.Rank {
			r.peers = append(r.peers, addr)
		}
	}
	if len(r.peers) == 0 {
		r.checked = time.Now()
	}
	return r
}
