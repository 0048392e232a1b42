package view

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Guards against a node that starts while the platform is down and refuses
// every request, because it knows no endpoint. It requests the VM list from its
// peers, one after the other, until one answers; their endpoint states can then
// be applied.
func TestListIsReceivedFromPeers(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	links, mergers := newNodePair(clk)
	counter := fleet.Record{VM: "s", Kind: fleet.KindService, Addr: "s:1", Service: "counter", Zone: "z", State: fleet.StateLive}
	mergers[1].state.Apply(List{At: at(0), Records: []fleet.Record{counter}})
	mergers[1].state.Apply(probeAnswer("s", "b1", 10))
	stepNodes(clk, links, mergers, 10)
	got := mergers[0].Snapshot()
	is.Equal(len(got.VMs), 1)
	is.Equal(got.VMs[0].Record, counter)
	is.True(got.VMs[0].Listed)
	is.Equal(got.VMs[0].Probe.AnsweredAt, at(10))
	is.Equal(got.PlatformSeen, clock.Instant(0)) // the platform answered the peer, not this node
	mergers[0].state.Apply(List{At: clk.Now()})  // from now on only its own reads count
	is.True(!mergers[0].state.Apply(peerList{list: List{At: clk.Now().Add(1), Records: []fleet.Record{counter}}}))
}

// Guards against a group that stays unused for half a minute: the message that
// reported it was lost, and the peer only repeats that it is unchanged. The
// receiver must request the full state.
func TestLostDigestTriggersResync(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	links, mergers := newNodePair(clk)
	mergers[1].state.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	mergers[0].state.Apply(List{At: at(0), Records: nil})
	applyGroupOfTwo(mergers[1].state)
	links[1].dropCount = 2 // the initial full state and the first regular digest
	stepNodes(clk, links, mergers, 15)
	got := mergers[0].Snapshot().Groups
	is.Equal(len(got), 1)
	is.True(got[0].Whole)
}

// recordingSender records the recipient and topic of each message.
type recordingSender struct{ sent []string }

func (o *recordingSender) Send(to fleet.VM, topic string, payload []byte) error {
	o.sent = append(o.sent, fmt.Sprintf("%s %s", to, topic))
	return nil
}

func TestGossipSendsFullStateToNewPeersByTopic(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	m := NewMerger(fleet.Node{VM: "n1", Incarnation: 1}, "z", clk)
	out := &recordingSender{}
	g := NewGossip(GossipOptions{
		View: m, Clock: clk, Sender: out, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		First: func(_ string, nodes []fleet.VM, k int) []fleet.VM { return slices.Sorted(slices.Values(nodes))[:k] },
	})
	applyGroupOfTwo(m.state)
	m.state.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	nodes := []Node{
		{Node: fleet.Node{VM: "n2", Incarnation: 1}, Zone: "z", State: NodeAlive},
		{Node: fleet.Node{VM: "y1", Incarnation: 1}, Zone: "y", State: NodeAlive},
		{Node: fleet.Node{VM: "y2", Incarnation: 1}, Zone: "y", State: NodeDead},
	}
	m.state.Apply(Members{Nodes: nodes})
	g.sendDigests(m.state.Snapshot(at(100)), at(100))
	is.Equal(out.sent, []string{"n2 view.zone", "y1 view.remote", "n2 view.zone", "y1 view.remote"})
	out.sent = nil
	g.sendDigests(m.state.Snapshot(at(200)), at(200))
	is.Equal(len(out.sent), 0)
	nodes[0].Incarnation = 2 // restarted with empty state
	m.state.Apply(Members{Nodes: nodes})
	g.sendDigests(m.state.Snapshot(at(300)), at(300))
	is.Equal(out.sent, []string{"n2 view.zone"})
}

// Guards against an endpoint that is probed by a node that does not report it,
// so that other nodes find its group stale. Probing and reporting must use the
// same assignment: suspect and draining nodes receive digests but watch
// nothing.
func TestDigestsCoverWatchedEndpoints(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	m := NewMerger(fleet.Node{VM: "n9", Incarnation: 1}, "z", clk)
	out := &recordingSender{}
	g := NewGossip(GossipOptions{
		View: m, Clock: clk, Sender: out, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(), Watchers: 1,
		First: func(_ string, nodes []fleet.VM, k int) []fleet.VM { return slices.Sorted(slices.Values(nodes))[:k] },
	})
	m.state.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
	m.state.Apply(probeAnswer("a", "b1", 10))
	m.state.Apply(Members{Nodes: []Node{
		{Node: fleet.Node{VM: "n1"}, Zone: "z", State: NodeSuspect},
		{Node: fleet.Node{VM: "n2"}, Zone: "z", State: NodeAlive, Draining: true},
	}})
	g.sendDigests(m.state.Snapshot(at(100)), at(100))
	is.True(slices.Contains(out.sent, "n1 view.zone"))
	is.True(slices.Contains(out.sent, "n2 view.zone"))
}

