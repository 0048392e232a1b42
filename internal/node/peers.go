package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"chervilloom/internal/discovery"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/peer"
	"chervilloom/internal/view"
)

func (n *Node) buildPeers() error {
	id, err := n.identity()
	if err != nil {
		return err
	}
	n.mesh, err = peer.New(peer.Options{
		Self: n.self, Zone: n.settings.Zone, Listen: n.settings.Listen.Peer.String(), Identity: id,
		Clock: n.clock, Log: n.log, Registerer: n.reg,
	})
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(seed(), seed()))
	state := membership.New(n.self, n.settings.Zone, n.peerAddr(), membership.DefaultConfig(), rng)
	n.members, err = membership.NewService(membership.Options{
		State: state, Mesh: n.mesh, Clock: n.clock, Log: n.log, Registerer: n.reg,
		OnPause: n.handlePause, OnReplaced: n.handleReplaced,
	})
	if err != nil {
		return err
	}
	n.members.OnChange(func(nodes []view.Node) { n.view.Put(view.Members{Nodes: nodes}) })
	n.buildDiscovery()
	return nil
}

// peerAddr returns the address at which other nodes reach this one.
func (n *Node) peerAddr() string {
	if a := n.settings.Peer.Advertise; a.IsValid() {
		return a.String()
	}
	return n.mesh.Addr()
}

// identity reads the node's certificate from the files that the settings name,
// or makes one from the deployment's secret.
func (n *Node) identity() (peer.Identity, error) {
	if p := n.settings.Peer; p.CertFile != "" {
		return peer.IdentityFromFiles(p.CertFile, p.KeyFile, p.CAFile)
	}
	secret, err := n.settings.PeerSecret()
	if err != nil {
		return peer.Identity{}, err
	}
	return peer.IdentityFromSecret(n.self.VM, secret)
}

func (n *Node) buildDiscovery() {
	n.directory = discovery.New(discovery.Options{
		Self: n.self.VM,
		Row: discovery.Row{
			Incarnation: n.self.Incarnation, Zone: n.settings.Zone, Peer: n.peerAddr(),
			Caller: n.caller.Addr().String(), Operator: n.operator.Addr().String(),
		},
		Table: n.platform, Log: n.log, OnPeersChanged: n.setDiscovered,
		OwnsDuty: n.isOwner, IsAlive: n.isAlive, Clock: n.clock,
	})
	n.listPoller = &view.ListPoller{
		List: recordingLister{n.platform, n.directory}, Clock: n.clock, View: n.view, Log: n.log,
	}
	n.setDiscovered(nil)
}

// setDiscovered passes the addresses of possible members, including the seeds of
// the settings, to the mesh and the membership. A seed has no VM name until it
// answers.
func (n *Node) setDiscovered(peers []peer.Peer) {
	n.mesh.SetPeers(peers)
	var seeds []membership.Seed
	for _, p := range peers {
		seeds = append(seeds, membership.Seed{VM: p.VM, Zone: p.Zone, Addr: p.Addr})
	}
	for _, s := range n.settings.Seeds {
		seeds = append(seeds, membership.Seed{Addr: s.String()})
	}
	if !n.members.SetSeeds(seeds) {
		n.log.Warn("seed list dropped; the next discovery sweep sends it again")
	}
}

// recordingLister passes each list of VMs to discovery as well.
type recordingLister struct {
	list      view.Lister
	directory *discovery.Directory
}

func (l recordingLister) VMs(ctx context.Context) ([]fleet.Record, error) {
	records, err := l.list.VMs(ctx)
	if err == nil {
		l.directory.UpdateListed(records)
	}
	return records, err
}

// handlePause logs that the process did not run for gap. Leases and claims that
// expired meanwhile are seen as expired, because CLOCK_BOOTTIME keeps counting.
func (n *Node) handlePause(gap time.Duration) {
	n.log.Warn("this process was paused; check the VM's host if this recurs", "gap", gap)
}

// handleReplaced stops the node because another process with this VM's name is a
// member. Two processes of one VM would answer for the same tickets and leases.
func (n *Node) handleReplaced(by fleet.Node) {
	select {
	case n.replacement <- by:
	default: // already stopping
	}
}

func (n *Node) waitForReplacement(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case by := <-n.replacement:
		return merry.Errorf("a later process of this VM has joined as %s; run one process per VM", by)
	}
}

func (n *Node) isAlive(vm fleet.VM) bool { return slices.Contains(n.liveNodes(), vm) }
