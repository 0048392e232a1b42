package node

import (
	"context"
	"sync"
	"time"

	"chervilloom/internal/membership"
	"chervilloom/internal/peer"
)

// The wait between two tries of a seed that does not answer grows from
// seedWaitLeast to seedWaitMost.
const (
	seedWaitLeast = 250 * time.Millisecond
	seedWaitMost  = 10 * time.Second
)

// contacts are the addresses of possible members, from discovery and from the
// settings' seeds.
type contacts struct {
	mu         sync.Mutex
	discovered []peer.Peer
	met        []peer.Peer // seeds that have told their VM
}

// found takes what discovery knows.
func (n *Node) found(peers []peer.Peer) {
	n.contacts.mu.Lock()
	n.contacts.discovered = peers
	n.contacts.mu.Unlock()
	n.passContacts()
}

// passContacts passes all addresses on. What discovery tells goes last: a seed
// may be older than the VM's newest address.
func (n *Node) passContacts() {
	n.contacts.mu.Lock()
	defer n.contacts.mu.Unlock()
	var seeds []membership.Seed
	named := map[string]bool{}
	for _, p := range n.contacts.discovered {
		named[string(p.VM)] = true
		seeds = append(seeds, membership.Seed{VM: p.VM, Zone: p.Zone, Addr: p.Addr})
	}
	for _, p := range n.contacts.met {
		if !named[string(p.VM)] {
			seeds = append(seeds, membership.Seed{VM: p.VM, Zone: p.Zone, Addr: p.Addr})
		}
	}
	n.mesh.SetPeers(n.contacts.discovered)
	if !n.members.SetSeeds(seeds) {
		n.log.Warn("the list of nodes was dropped; the next look brings it again")
	}
}

// meetSeeds asks the settings' seeds who they are. A seed is an address without
// a VM, and no link is made to a VM that has not shown its name, so that without
// this a node that starts while the platform is down would never meet the others
// nor learn the configuration.
func (n *Node) meetSeeds(ctx context.Context) error {
	var seeds []string
	for _, s := range n.set.Seeds {
		if s.String() != n.mesh.Addr() {
			seeds = append(seeds, s.String())
		}
	}
	for wait := seedWaitLeast; len(seeds) > 0; wait = min(2*wait, seedWaitMost) {
		seeds = n.meet(ctx, seeds)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
	<-ctx.Done()
	return nil
}

// meet asks all seeds at once and returns those that did not answer.
func (n *Node) meet(ctx context.Context, seeds []string) (left []string) {
	var work sync.WaitGroup
	var mu sync.Mutex
	for _, addr := range seeds {
		work.Go(func() {
			p, err := n.mesh.Identify(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				n.log.Debug("a seed does not answer", "addr", addr, "error", err)
				left = append(left, addr)
				return
			}
			n.log.Info("seed met", "addr", addr, "peer", p.VM)
			n.contacts.mu.Lock()
			n.contacts.met = append(n.contacts.met, p)
			n.contacts.mu.Unlock()
		})
	}
	work.Wait()
	if len(left) < len(seeds) {
		n.passContacts()
	}
	return left
}
