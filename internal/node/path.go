package node

import (
	"context"
	"time"

	"chervilloom/internal/accept"
	"chervilloom/internal/account"
	"chervilloom/internal/admit"
	"chervilloom/internal/answer"
	"chervilloom/internal/dispatch"
	"chervilloom/internal/filter"
	"chervilloom/internal/fleet"
	"chervilloom/internal/identify"
	"chervilloom/internal/membership"
	"chervilloom/internal/once"
	"chervilloom/internal/request"
	"chervilloom/internal/retry"
	"chervilloom/internal/route"
)

// buildPath chains the filters of the request path. A caller's request passes
// through all of them; a request relayed by another node enters at the stage
// that it names.
func (n *Node) buildPath() error {
	acc := account.New(account.Options{Clock: n.clock, Log: n.log, Registerer: n.reg, Explain: n.explainStore})
	ident := identify.New(identify.Options{View: n.view, Clock: n.clock, Explain: n.explainStore})
	if err := n.buildOnce(ident); err != nil {
		return err
	}
	n.router = route.New(route.Options{Self: n.self, Zone: n.settings.Zone, Seed: seed(), Clock: n.clock, Registerer: n.reg})
	n.retries = retry.NewBudget(retry.BudgetOptions{Seed: seed(), Registerer: n.reg})
	n.ejector = retry.NewEjector(retry.OutlierOptions{}, nil, n.log, n.reg)
	n.admit = admit.New(admit.Options{
		View: n.view, Clock: n.clock, Log: n.log, Registerer: n.reg, Recorder: n.explainStore, Usage: n.usage,
	})
	n.buildQuarantine()
	n.buildPressure()
	n.dispatcher = dispatch.New(dispatch.Options{
		View: n.view, Clock: n.clock, Router: ejectingRouter{n.router, n.ejector, n.prefixUses}, Retry: n.retries, Peers: n.mesh,
		Prober: n.prober, NodeResponds: n.pingNode, Explain: n.explainStore, Log: n.log, Registerer: n.reg,
		Quarantine: n.quarantine, Backpressure: n.pressure,
	})
	keyed := filter.Chain(n.dispatcher,
		acc.Timed("once", n.once.Filter()),
		acc.Timed("admit", n.admit.Filter()))
	callers := filter.Chain(keyed, acc.Filter, acc.Timed("identify", once.WrapRefusals(ident.Filter)))
	n.mesh.SetHandler(relayHandler{key: filter.Chain(keyed, acc.Filter), dispatch: filter.Chain(n.dispatcher, acc.Filter, acc.Timed("admit", n.admit.Filter()))})
	n.accept = accept.New(accept.Options{
		Handler: callers, View: n.view, Clock: n.clock, Log: n.log, Registerer: n.reg,
		BodyLimit: int64(n.settings.BodyLimit), Ready: n.isReady, Tickets: n.once.Tickets(),
		Authorise: ident.Organisation, DrainNotice: time.Duration(n.settings.Timing.DrainNotice),
	})
	return nil
}

func (n *Node) buildOnce(ident *identify.Identifier) (err error) {
	secret, err := n.settings.PeerSecret()
	if err != nil {
		return err
	}
	n.once, err = once.New(once.Options{
		Self: n.self, Table: n.platform, Peers: n.mesh, View: n.view, Clock: n.clock,
		Log: n.log, Explain: n.explainStore, Registerer: n.reg, Secret: secret,
		Authorise: ident.Organisation, OwnsDuty: n.isOwner,
	})
	return err
}

// isOwner reports whether rendezvous hashing assigns a duty without a lease to
// this node. Such a duty tolerates two nodes that both consider themselves its
// owner.
func (n *Node) isOwner(subject string) bool {
	return membership.Owner(subject, append(n.liveNodes(), n.self.VM)) == n.self.VM
}

// isReady reports whether the node can serve requests, and the reason if not.
// Without a revision it knows no organisation and would refuse every caller.
func (n *Node) isReady() (bool, string) {
	if n.view.Snapshot().Revision == 0 {
		return false, "no configuration revision is known yet"
	}
	return true, ""
}

// relayHandler passes a request relayed by another node to the stage that the
// request names.
type relayHandler struct{ key, dispatch filter.Handler }

func (r relayHandler) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	if req.Stage == request.StageKey {
		r.key.Serve(ctx, req, w)
		return
	}
	r.dispatch.Serve(ctx, req, w)
}

const methodAlive = "node.alive"

// pingNode reports whether the node on the VM answers a call.
func (n *Node) pingNode(ctx context.Context, vm fleet.VM) bool {
	_, err := n.mesh.Call(ctx, vm, methodAlive, nil)
	return err == nil
}

func (n *Node) handleAlive(context.Context, fleet.Node, []byte) ([]byte, error) { return nil, nil }
