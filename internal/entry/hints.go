package entry

import (
	"slices"

	"chervilloom/internal/news"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// suspected follows the tracker's verdict on an endpoint that stands still.
func (n *Node) suspected(id roster.ID) {
	last, _ := n.tracker.Sign(id)
	n.Log.Info("endpoint is suspect", "endpoint", id, "silent_ms", n.Clock.Now().Sub(last).Milliseconds())
	n.suspect(id)
	n.tellOwner(id, news.Message{Suspect: id})
	n.lookSoon()
}

// doubted has the node that runs the endpoint's group look at it.
func (n *Node) doubted(id roster.ID) {
	n.doubt(id)
	n.tellOwner(id, news.Message{Doubt: id})
}

// tellOwner sends a message to the node that runs the endpoint's group.
func (n *Node) tellOwner(id roster.ID, m news.Message) {
	e := n.roster.current.Load().Get(id)
	if e == nil {
		return
	}
	if owner := n.leaseRows.owner(e.Zone); owner != n.Settings.VM {
		if addr := n.leaseRows.addr(owner); addr != "" {
			n.send(m, addr)
		}
	}
}

// suspect has this node look at the endpoint if it runs the endpoint's group.
func (n *Node) suspect(id roster.ID) {
	for _, c := range n.controllers {
		c.Standstill(id)
	}
}

// doubt does the same for an endpoint that may stand still.
func (n *Node) doubt(id roster.ID) {
	for _, c := range n.controllers {
		c.Doubt(id)
	}
}

// announce tells all nodes, this one included, about a head.
func (n *Node) announce(h roster.Hint) {
	if h.Member.State == roster.Open {
		h.Entry = n.roster.current.Load().Get(h.ID)
	}
	n.takeHint(h)
	n.spread(news.Message{Hint: &h})
}

// takeHint takes up a hint; what this node has at a head whose group has lost a
// member moves at once.
func (n *Node) takeHint(h roster.Hint) {
	e := n.roster.current.Load().Get(h.ID)
	if h.Member.State == roster.Broken && (e == nil || h.Member.Group == e.Member.Group) {
		n.tracker.Strand(h.ID)
	}
	n.roster.hint(h)
}

// heard takes up a message of another node.
func (n *Node) heard(m news.Message) {
	if m.Relay {
		n.passOn(m)
	}
	if m.Hint != nil {
		n.takeHint(*m.Hint)
	}
	if m.Suspect != "" {
		n.suspect(m.Suspect)
	}
	if m.Doubt != "" {
		n.doubt(m.Doubt)
	}
	if len(m.Leaving)+len(m.Gone) > 0 {
		n.roster.leaving(m.Leaving, m.Gone)
	}
	if m.Ask {
		n.lookSoon()
	}
	if m.InFlight != nil {
		n.loads.note(m.InFlight, n.Clock.Now())
	}
	for _, c := range m.Board {
		n.tracker.TakeBoard(c)
	}
	if len(m.Means) > 0 {
		n.loads.takeMeans(m.Means, n.Clock.Now())
	}
	if m.Placed != nil {
		n.tracker.Told(m.Placed.ID, m.Placed.Requests, m.Placed.Tokens, engineTurnover)
	}
	if m.Quarantine != nil {
		n.quarantine.Hear(*m.Quarantine)
	}
	if m.Pressure != nil {
		n.pressure.Hear(*m.Pressure)
	}
	if m.Failed != "" {
		n.forwarder.Ejector.Report(retry.ID(m.Failed), true)
	}
}

// mostLeaving is how many endpoints one message names; each takes some 30 bytes.
const mostLeaving = 32

// tellLeaving tells all nodes which endpoints leave and which are listed no more: new work
// must stop within the platform's bound, which answers to hundreds of nodes that all ask at
// once don't keep. They ask as well, once for each list that shows a loss: until their next
// usual question they would send by heads of before.
func (n *Node) tellLeaving(leaving, gone []roster.ID) {
	n.spread(news.Message{Ask: true})
	for part := range slices.Chunk(leaving, mostLeaving) {
		n.spread(news.Message{Leaving: part})
	}
	for part := range slices.Chunk(gone, mostLeaving) {
		n.spread(news.Message{Gone: part})
	}
}

// tellPlaced tells the few other nodes of the zone of a request that was sent to an
// engine. They mostly use the same engines, and would else see it only in the answer's
// head, 100 ms and more later. Where they are many the zone's board tells.
func (n *Node) tellPlaced(id roster.ID, prompt int) {
	if n.shares(n.Settings.Zone) {
		return
	}
	peers := n.leaseRows.zonePeers(n.Settings.VM, n.Settings.Zone)
	n.send(news.Message{Placed: &news.Placed{ID: id, Requests: 1, Tokens: float64(prompt)}}, peers...)
}

// tellFailed tells the others of a plain endpoint that gave no usable answer. In
// a large fleet each node sends it too few requests to see that by itself.
func (n *Node) tellFailed(id roster.ID) { n.spread(news.Message{Failed: id}) }