// newNodePair returns two nodes, in zones y and z, that are driven by
// stepNodes.
func newNodePair(clk *clock.Manual) ([]*link, []*Merger) {
	nodes := []fleet.Node{{VM: "n1", Incarnation: 1}, {VM: "n2", Incarnation: 1}}
	zones := []fleet.AvailabilityZone{"y", "z"}
	links := []*link{{from: nodes[0]}, {from: nodes[1]}}
	var mergers []*Merger
	for i, self := range nodes {
		m := NewMerger(self, zones[i], clk)
		links[1-i].to = NewGossip(GossipOptions{
			View: m, Clock: clk, Sender: links[i], Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
			First: func(_ string, nodes []fleet.VM, k int) []fleet.VM { return nodes[:min(k, len(nodes))] },
		})
		m.state.Apply(Members{Nodes: []Node{{Node: nodes[1-i], Zone: zones[1-i], State: NodeAlive}}})
		mergers = append(mergers, m)
	}
	return links, mergers
}

// stepNodes merges and sends digests on both nodes, n times, 100 ms apart.
func stepNodes(clk *clock.Manual, links []*link, mergers []*Merger, n int) {
	for range n {
		clk.Advance(100 * time.Millisecond)
		for i, m := range mergers {
			m.merge()
			m.publish()
			links[1-i].to.sendDigests(m.Snapshot(), clk.Now())
		}
	}
}

// link delivers messages to the recipient's Gossip.
type link struct {
	from      fleet.Node
	to        *Gossip
	dropCount int // number of messages to drop
}

func (m *link) Send(_ fleet.VM, topic string, payload []byte) error {
	if m.dropCount > 0 {
		m.dropCount--
		return nil
	}
	if topic == TopicZone {
		m.to.HandleZone(m.from, payload)
	} else {
		m.to.HandleRemote(m.from, payload)
	}
	return nil
}

// One node probes; the other, which probes nothing, must see the group as
// whole.
func TestGossipBetweenTwoNodes(t *testing.T) {
	is := is.New(t)
	nodes := []fleet.Node{{VM: "n1", Incarnation: 1}, {VM: "n2", Incarnation: 1}}
	var mergers []*Merger
	var gossips []*Gossip
	links := []*link{{from: nodes[0]}, {from: nodes[1]}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 4)
	clk := clock.Boot{}
	for i, self := range nodes {
		m := NewMerger(self, "z", clk)
		g := NewGossip(GossipOptions{
			View: m, Clock: clk, Sender: links[i], Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
			First: func(_ string, nodes []fleet.VM, k int) []fleet.VM {
				return slices.Sorted(slices.Values(nodes))[:min(k, len(nodes))]
			},
		})
		mergers, gossips = append(mergers, m), append(gossips, g)
	}
	links[0].to, links[1].to = gossips[1], gossips[0]
	group := fleet.Group{ID: "z.g", Generation: 1, Phase: fleet.PhaseServing, Zone: "z", Members: []fleet.Member{{VM: "a", Boot: "b1"}}}
	for i, m := range mergers {
		m.Put(List{At: clk.Now(), Records: []fleet.Record{record("a", fleet.StateLive)}})
		m.Put(Members{Nodes: []Node{{Node: nodes[1-i], Zone: "z", State: NodeAlive}}})
	}
	mergers[0].Put(Table{At: clk.Now(), Groups: []TableGroup{{Group: group, Version: 1}}, Complete: true, Zone: "z"})
	mergers[0].Put(Probed{VM: "a", Sent: clk.Now(), Answered: true, State: inGroup(&group, &group.Members[0])})
	for i := range nodes {
		go func() { done <- mergers[i].Run(ctx) }()
		go func() { done <- gossips[i].Run(ctx) }()
	}
	for deadline := time.Now().Add(30 * time.Second); ; {
		s := mergers[1].Snapshot()
		if len(s.Groups) == 1 && s.Groups[0].Whole && s.Groups[0].FreshUntil != 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("the other node did not see the group as whole within 30 s: %+v", s.Groups)
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	for range 4 {
		is.NoErr(<-done)
	}
}
