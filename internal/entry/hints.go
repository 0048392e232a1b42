package entry

import (
	"math/rand/v2"

	"chervilloom/internal/news"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// placedPeers bounds the nodes that are told of a request: at 11 requests a second
// a node sends and gets 260 datagrams a second, however large its zone is.
const placedPeers = 24

// suspected follows the tracker's verdict on an endpoint that stands still.
func (n *Node) suspected(id roster.ID) {
	last, _ := n.tracker.Sign(id)
	n.Log.Info("endpoint is suspect", "endpoint", id, "silent_ms", n.Clock.Now().Sub(last).Milliseconds())
	n.doubted(id)
	n.lookSoon()
}

// doubted has the node that runs the endpoint's group look at it.
func (n *Node) doubted(id roster.ID) {
	n.suspect(id)
	e := n.roster.current.Load().Get(id)
	if e == nil {
		return
	}
	if owner := n.leaseRows.owner(e.Zone); owner != n.Settings.VM {
		if addr := n.leaseRows.addr(owner); addr != "" {
			n.mesh.Send(news.Message{Suspect: id}, addr)
		}
	}
}

// suspect has this node look at the endpoint if it runs the endpoint's group.
func (n *Node) suspect(id roster.ID) {
	for _, c := range n.controllers {
		c.Suspect(id)
	}
}

// announce tells all nodes, this one included, about a head.
func (n *Node) announce(h roster.Hint) {
	n.takeHint(h)
	n.mesh.Tell(news.Message{Hint: &h})
}

// takeHint takes up a hint; what this node has at a head whose group has lost a
// member moves at once.
func (n *Node) takeHint(h roster.Hint) {
	e := n.roster.current.Load().Get(h.ID)
	if e != nil && h.Member.State == roster.Broken && h.Member.Group == e.Member.Group {
		n.tracker.Strand(h.ID)
	}
	n.roster.hint(h)
}

// heard takes up a message of another node.
func (n *Node) heard(m news.Message) {
	if m.Hint != nil {
		n.takeHint(*m.Hint)
	}
	if m.Suspect != "" {
		n.suspect(m.Suspect)
	}
	if m.Leaving != "" {
		n.lookSoon()
	}
	if m.Placed != nil {
		n.tracker.Told(m.Placed.ID, m.Placed.Requests, m.Placed.Tokens, engineTurnover)
	}
	if m.Failed != "" {
		n.forwarder.Ejector.Report(retry.ID(m.Failed), true)
	}
}

// tellLeaving has the nodes that follow this one ask at once: new work must stop
// within the platform's bound, and the next question would come 0.9 s later.
func (n *Node) tellLeaving(id roster.ID) { n.mesh.Tell(news.Message{Leaving: id}) }

// tellPlaced tells other nodes of the zone of a request that was sent to an engine.
// They mostly use the same engines, and would else see it only in the answer's
// head, 100 ms and more later.
func (n *Node) tellPlaced(id roster.ID, prompt int) {
	peers := n.leaseRows.zonePeers(n.Settings.VM, n.Settings.Zone)
	if len(peers) == 0 {
		return
	}
	weight := 1.0
	if len(peers) > placedPeers {
		weight = float64(len(peers)) / placedPeers
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:placedPeers]
	}
	n.mesh.Send(news.Message{Placed: &news.Placed{ID: id, Requests: weight, Tokens: weight * float64(prompt)}}, peers...)
}

// tellFailed tells the others of a plain endpoint that gave no usable answer. In
// a large fleet each node sends it too few requests to see that by itself.
func (n *Node) tellFailed(id roster.ID) { n.mesh.Tell(news.Message{Failed: id}) }
