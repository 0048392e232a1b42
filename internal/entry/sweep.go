package entry

import (
	"chervilloom/internal/forward"
	"chervilloom/internal/retry"
	"chervilloom/internal/roster"
)

// sweep closes idle connections, updates the ejector's candidates, drops the load state of
// endpoints that are no longer listed, observes the number of nodes, and maintains the rows of
// quarantined requests and of this node.
func (n *Node) sweep() {
	n.pool.CloseExpired()
	n.budgetNodes()
	var ids []retry.ID
	n.roster.current.Load().ForEach(func(e *roster.Endpoint) {
		if e.Domain == "" || e.IsServingHead() {
			ids = append(ids, forward.EjectionID(e))
		}
	})
	n.forwarder.Ejector.SetCandidates(ids)
	n.backpressureGuard.Sweep(n.isListed)
	n.backpressureGuard.SweepCold(n.isCold)
	n.syncQuarantineRows()
	n.rewriteMissingRow()
}
