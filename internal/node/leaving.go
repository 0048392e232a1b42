package node

import (
	"context"

	"github.com/ansel1/merry/v2"

	"chervilloom/internal/explain"
	"chervilloom/internal/operator"
	"chervilloom/internal/view"
)

// Drain stops new requests to an endpoint. It orders the endpoint to leave, so
// that every node learns it from the next probe, and marks it as leaving on this
// node immediately. It returns an error if the endpoint is unknown or does not
// answer.
func (n *Node) Drain(ctx context.Context, req operator.DrainRequest, by string) error {
	vm := findVM(n.view.Snapshot(), req)
	if vm == nil {
		return merry.Errorf("no endpoint %q is known here: take a VM from status", req.VM)
	}
	reason := "operator " + by
	n.view.Put(view.MarkLeaving{VM: req.VM, Boot: vm.Probe.State.Boot, Reason: reason})
	n.explainStore.Record(explain.Step{Subject: string(req.VM), Stage: "drain", Decision: "leaving", Reason: reason})
	if err := n.engines.Leave(ctx, vm.Record.Addr); err != nil {
		return merry.Errorf("only this node knows that %s is leaving, the endpoint did not answer; order it again: %w", req.VM, err)
	}
	return nil
}

func findVM(snap *view.Snapshot, req operator.DrainRequest) *view.VM {
	for i := range snap.VMs {
		if snap.VMs[i].Record.VM == req.VM {
			return &snap.VMs[i]
		}
	}
	return nil
}
