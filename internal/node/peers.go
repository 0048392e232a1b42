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
		Self: n.self, Zone: n.set.Zone, Listen: n.set.Listen.Peer.String(), Identity: id,
		Clock: n.clock, Log: n.log, Registerer: n.reg,
	})
	if err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(seed(), seed()))
	state := membership.New(n.self, n.set.Zone, n.peerAddr(), membership.Defaults(), rng)
	n.members, err = membership.NewService(membership.Options{
		State: state, Mesh: n.mesh, Clock: n.clock, Log: n.log, Registerer: n.reg,
		OnPause: n.paused, OnReplaced: n.replacedBy,
	})
	if err != nil {
		return err
	}
	n.members.OnChange(func(nodes []view.Node) { n.view.Put(view.Members{Nodes: nodes}) })
	n.buildDiscovery()
	return nil
}

// peerAddr returns where the other nodes reach this one.
func (n *Node) peerAddr() string {
	if a := n.set.Peer.Advertise; a.IsValid() {
		return a.String()
	}
	return n.mesh.Addr()
}

// identity reads the node's certificate from the files that the settings name,
// or makes one from the deployment's secret.
func (n *Node) identity() (peer.Identity, error) {
	if p := n.set.Peer; p.CertFile != "" {
		return peer.IdentityFromFiles(p.CertFile, p.KeyFile, p.CAFile)
	}
	secret, err := n.set.PeerSecret()
	if err != nil {
		return peer.Identity{}, err
	}
	return peer.IdentityFromSecret(n.self.VM, secret)
}

func (n *Node) buildDiscovery() {
	n.directory = discovery.New(discovery.Options{
		Self: n.self.VM,
		Row: discovery.Row{
			Incarnation: n.self.Incarnation, Zone: n.set.Zone, Peer: n.peerAddr(),
			Caller: n.caller.Addr().String(), Operator: n.operator.Addr().String(),
		},
		Table: n.platform, Log: n.log, Found: n.found,
		Owns: n.owns, Alive: n.alive, Clock: n.clock,
	})
	n.lists = &view.ListPoller{
		List: listed{n.platform, n.directory}, Clock: n.clock, View: n.view, Log: n.log,
	}
	n.found(nil)
}

// found passes the addresses of possible members on, the settings' seeds among
// them. A seed has no VM name until it answers.
func (n *Node) found(peers []peer.Peer) {
	n.mesh.SetPeers(peers)
	var seeds []membership.Seed
	for _, p := range peers {
		seeds = append(seeds, membership.Seed{VM: p.VM, Zone: p.Zone, Addr: p.Addr})
	}
	for _, s := range n.set.Seeds {
		seeds = append(seeds, membership.Seed{Addr: s.String()})
	}
	if !n.members.SetSeeds(seeds) {
		n.log.Warn("the list of nodes was dropped; the next look brings it again")
	}
}

// listed hands each list of VMs to discovery as well.
type listed struct {
	list      view.Lister
	directory *discovery.Directory
}

func (l listed) VMs(ctx context.Context) ([]fleet.Record, error) {
	records, err := l.list.VMs(ctx)
	if err == nil {
		l.directory.Listed(records)
	}
	return records, err
}

// paused tells operators that the process did not run for a while. Leases and
// claims that lapsed meanwhile are seen as lapsed by CLOCK_BOOTTIME.
func (n *Node) paused(gap time.Duration) {
	n.log.Warn("this process did not run for a while; look at the VM's host when it happens again", "gap", gap)
}

// replacedBy has the node stop: another process with this VM's name is a member,
// and two lives of one VM would answer for the same tickets and leases.
func (n *Node) replacedBy(by fleet.Node) {
	select {
	case n.replaced <- by:
	default: // it is stopping already
	}
}

func (n *Node) watchReplaced(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case by := <-n.replaced:
		return merry.Errorf("a later process of this VM is a member, %s; run one process for each VM", by)
	}
}

func (n *Node) alive(vm fleet.VM) bool { return slices.Contains(n.liveNodes(), vm) }
