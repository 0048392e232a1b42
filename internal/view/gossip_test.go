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

// A node that starts while the platform is down refuses every request: it knows
// no endpoint. It asks its peers for the list of VMs, one after the other, until
// one answers; what they tell of the endpoints then has a place.
func TestListIsLearnedFromPeers(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	links, mergers := pair(clk)
	counter := fleet.Record{VM: "s", Kind: fleet.KindService, Addr: "s:1", Service: "counter", Zone: "z", State: fleet.StateLive}
	mergers[1].state.Apply(List{At: at(0), Records: []fleet.Record{counter}})
	mergers[1].state.Apply(answer("s", "b1", 10))
	stepPair(clk, links, mergers, 10)
	got := mergers[0].Snapshot()
	is.Equal(len(got.VMs), 1)
	is.Equal(got.VMs[0].Record, counter)
	is.True(got.VMs[0].Listed)
	is.Equal(got.VMs[0].Probe.Answered, at(10))
	is.Equal(got.PlatformSeen, clock.Instant(0)) // not by this node
	mergers[0].state.Apply(List{At: clk.Now()})  // its own read counts from then on
	is.True(!mergers[0].state.Apply(toldList{list: List{At: clk.Now().Add(1), Records: []fleet.Record{counter}}}))
}

// A group stays unused for half a minute. The message that told of it was lost;
// the peer goes on saying that it is unchanged. The hearer asks for everything.
func TestLostTellingIsAskedFor(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	links, mergers := pair(clk)
	mergers[1].state.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	mergers[0].state.Apply(List{At: at(0), Records: nil})
	group2(mergers[1].state)
	links[1].lose = 2 // the greeting and the first regular digest
	stepPair(clk, links, mergers, 15)
	got := mergers[0].Snapshot().Groups
	is.Equal(len(got), 1)
	is.True(got[0].Whole)
}

// outbox keeps what was sent.
type outbox struct{ sent []string }

func (o *outbox) Send(to fleet.VM, topic string, payload []byte) error {
	o.sent = append(o.sent, fmt.Sprintf("%s %s", to, topic))
	return nil
}

func TestGossipGreetsNewPeersAndKeepsToTheTopics(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	m := NewMerger(fleet.Node{VM: "n1", Incarnation: 1}, "z", clk)
	out := &outbox{}
	g := NewGossip(GossipOptions{
		View: m, Clock: clk, Send: out, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		First: func(_ string, nodes []fleet.VM, k int) []fleet.VM { return slices.Sorted(slices.Values(nodes))[:k] },
	})
	group2(m.state)
	m.state.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive), record("b", fleet.StateLive)}})
	nodes := []Node{
		{Node: fleet.Node{VM: "n2", Incarnation: 1}, Zone: "z", State: NodeAlive},
		{Node: fleet.Node{VM: "y1", Incarnation: 1}, Zone: "y", State: NodeAlive},
		{Node: fleet.Node{VM: "y2", Incarnation: 1}, Zone: "y", State: NodeDead},
	}
	m.state.Apply(Members{Nodes: nodes})
	g.tell(m.state.Snapshot(at(100)), at(100))
	is.Equal(out.sent, []string{"n2 view.zone", "y1 view.remote", "n2 view.zone", "y1 view.remote"})
	out.sent = nil
	g.tell(m.state.Snapshot(at(200)), at(200))
	is.Equal(len(out.sent), 0)
	nodes[0].Incarnation = 2 // restarted: it knows nothing
	m.state.Apply(Members{Nodes: nodes})
	g.tell(m.state.Snapshot(at(300)), at(300))
	is.Equal(out.sent, []string{"n2 view.zone"})
}

// An endpoint is probed by a node that tells nobody, and the others find its
// group stale. Who watches must be the same question for probing and telling: a
// suspected or draining node is told like the others but watches nothing.
func TestTellingFollowsWatching(t *testing.T) {
	is := is.New(t)
	clk := clock.NewManual(t0)
	m := NewMerger(fleet.Node{VM: "n9", Incarnation: 1}, "z", clk)
	out := &outbox{}
	g := NewGossip(GossipOptions{
		View: m, Clock: clk, Send: out, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(), Watchers: 1,
		First: func(_ string, nodes []fleet.VM, k int) []fleet.VM { return slices.Sorted(slices.Values(nodes))[:k] },
	})
	m.state.Apply(List{At: at(0), Records: []fleet.Record{record("a", fleet.StateLive)}})
	m.state.Apply(answer("a", "b1", 10))
	m.state.Apply(Members{Nodes: []Node{
		{Node: fleet.Node{VM: "n1"}, Zone: "z", State: NodeSuspect},
		{Node: fleet.Node{VM: "n2"}, Zone: "z", State: NodeAlive, Draining: true},
	}})
	g.tell(m.state.Snapshot(at(100)), at(100))
	is.True(slices.Contains(out.sent, "n1 view.zone"))
	is.True(slices.Contains(out.sent, "n2 view.zone"))
}

// pair is two nodes in zones y and z that are stepped by hand.
func pair(clk *clock.Manual) ([]*mesh, []*Merger) {
	nodes := []fleet.Node{{VM: "n1", Incarnation: 1}, {VM: "n2", Incarnation: 1}}
	zones := []fleet.AvailabilityZone{"y", "z"}
	links := []*mesh{{from: nodes[0]}, {from: nodes[1]}}
	var mergers []*Merger
	for i, self := range nodes {
		m := NewMerger(self, zones[i], clk)
		links[1-i].to = NewGossip(GossipOptions{
			View: m, Clock: clk, Send: links[i], Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
			First: func(_ string, nodes []fleet.VM, k int) []fleet.VM { return nodes[:min(k, len(nodes))] },
		})
		m.state.Apply(Members{Nodes: []Node{{Node: nodes[1-i], Zone: zones[1-i], State: NodeAlive}}})
		mergers = append(mergers, m)
	}
	return links, mergers
}

// stepPair lets both nodes merge and tell, n times, 100 ms apart.
func stepPair(clk *clock.Manual, links []*mesh, mergers []*Merger, n int) {
	for range n {
		clk.Advance(100 * time.Millisecond)
		for i, m := range mergers {
			m.merge()
			m.publish()
			links[1-i].to.tell(m.Snapshot(), clk.Now())
		}
	}
}

// mesh hands what is sent to the gossip of the addressee.
type mesh struct {
	from fleet.Node
	to   *Gossip
	lose int // that many messages are lost
}

func (m *mesh) Send(_ fleet.VM, topic string, payload []byte) error {
	if m.lose > 0 {
		m.lose--
		return nil
	}
	if topic == TopicZone {
		m.to.HandleZone(m.from, payload)
	} else {
		m.to.HandleRemote(m.from, payload)
	}
	return nil
}

// One node probes; the other, which probes nothing, sees the group whole.
func TestGossipBetweenTwoNodes(t *testing.T) {
	is := is.New(t)
	nodes := []fleet.Node{{VM: "n1", Incarnation: 1}, {VM: "n2", Incarnation: 1}}
	var mergers []*Merger
	var gossips []*Gossip
	links := []*mesh{{from: nodes[0]}, {from: nodes[1]}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 4)
	clk := clock.Boot{}
	for i, self := range nodes {
		m := NewMerger(self, "z", clk)
		g := NewGossip(GossipOptions{
			View: m, Clock: clk, Send: links[i], Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
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
			t.Fatalf("the other node never saw the group: %+v", s.Groups)
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	for range 4 {
		is.NoErr(<-done)
	}
}
