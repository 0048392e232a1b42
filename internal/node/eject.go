package node

import (
	"context"
	"slices"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/kv"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
	"chervilloom/internal/retry"
	"chervilloom/internal/route"
	"chervilloom/internal/view"
)

const (
	// candidateInterval is the interval at which the ejector's candidates are
	// updated.
	candidateInterval = time.Second
	// maxEjectedSkips bounds the ejected destinations that one decision skips.
	// The ejector's cap keeps the ejected share below a third.
	maxEjectedSkips = 8
)

// ejectingRouter is a router that skips destinations which fail more often than
// their peers. A group can fail its requests although its members answer probes,
// and would otherwise keep receiving its share of requests.
type ejectingRouter struct {
	*route.Router
	ejector *retry.Ejector
	uses    *kv.Uses // counts the prompt prefixes sent to each group
}

// Pick chooses a destination and counts the request's prefix for a group.
func (e ejectingRouter) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	c, err := e.pickUsable(req, snap, now, tried)
	if err == nil && c.Kind == route.ToGroup {
		e.uses.Record(c.Group.ID, req.Prefix)
	}
	return c, err
}

// pickUsable repeats the router's choice without the ejected destinations. If no
// other destination is left, it returns the first choice, since an ejected
// destination is better than none.
func (e ejectingRouter) pickUsable(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.TriedDestination) (route.Choice, *outcome.Error) {
	first, err := e.Router.Pick(req, snap, now, tried)
	if err != nil || e.ejector.AllowRequest(destinationID(first)) {
		return first, err
	}
	excluded := append(slices.Clone(tried), exclusion(first))
	for range maxEjectedSkips {
		next, err := e.Router.Pick(req, snap, now, excluded)
		if err != nil {
			return first, nil
		}
		if e.ejector.AllowRequest(destinationID(next)) {
			return next, nil
		}
		excluded = append(excluded, exclusion(next))
	}
	return first, nil
}

// End reports the result of the request to the router and the ejector.
func (e ejectingRouter) End(c route.Choice, r route.Result) {
	e.Router.End(c, r)
	if r.OK || r.Failed {
		e.ejector.Report(destinationID(c), r.Failed)
	}
}

func destinationID(c route.Choice) retry.ID {
	switch c.Kind {
	case route.ToGroup:
		return retry.ID(c.Group.ID)
	case route.ToEndpoint:
		return retry.ID(c.VM.Record.VM)
	}
	return retry.ID(c.Node)
}

func exclusion(c route.Choice) route.TriedDestination {
	switch c.Kind {
	case route.ToGroup:
		return route.TriedDestination{Group: c.Group.ID}
	case route.ToEndpoint:
		return route.TriedDestination{VM: c.VM.Record.VM}
	}
	return route.TriedDestination{Node: c.Node}
}

// updateCandidates passes the current destinations to the ejector and the
// policy's ratio to the retry budget until ctx ends.
func (n *Node) updateCandidates(ctx context.Context) error {
	clock.Every(ctx, candidateInterval, func() {
		n.ejector.SetCandidates(candidateIDs(n.view.Snapshot()))
		if ratio := n.policy().RetryBudget; ratio > 0 {
			n.retries.SetRatio(ratio)
		}
	})
	return nil
}

func candidateIDs(snap *view.Snapshot) []retry.ID {
	var ids []retry.ID
	for i := range snap.Groups {
		ids = append(ids, retry.ID(snap.Groups[i].ID))
	}
	for i := range snap.VMs {
		if snap.VMs[i].Record.Service != "" {
			ids = append(ids, retry.ID(snap.VMs[i].Record.VM))
		}
	}
	for i := range snap.Nodes {
		ids = append(ids, retry.ID(snap.Nodes[i].VM))
	}
	return ids
}
