package entry

import (
	"slices"

	"chervilloom/internal/links"
	"chervilloom/internal/news"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// handleSuspect handles the tracker's report of a stalled endpoint.
func (n *Node) handleSuspect(id roster.ID) {
	last, _ := n.tracker.LastSign(id)
	n.Log.Info("endpoint is suspect", "endpoint", id, "silent_ms", n.Clock.Now().Sub(last).Milliseconds())
	n.reportStall(id)
	n.sendToController(id, news.Message{Suspect: id})
	n.refreshSoon()
	n.checkStall(id)
}

// handleDoubt requests a check of an endpoint that may have stalled, here or at the node that
// controls its group.
func (n *Node) handleDoubt(id roster.ID) {
	n.reportDoubt(id)
	n.sendToController(id, news.Message{Doubt: id})
	n.checkStall(id)
}

// checkStall has the link to a silent endpoint checked. If only the link is lost, other nodes
// reach the endpoint, and requests go on there.
func (n *Node) checkStall(id roster.ID) {
	n.checkLink(id, func(found links.Finding) {
		if found == links.OtherNode {
			n.tracker.ClearSuspicion(id)
		}
	})
}

// sendToController sends a message to the node that controls the endpoint's group.
func (n *Node) sendToController(id roster.ID, m news.Message) {
	e := n.roster.current.Load().Get(id)
	if e == nil {
		return
	}
	if owner := n.leaseCache.owner(e.Zone); owner != n.Settings.VM {
		if addr := n.leaseCache.addr(owner); addr != "" {
			n.send(m, addr)
		}
	}
}

// reportStall reports a stalled endpoint to this node's controllers; the one that controls its
// group checks it.
func (n *Node) reportStall(id roster.ID) {
	for _, c := range n.controllers {
		c.ReportStall(id)
	}
}

// reportDoubt does the same for an endpoint that may have stalled.
func (n *Node) reportDoubt(id roster.ID) {
	for _, c := range n.controllers {
		c.ReportSuspectedStall(id)
	}
}

// announceHint sends the new state of a group's head to all nodes and applies it here.
func (n *Node) announceHint(h roster.Hint) {
	if h.Member.State == roster.Open {
		h.Entry = n.roster.current.Load().Get(h.ID)
	}
	n.applyHint(h)
	n.broadcast(news.Message{Hint: &h})
}

// applyHint applies a hint. Requests at a head whose group has lost a member are retried
// elsewhere at once.
func (n *Node) applyHint(h roster.Hint) {
	e := n.roster.current.Load().Get(h.ID)
	if h.Member.State == roster.Broken && (e == nil || h.Member.Group == e.Member.Group) {
		n.tracker.ApplySuspicion(h.ID)
	}
	n.roster.applyHint(h)
}

// handleMessage handles a message from another node.
func (n *Node) handleMessage(m news.Message) {
	if m.Relay {
		n.relayInZone(m)
	}
	if m.Hint != nil {
		n.applyHint(*m.Hint)
	}
	if m.Suspect != "" {
		n.reportStall(m.Suspect)
	}
	if m.Doubt != "" {
		n.reportDoubt(m.Doubt)
	}
	if len(m.Leaving)+len(m.Removed) > 0 {
		n.roster.markLeaving(m.Leaving, m.Removed)
	}
	if m.RefreshEndpoints {
		n.refreshSoon()
	}
	if m.InFlight != nil {
		n.loads.recordCounts(m.InFlight, n.Clock.Now())
	}
	for _, c := range m.Board {
		n.tracker.ApplyBoard(c)
	}
	if len(m.Means) > 0 {
		n.loads.recordMeans(m.Means, n.Clock.Now())
	}
	if m.Placed != nil {
		n.tracker.AddReported(m.Placed.ID, m.Placed.Requests, m.Placed.Tokens, engineLoadDecay)
	}
	if m.Quarantine != nil {
		n.quarantineGuard.Receive(*m.Quarantine)
	}
	if m.Pressure != nil {
		n.backpressureGuard.Receive(*m.Pressure)
	}
	if m.Failed != "" {
		n.forwarder.Ejector.Report(retry.ID(m.Failed), true)
	}
}

// maxLeavingPerMessage is the number of endpoints in one message; each takes some 30 bytes.
const maxLeavingPerMessage = 32

// broadcastLeaving sends all nodes the endpoints that are draining and those that are no
// longer listed. New requests to them must stop within the platform's bound, which cannot
// be met if hundreds of nodes all poll at once. The nodes are also asked to poll, once for
// each list that lacks endpoints: until their next regular poll they would use outdated
// heads.
func (n *Node) broadcastLeaving(leaving, gone []roster.ID) {
	n.broadcast(news.Message{RefreshEndpoints: true})
	for part := range slices.Chunk(leaving, maxLeavingPerMessage) {
		n.broadcast(news.Message{Leaving: part})
	}
	for part := range slices.Chunk(gone, maxLeavingPerMessage) {
		n.broadcast(news.Message{Removed: part})
	}
}

// sendPlacement informs the other nodes of a small zone about a request that was sent to an
// engine. They mostly use the same engines and would otherwise see it only in the response
// headers, at least 100 ms later. In zones with many nodes the board carries this
// information.
func (n *Node) sendPlacement(id roster.ID, prompt int) {
	if n.usesBoard(n.Settings.Zone) {
		return
	}
	peers := n.leaseCache.zonePeers(n.Settings.VM, n.Settings.Zone)
	n.send(news.Message{Placed: &news.Placement{ID: id, Requests: 1, Tokens: float64(prompt)}}, peers...)
}

// handleNoResponse informs all nodes about a plain endpoint that returned no usable answer,
// unless it is this node's link to it that is lost. In a large fleet each node sends it too few
// requests to detect the failure alone.
func (n *Node) handleNoResponse(e *roster.Endpoint) {
	n.checkLink(e.ID, func(found links.Finding) {
		isBlamed := found == links.ThisNode || found == links.Nobody && !n.links.AreAllLost()
		if isBlamed && e.Domain == "" {
			n.broadcast(news.Message{Failed: e.ID})
		}
	})
}
