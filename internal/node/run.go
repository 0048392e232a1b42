package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

const (
	// drainLimit bounds a graceful end. It is longer than the longest deadline
	// of a request, so that no answer in progress is cut by it.
	drainLimit = 35 * time.Minute
	// maxHeader bounds the headers of a request in bytes. Strangers' connections
	// may hold that much each before a key was looked at.
	maxHeader = 64 << 10
	// flushTime bounds the wait for the table to take the outcomes of keyed
	// calls that were answered last.
	flushTime = 5 * time.Second
	// leaveTime bounds the words of farewell to the other nodes.
	leaveTime = 2 * time.Second
	// leaveLinger lets the farewell reach the links before they are closed.
	leaveLinger = 100 * time.Millisecond
)

// Run serves until ctx ends, then ends gracefully: duties go to other nodes
// first, then the balancer is given time to look elsewhere, then every request
// in progress is finished. It returns nil when nothing was cut.
func (n *Node) Run(ctx context.Context) error {
	a := n.Addrs()
	n.log.Info("listening", "caller", a.Caller, "operator", a.Operator, "peer", a.Peer,
		"incarnation", n.self.Incarnation)
	failed := make(chan error, 1)
	background, leases, duties := newStage(failed), newStage(failed), newStage(failed)
	n.startBackground(background)
	leases.start("leases", n.leases.Run)
	duties.start("groups", n.groups.Run)
	duties.start("demand", n.capacity.Run)
	duties.start("KV moves", n.moves.Run)
	callers := n.serve(background, "callers", n.accept, n.caller)
	operators := n.serve(background, "operators", n.operatorHandler(), n.operator)

	var err error
	select {
	case <-ctx.Done():
		n.log.Info("stopping: finishing the requests in progress")
	case err = <-failed:
		n.log.Error("stopping after a failure", "error", err, "stack", merry.Stacktrace(err))
	}
	duties.stop()
	leases.stop()
	err = errors.Join(err, n.drain(callers))
	err = errors.Join(err, operators.Close())
	background.stop()
	n.close()
	n.log.Info("stopped", "error", err)
	return err
}

func (n *Node) startBackground(s *stage) {
	s.start("peer links", n.mesh.Run)
	s.start("membership", n.members.Run)
	s.start("one process for the VM", n.watchReplaced)
	s.start("view", n.view.Run)
	s.start("list of VMs", n.lists.Run)
	s.start("discovery", n.directory.Run)
	s.start("probes", n.prober.Run)
	s.start("digests", n.gossip.Run)
	s.start("shared limits", forever(n.usage.Run))
	s.start("configuration", n.config.Run)
	s.start("configuration to view", n.passConfig)
	s.start("keys", forever(n.once.Run))
	s.start("candidates", n.followCandidates)
	s.start("admission", forever(n.admit.Run))
	s.start("cancels", n.dispatcher.Run)
	s.start("quarantine", n.runQuarantine)
	s.start("backpressure", n.runPressure)
}

// serve answers HTTP at the listener until the returned server is closed.
func (n *Node) serve(s *stage, name string, h http.Handler, l net.Listener) *http.Server {
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: time.Duration(n.set.Timing.HeaderTimeout),
		IdleTimeout:       time.Duration(n.set.Timing.IdleTimeout),
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	s.start(name, func(ctx context.Context) error {
		err := srv.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // closed by the graceful end, which stops the stage later
		}
		return err
	})
	return srv
}

// drain finishes what is in progress. The order matters: a relayed hop of
// another node may still run when this node's own callers are done, and the
// links must be open until the last of them has its whole answer.
func (n *Node) drain(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	n.announce(true)
	err := n.accept.Drain(ctx)
	err = errors.Join(err, n.mesh.Drain(ctx), callers.Shutdown(ctx))
	flush, cancelFlush := context.WithTimeout(ctx, flushTime)
	defer cancelFlush()
	if left := n.once.Flush(flush); left > 0 {
		n.log.Warn("outcomes of keyed calls were not written; their repeats get \"unknown\"", "calls", left)
	}
	leave, done := context.WithTimeout(context.Background(), leaveTime)
	defer done()
	if lerr := n.members.Leave(leave); lerr != nil {
		n.log.Warn("the other nodes were not told; they will find this node dead", "error", lerr)
	}
	time.Sleep(leaveLinger)
	return err
}

func (n *Node) close() {
	n.dispatcher.Close()
	n.quarantine.Close()
	n.engines.Close()
	n.movers.Close()
	n.platform.Close()
}

// announce tells the other nodes the revision in force here and whether this
// node is draining.
func (n *Node) announce(draining bool) {
	number, _, _ := n.config.Current()
	if !n.members.Announce(number, draining, nil) {
		n.log.Warn("the other nodes were not told of the new state; the next change tells them")
	}
}

// passConfig puts each revision that comes into force into the view.
func (n *Node) passConfig(ctx context.Context) error {
	changed := n.config.Subscribe()
	for {
		number, doc, _ := n.config.Current()
		if number > 0 {
			n.view.Put(view.Configured{Revision: number, Document: doc})
			n.announce(false)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// liveNodes returns the other nodes that are not known to be dead.
func (n *Node) liveNodes() []fleet.VM {
	var vms []fleet.VM
	for _, m := range n.view.Snapshot().Nodes {
		if m.State == view.NodeAlive || m.State == view.NodeSuspect {
			vms = append(vms, m.VM)
		}
	}
	return vms
}
