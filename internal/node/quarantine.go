package node

import (
	"context"
	"encoding/json"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/membership"
	"chervilloom/internal/platform"
	"chervilloom/internal/quarantine"
)

const (
	topicQuarantine = "quarantine"
	// tallyReplicas is the number of nodes that receive each report of a crashed endpoint.
	// One of them may be dead but not yet detected, another unreachable through a partition.
	tallyReplicas = 3
	// tallyInterval is the interval at which crashes are reported and evaluated. The delay
	// is acceptable: the limit on runs applies only from seconds after the third crash.
	tallyInterval = 100 * time.Millisecond
	// quarantineReadInterval is the interval at which a node reads the stored quarantine,
	// in case it missed a message. 370 nodes make 12 reads a second; the table serves
	// thousands.
	quarantineReadInterval = 30 * time.Second
)

func (n *Node) buildQuarantine() {
	n.quarantineRows = &quarantine.Rows{Get: n.platform.Get, Commit: n.platform.Commit, Table: platform.TableQuarantine, Log: n.log}
	n.quarantine = (&quarantine.Guard{
		Node: string(n.self.VM), Clock: n.clock, Log: n.log,
		SendToTalliers: n.sendToTallyNodes, Broadcast: func(m quarantine.Message) { n.broadcast(topicQuarantine, m) },
		Persist:         func(v quarantine.Verdict) { go n.storeQuarantined(v) },
		DeletePersisted: func(fp quarantine.Fingerprint) { go n.quarantineRows.Delete(context.Background(), fp) },
		AcquireTrial:    n.quarantineRows.AcquireTrial,
	}).Init(n.reg)
	subscribe(n, topicQuarantine, n.quarantine.Receive)
}

// sendToTallyNodes sends a message to the tally nodes, which rendezvous hashing makes
// the same for all senders.
func (n *Node) sendToTallyNodes(m quarantine.Message) {
	raw, err := json.Marshal(m)
	if err != nil {
		n.log.Error("quarantine message not encoded", "error", err)
		return
	}
	for _, vm := range membership.TopK(topicQuarantine, append(n.liveNodes(), n.self.VM), tallyReplicas) {
		if vm == n.self.VM {
			continue
		}
		if err := n.mesh.Send(vm, topicQuarantine, raw); err != nil {
			n.log.Error("quarantine message not sent", "to", vm, "error", err)
		}
	}
}

// storeQuarantined writes the request's row unless an equivalent row exists.
func (n *Node) storeQuarantined(v quarantine.Verdict) {
	ctx := context.Background()
	row, err := n.platform.Get(ctx, platform.TableQuarantine, n.quarantineRows.Key(v.Fingerprint))
	if err != nil {
		n.log.Info("quarantined request is not kept; the nodes that know it refuse it", "fingerprint", v.Fingerprint, "err", err)
		return
	}
	n.quarantineRows.Persist(ctx, v, row, n.quarantine.IsQuarantined)
}

// runQuarantine reports and evaluates crashes until ctx ends. It reads the stored quarantine
// at the start, because all nodes may have restarted, and then periodically.
func (n *Node) runQuarantine(ctx context.Context) error {
	lastRead := clock.Instant(0)
	clock.Every(ctx, tallyInterval, func() {
		n.quarantine.Tick()
		if now := n.clock.Now(); lastRead == 0 || now.Sub(lastRead) > quarantineReadInterval {
			lastRead = now
			go n.readQuarantined(ctx)
		}
	})
	return nil
}

func (n *Node) readQuarantined(ctx context.Context) {
	rows, err := n.platform.List(ctx, platform.TableQuarantine, "")
	if err != nil {
		n.log.Info("quarantined requests not read; new ones still arrive from the other nodes", "error", err)
		return
	}
	n.quarantine.ApplyPersisted(n.quarantineRows.ParseVerdicts(rows))
	if !n.isOwner(topicQuarantine) {
		return
	}
	for _, b := range n.quarantine.Banned() {
		if b.IsExpired() {
			n.quarantineRows.Delete(ctx, b.Fingerprint)
		}
	}
}
