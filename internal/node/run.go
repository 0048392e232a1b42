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
	// drainTimeout bounds a graceful shutdown. It exceeds the longest request
	// deadline, so that it truncates no answer in progress.
	drainTimeout = 35 * time.Minute
	// maxHeaderBytes bounds the headers of a request. Each connection can use
	// this much memory before its key is checked.
	maxHeaderBytes = 64 << 10
	// flushTimeout bounds the writes of the last keyed calls' outcomes to the
	// table.
	flushTimeout = 5 * time.Second
	// leaveTimeout bounds the sending of the leave message to the other nodes.
	leaveTimeout = 2 * time.Second
	// leaveFlushDelay lets the links send the leave message before they close.
	leaveFlushDelay = 100 * time.Millisecond
)

// Run serves until ctx ends or a part of the node fails, then shuts down
// gracefully. It hands duties over to other nodes, gives the load balancer time
// to notice the failing readiness check, and finishes every request in progress.
// It returns nil if ctx ended and no request was cut off.
func (n *Node) Run(ctx context.Context) error {
	a := n.Addrs()
	n.log.Info("listening", "caller", a.Caller, "operator", a.Operator, "peer", a.Peer,
		"incarnation", n.self.Incarnation)
	failures := make(chan error, 1)
	background, leases, duties := newStage(failures), newStage(failures), newStage(failures)
	n.startBackground(background)
	leases.start("leases", n.leases.Run)
	duties.start("groups", n.groups.Run)
	duties.start("demand", n.capacity.Run)
	duties.start("KV moves", n.mover.Run)
	callers := n.serve(background, "callers", n.accept, n.caller)
	operators := n.serve(background, "operators", n.operatorHandler(), n.operator)

	var err error
	select {
	case <-ctx.Done():
		n.log.Info("stopping: finishing the requests in progress")
	case err = <-failures:
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
	s.start("duplicate process check", n.waitForReplacement)
	s.start("view", n.view.Run)
	s.start("list of VMs", n.listPoller.Run)
	s.start("discovery", n.directory.Run)
	s.start("probes", n.prober.Run)
	s.start("digests", n.gossip.Run)
	s.start("shared limits", withoutError(n.usage.Run))
	s.start("configuration", n.config.Run)
	s.start("configuration updates of the view", n.publishConfig)
	s.start("keys", withoutError(n.once.Run))
	s.start("candidates", n.updateCandidates)
	s.start("admission", withoutError(n.admit.Run))
	s.start("cancels", n.dispatcher.Run)
	s.start("quarantine", n.runQuarantine)
	s.start("backpressure", n.runPressure)
}

// serve starts an HTTP server on the listener in stage s and returns it. The
// server runs until it is closed.
func (n *Node) serve(s *stage, name string, h http.Handler, l net.Listener) *http.Server {
	srv := &http.Server{
		Handler:           h,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: time.Duration(n.settings.Timing.HeaderTimeout),
		IdleTimeout:       time.Duration(n.settings.Timing.IdleTimeout),
		ErrorLog:          slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	s.start(name, func(ctx context.Context) error {
		err := srv.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-ctx.Done() // closed by the graceful shutdown, which stops the stage later
		}
		return err
	})
	return srv
}

// drain finishes the requests in progress and leaves the membership. The order
// matters: requests relayed from other nodes may still run after this node's own
// callers are done, and the links must stay open until the last of them has its
// complete answer.
func (n *Node) drain(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.announceState(true)
	err := n.accept.Drain(ctx)
	err = errors.Join(err, n.mesh.Drain(ctx), callers.Shutdown(ctx))
	flush, cancelFlush := context.WithTimeout(ctx, flushTimeout)
	defer cancelFlush()
	if left := n.once.Flush(flush); left > 0 {
		n.log.Warn("outcomes of keyed calls were not written; their repeats get \"unknown\"", "calls", left)
	}
	leave, done := context.WithTimeout(context.Background(), leaveTimeout)
	defer done()
	if lerr := n.members.Leave(leave); lerr != nil {
		n.log.Warn("leave message not sent; the other nodes will detect this node as dead", "error", lerr)
	}
	time.Sleep(leaveFlushDelay)
	return err
}

func (n *Node) close() {
	n.dispatcher.Close()
	n.quarantine.Close()
	n.engines.Close()
	n.moveEngines.Close()
	n.platform.Close()
}

// announceState sends the other nodes the revision in force on this node and
// whether it is draining.
func (n *Node) announceState(draining bool) {
	number, _, _ := n.config.Current()
	if !n.members.Announce(number, draining, nil) {
		n.log.Warn("node state not announced; the next change announces it")
	}
}

// publishConfig puts each revision into the view when it comes into force.
func (n *Node) publishConfig(ctx context.Context) error {
	changed := n.config.Subscribe()
	for {
		number, doc, _ := n.config.Current()
		if number > 0 {
			n.view.Put(view.Configured{Revision: number, Document: doc})
			n.announceState(false)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// liveNodes returns the other nodes that are alive or suspected dead.
func (n *Node) liveNodes() []fleet.VM {
	var vms []fleet.VM
	for _, m := range n.view.Snapshot().Nodes {
		if m.State == view.NodeAlive || m.State == view.NodeSuspect {
			vms = append(vms, m.VM)
		}
	}
	return vms
}
