package view_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/membership"
	"chervilloom/internal/view"
)

// size describes a fleet in three availability zones.
type size struct {
	name                      string
	nodes, vms, groups, perGr int
}

var sizes = []size{
	{"6nodes-50vms-6groups", 6, 50, 6, 8},
	{"60nodes-200vms-25groups", 60, 200, 25, 8},
	{"370nodes-600vms-75groups", 370, 600, 75, 8},
}

const begin = clock.Instant(time.Hour)

func zoneOf(i int) fleet.AvailabilityZone { return fleet.AvailabilityZone(fmt.Sprint("z", i%3)) }

// fleetState returns the state of a node of zone z0 that knows the whole fleet.
func fleetState(s size) *view.State {
	st := view.NewState(fleet.Node{VM: "node-000", Incarnation: 1}, "z0")
	var list []fleet.Record
	for i := range s.vms {
		list = append(list, fleet.Record{
			VM: fleet.VM(fmt.Sprintf("engine-vm-%04d", i)), Kind: fleet.KindEngine, Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Zone: zoneOf(i), Domain: fleet.FabricDomain(fmt.Sprint(zoneOf(i), "-", i/48)), Accelerators: 8, State: fleet.StateLive,
		})
	}
	st.Apply(view.List{At: begin, Records: list})
	st.Apply(view.Configured{Revision: 1, Document: &config.Document{Version: 1}})
	var nodes []view.Node
	for i := 1; i < s.nodes; i++ {
		nodes = append(nodes, view.Node{
			Node: fleet.Node{VM: fleet.VM(fmt.Sprintf("node-%03d", i)), Incarnation: 1}, Zone: zoneOf(i), State: view.NodeAlive,
		})
	}
	st.Apply(view.Members{Nodes: nodes})
	var table view.Table
	table.At = begin
	for g := range s.groups {
		group := fleet.Group{
			ID: fleet.GroupID(fmt.Sprintf("%s.chat.0badcafe-%d", zoneOf(g), g)), Spec: "chat", Generation: 1, Phase: fleet.PhaseServing,
			Zone: zoneOf(g), Model: "big-model", Version: "2026-11", Adapters: []string{"receipts", "routes"}, Reason: "0 groups, 1 wanted",
		}
		for m := range s.perGr {
			i := (g/3*s.perGr+m)*3 + g%3
			if i >= s.vms {
				break
			}
			group.Members = append(group.Members, fleet.Member{VM: list[i].VM, Boot: boot(i), Addr: list[i].Addr, Rank: m, Fence: 1})
			table.VMs = append(table.VMs, view.TableVM{VM: list[i].VM, Claim: view.Claim{Group: group.ID, Generation: 1, Fence: 1, Version: 1}})
		}
		table.Groups = append(table.Groups, view.TableGroup{Group: group, Version: 2})
	}
	st.Apply(table)
	return st
}

func boot(i int) fleet.BootID { return fleet.BootID(fmt.Sprintf("0b0074d1-0000-4000-8000-%012d", i)) }

