package entry

import (
	"chervilloom/internal/forward"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// sweep closes old connections, tells the ejector whom there is to choose from, forgets what
// endpoints that are gone said of their load, and keeps the rows of quarantined requests.
func (n *Node) sweep() {
	n.pool.Sweep()
	var ids []retry.ID
	n.roster.current.Load().All(func(e *roster.Endpoint) {
		if e.Domain == "" || e.Leads() {
			ids = append(ids, forward.EjectionID(e))
		}
	})
	n.forwarder.Ejector.SetCandidates(ids)
	n.pressure.Sweep(n.listed)
	n.keepAllQuarantined()
	n.keepAnnounced()
}
