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
	// candidatesEvery is how often the ejector learns who there is.
	candidatesEvery = time.Second
	// ejectedPasses bounds how many ejected destinations one decision passes
	// over; the ejector's cap keeps their number below a third.
	ejectedPasses = 8
)

// ejecting passes over destinations that fail more than their peers. A group
// whose members answer probes may still fail its requests; without this it
// would go on getting its part of them.
type ejecting struct {
	*route.Router
	ejector *retry.Ejector
	uses    *kv.Uses // counts the prefixes that each group is sent
}

// Pick chooses a destination and counts the prefixes that it is sent.
func (e ejecting) Pick(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.Tried) (route.Choice, *outcome.Error) {
	c, err := e.choose(req, snap, now, tried)
	if err == nil && c.Kind == route.ToGroup {
		e.uses.Note(c.Group.ID, req.Prefix)
	}
	return c, err
}

// choose asks the router again without the ejected destination it chose. When
// nothing else is left the first choice stands: an ejected destination is
// better than none.
func (e ejecting) choose(req *request.Request, snap *view.Snapshot, now clock.Instant, tried []route.Tried) (route.Choice, *outcome.Error) {
	first, err := e.Router.Pick(req, snap, now, tried)
	if err != nil || e.ejector.Usable(destination(first)) {
		return first, err
	}
	passed := append(slices.Clone(tried), exclusion(first))
	for range ejectedPasses {
		next, err := e.Router.Pick(req, snap, now, passed)
		if err != nil {
			return first, nil
		}
		if e.ejector.Usable(destination(next)) {
			return next, nil
		}
		passed = append(passed, exclusion(next))
	}
	return first, nil
}

// End tells the ejector how the request ended as well.
func (e ejecting) End(c route.Choice, r route.Result) {
	e.Router.End(c, r)
	if r.OK || r.Failed {
		e.ejector.Report(destination(c), r.Failed)
	}
}

func destination(c route.Choice) retry.ID {
	switch c.Kind {
	case route.ToGroup:
		return retry.ID(c.Group.ID)
	case route.ToEndpoint:
		return retry.ID(c.VM.Record.VM)
	}
	return retry.ID(c.Node)
}

func exclusion(c route.Choice) route.Tried {
	switch c.Kind {
	case route.ToGroup:
		return route.Tried{Group: c.Group.ID}
	case route.ToEndpoint:
		return route.Tried{VM: c.VM.Record.VM}
	}
	return route.Tried{Node: c.Node}
}

// followCandidates tells the ejector who there is, and the budget its ratio.
func (n *Node) followCandidates(ctx context.Context) error {
	clock.Every(ctx, candidatesEvery, func() {
		n.ejector.SetCandidates(candidates(n.view.Snapshot()))
		if ratio := n.policy().RetryBudget; ratio > 0 {
			n.retries.SetRatio(ratio)
		}
	})
	return nil
}

func candidates(snap *view.Snapshot) []retry.ID {
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