// probeAll applies an answered probe at now for every VM of z0, with its group
// membership.
func probeAll(st *view.State, snap *view.Snapshot, now clock.Instant, rng *rand.Rand, seq uint64) {
	places := map[fleet.VM]fleet.EngineState{}
	for i := range snap.Groups {
		g := &snap.Groups[i]
		for _, m := range g.Members {
			places[m.VM] = fleet.EngineState{
				VM: m.VM, Boot: m.Boot, Fence: m.Fence, Group: g.ID, Generation: g.Generation, Rank: m.Rank,
				Model: g.Model, Version: g.Version, Adapters: g.Adapters, Loaded: true,
			}
		}
	}
	for i := range snap.VMs {
		r := &snap.VMs[i].Record
		if r.Zone != "z0" {
			continue
		}
		p, ok := places[r.VM]
		if !ok {
			p = fleet.EngineState{VM: r.VM, Boot: "idle"}
		}
		sent := now.Add(-time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
		st.Apply(view.Probed{VM: r.VM, Sent: sent, RTT: 400 * time.Microsecond, Answered: true, State: p})
		st.Apply(view.LoadReported{At: now, Load: fleet.Load{VM: r.VM, Boot: p.Boot, Sequence: seq, Running: rng.IntN(8), Waiting: rng.IntN(4), Slots: 8}})
	}
}

// seenBy implements view.Duties for one node of the zone.
type seenBy struct {
	self  fleet.VM
	nodes []fleet.VM
	memo  map[string]bool
	leads map[string]bool
}

func (d *seenBy) Watches(subject string) bool {
	w, ok := d.memo[subject]
	if !ok {
		w = slices.Contains(membership.TopK(subject, d.nodes, 2), d.self)
		d.memo[subject] = w
	}
	return w
}

func (d *seenBy) IsFirstWatcher(subject string) bool {
	w, ok := d.leads[subject]
	if !ok {
		w = membership.Owner(subject, d.nodes) == d.self
		d.leads[subject] = w
	}
	return w
}

func (d *seenBy) HoldsLease() bool { return d.self == d.nodes[0] }

// BenchmarkGossipBytes runs the digests of every node of one zone for a
// simulated minute of constantly changing probes and loads. It reports the
// bytes sent by a node, mean and maximum: the payload alone, and with 70 bytes
// a message for QUIC, UDP and IP.
func BenchmarkGossipBytes(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			for n := range b.N {
				gossipMinute(b, s, uint64(n))
			}
		})
	}
}

func gossipMinute(b *testing.B, s size, seed uint64) {
	const span, header = 60, 70
	rng := rand.New(rand.NewPCG(seed, 7))
	st := fleetState(s)
	var near []fleet.VM
	for i := 0; i < s.nodes; i += 3 {
		near = append(near, fleet.VM(fmt.Sprintf("node-%03d", i)))
	}
	far := s.nodes - len(near)
	type zoneNode struct {
		zone, remote *view.DigestProducer
		duties       *seenBy
		bytes, wire  int
	}
	var all []*zoneNode
	for _, vm := range near {
		all = append(all, &zoneNode{zone: view.NewDigestProducer(false, begin), remote: view.NewDigestProducer(true, begin), duties: &seenBy{vm, near, map[string]bool{}, map[string]bool{}}})
	}
	var seq uint64
	for ms := 0; ms < span*1000; ms += 100 {
		now := begin.Add(time.Duration(ms) * time.Millisecond)
		if ms%300 == 0 {
			seq++
			probeAll(st, st.Snapshot(now), now, rng, seq)
		}
		snap := st.Snapshot(now)
		for _, t := range all {
			for _, m := range t.zone.Next(snap, t.duties, now, view.ZoneInterval(len(near)-1)) {
				t.bytes += len(m) * (len(near) - 1)
				t.wire += (len(m) + header) * (len(near) - 1)
			}
			for _, m := range t.remote.Next(snap, t.duties, now, view.RemoteInterval(far)) {
				t.bytes += len(m) * far
				t.wire += (len(m) + header) * far
			}
		}
	}
	sum, wire, most := 0, 0, 0
	for _, t := range all {
		sum += t.bytes
		wire += t.wire
		most = max(most, t.wire)
	}
	b.ReportMetric(float64(sum)/float64(len(all))/span, "payloadB/s/node")
	b.ReportMetric(float64(wire)/float64(len(all))/span, "wireB/s/node")
	b.ReportMetric(float64(most)/span, "busiestB/s")
}

// BenchmarkSnapshot measures a snapshot of the whole fleet.
func BenchmarkSnapshot(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			st := fleetState(s)
			probeAll(st, st.Snapshot(begin), begin.Add(1), rand.New(rand.NewPCG(1, 1)), 1)
			b.ReportAllocs()
			for b.Loop() {
				st.Snapshot(begin.Add(time.Second))
			}
		})
	}
}

// BenchmarkApplyProbe measures merging one answered probe.
func BenchmarkApplyProbe(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			st := fleetState(s)
			snap := st.Snapshot(begin)
			probeAll(st, snap, begin.Add(1), rand.New(rand.NewPCG(1, 1)), 1)
			snap = st.Snapshot(begin)
			e := view.Probed{VM: snap.VMs[0].Record.VM, Answered: true, State: snap.VMs[0].Probe.State}
			i := clock.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				i++
				e.Sent = begin.Add(time.Second) + i
				st.Apply(e)
			}
		})
	}
}
