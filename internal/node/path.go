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

// buildPath joins the filters of the request path. A caller's request goes
// through all of them; one that another node passed on enters at the stage that
// it names.
func (n *Node) buildPath() error {
	acc := account.New(account.Options{Clock: n.clock, Log: n.log, Registerer: n.reg, Explain: n.explained})
	ident := identify.New(identify.Options{View: n.view, Clock: n.clock, Explain: n.explained})
	if err := n.buildOnce(ident); err != nil {
		return err
	}
	n.router = route.New(route.Options{Self: n.self, Zone: n.set.Zone, Seed: seed(), Clock: n.clock, Registerer: n.reg})
	n.retries = retry.NewBudget(retry.BudgetOptions{Seed: seed(), Registerer: n.reg})
	n.ejector = retry.NewEjector(retry.OutlierOptions{}, nil, n.log, n.reg)
	n.admit = admit.New(admit.Options{
		View: n.view, Clock: n.clock, Log: n.log, Registerer: n.reg, Recorder: n.explained, Usage: n.usage,
	})
	n.buildQuarantine()
	n.buildPressure()
	n.dispatcher = dispatch.New(dispatch.Options{
		View: n.view, Clock: n.clock, Router: ejecting{n.router, n.ejector, n.uses}, Retry: n.retries, Peers: n.mesh,
		Prober: n.prober, Answers: n.answers, Explain: n.explained, Log: n.log, Registerer: n.reg,
		Quarantine: n.quarantine, Backpressure: n.pressure,
	})
	keyed := filter.Chain(n.dispatcher,
		acc.Timed("once", n.once.Filter()),
		acc.Timed("admit", n.admit.Filter()))
	callers := filter.Chain(keyed, acc.Filter, acc.Timed("identify", once.Before(ident.Filter)))
	n.mesh.SetHandler(relayed{key: filter.Chain(keyed, acc.Filter), dispatch: filter.Chain(n.dispatcher, acc.Filter, acc.Timed("admit", n.admit.Filter()))})
	n.accept = accept.New(accept.Options{
		Handler: callers, View: n.view, Clock: n.clock, Log: n.log, Registerer: n.reg,
		BodyLimit: int64(n.set.BodyLimit), Ready: n.ready, Tickets: n.once.Tickets(),
		Authorise: ident.Organisation, Notice: time.Duration(n.set.Timing.DrainNotice),
	})
	return nil
}

func (n *Node) buildOnce(ident *identify.Identifier) (err error) {
	secret, err := n.set.PeerSecret()
	if err != nil {
		return err
	}
	n.once, err = once.New(once.Options{
		Self: n.self, Table: n.platform, Peers: n.mesh, View: n.view, Clock: n.clock,
		Log: n.log, Explain: n.explained, Registerer: n.reg, Secret: secret,
		Authorise: ident.Organisation, Owns: n.owns,
	})
	return err
}

// owns reports whether rendezvous hashing gives a duty without a lease to this
// node. Two nodes that both think so are harmless for such a duty.
func (n *Node) owns(subject string) bool {
	return membership.Owner(subject, append(n.liveNodes(), n.self.VM)) == n.self.VM
}

// ready tells whether the node can judge requests: without a revision it knows
// no organisation, so every caller would be refused.
func (n *Node) ready() (bool, string) {
	if n.view.Snapshot().Revision == 0 {
		return false, "no configuration revision is known yet"
	}
	return true, ""
}

// relayed hands a request of another node to the stage that it names.
type relayed struct{ key, dispatch filter.Handler }

func (r relayed) Serve(ctx context.Context, req *request.Request, w answer.Writer) {
	if req.Stage == request.StageKey {
		r.key.Serve(ctx, req, w)
		return
	}
	r.dispatch.Serve(ctx, req, w)
}

const methodAlive = "node.alive"

// answers asks a node for a sign of life.
func (n *Node) answers(ctx context.Context, vm fleet.VM) bool {
	_, err := n.mesh.Call(ctx, vm, methodAlive, nil)
	return err == nil
}

func (n *Node) handleAlive(context.Context, fleet.Node, []byte) ([]byte, error) { return nil, nil }
