package admit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/config"
	"chervilloom/internal/fleet"
	"chervilloom/internal/view"
)

// benchPlan returns a plan with the given number of organisations and one pool.
func benchPlan(orgs, slots int) (*Plan, []fleet.Organisation) {
	p := &Plan{
		QueueLimit: defaultQueueLimit,
		Pools:      []Pool{{Name: "p", ShareSlots: float64(slots), TotalSlots: float64(slots)}},
		Services:   []Pool{{Name: "p", ShareSlots: float64(slots), TotalSlots: float64(slots)}},
		Targets:    []TargetPool{{Target: simTarget}},
	}
	names := make([]fleet.Organisation, orgs)
	for i := range names {
		names[i] = fleet.Organisation(fmt.Sprintf("organisation-%03d", i))
		p.Organisations = append(p.Organisations, Organisation{Name: names[i], Weight: 1, Rate: 1e9, Lookups: 1e9})
	}
	return p, names
}

var benchSizes = []int{10, 50, 200}

// BenchmarkLookup measures the admission and the end of a lookup.
func BenchmarkLookup(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			core := NewLookups()
			benchAdmit(b, core, n)
		})
	}
}

// BenchmarkModelRoom measures the admission and the end of a model call that finds
// a free slot.
func BenchmarkModelRoom(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			core := NewModels()
			benchAdmit(b, core, n)
		})
	}
}

func benchAdmit(b *testing.B, core stateMachine, orgs int) {
	plan, names := benchPlan(orgs, 64)
	out := core.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	b.ReportAllocs()
	now, i := simStart, 0
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a := Event{Kind: Arrive, Arrival: Arrival{Organisation: names[i%orgs], Target: simTarget, Service: "p", MaxTokens: 100, Deadline: now.Add(time.Second)}}
		out = core.Step(now, &a, out[:0])
		out = core.Step(now, &Event{Kind: Finish, Completion: Completion{Total: time.Millisecond, FirstToken: time.Millisecond, Answered: true}}, out[:0])
		i++
	}
}

// BenchmarkModelQueue measures a model call under load: it is queued, and the next
// queued one is admitted when a request ends.
func BenchmarkModelQueue(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) { benchQueue(b, n, 128) })
	}
}

func benchQueue(b *testing.B, orgs, depth int) {
	plan, names := benchPlan(orgs, 1)
	core := NewModels()
	out := core.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	now, i := simStart, 0
	arrive := func(h Handle) {
		a := Event{Kind: Arrive, Handle: h, Arrival: Arrival{Organisation: names[i%orgs], Target: simTarget, MaxTokens: 100, Deadline: now.Add(time.Hour)}}
		out = core.Step(now, &a, out[:0])
		i++
	}
	arrive(0)
	running, free := Handle(0), Handle(depth+1)
	for h := range depth {
		arrive(Handle(h + 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		arrive(free)
		free = running
		out = core.Step(now, &Event{Kind: Finish, Handle: running, Completion: Completion{Total: time.Millisecond, FirstToken: time.Millisecond, Answered: true}}, out[:0])
		running = out[0].Handle
	}
}

// BenchmarkModelFull measures the refusal of a model call because the queue is
// full, including the search for the organisation that is most over its share.
func BenchmarkModelFull(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint("organisations=", n), func(b *testing.B) {
			plan, names := benchPlan(n, 1)
			core := NewModels()
			out := core.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
			a := Event{Kind: Arrive, Arrival: Arrival{Target: simTarget, MaxTokens: 100}}
			for h := range defaultQueueLimit + 1 {
				a.Handle, a.Arrival.Organisation = Handle(h), names[h%n]
				out = core.Step(simStart, &a, out[:0])
			}
			b.ReportAllocs()
			a.Handle++
			for i := 0; b.Loop(); i++ {
				a.Arrival.Organisation = names[i%n]
				out = core.Step(simStart, &a, out[:0])
				if out[0].Verdict != Refuse {
					b.Fatal("request with a full queue was not refused")
				}
				a.Handle = out[0].Handle
			}
		})
	}
}

// BenchmarkSweep measures a sweep of a full queue of 256.
func BenchmarkSweep(b *testing.B) {
	plan, names := benchPlan(10, 1)
	core := NewModels()
	out := core.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	for h := range defaultQueueLimit {
		a := Event{Kind: Arrive, Handle: Handle(h), Arrival: Arrival{Organisation: names[h%10], Target: simTarget, MaxTokens: 100, Deadline: simStart.Add(time.Hour)}}
		out = core.Step(simStart, &a, out[:0])
	}
	b.ReportAllocs()
	for b.Loop() {
		out = core.Step(simStart, &Event{Kind: Tick}, out[:0])
	}
}

// BenchmarkLane measures a decision including the exchange with the lane's
// goroutine.
func BenchmarkLane(b *testing.B) {
	plan, names := benchPlan(10, 1024)
	core := NewLookups()
	core.Step(simStart, &Event{Kind: Replan, Plan: plan}, nil)
	l := newLane("lookup", core, clock.NewManual(simStart))
	ctx, cancel := context.WithCancel(context.Background())
	go l.run(ctx)
	b.Cleanup(func() { cancel(); <-l.stopped })
	a := Arrival{Organisation: names[0], Service: "p"}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c, _ := l.decide(ctx, &a, nil)
			l.send(message{event: Event{Kind: Finish, Completion: Completion{Total: time.Millisecond, Answered: true}}, call: c})
		}
	})
}

// BenchmarkPlan measures the computation of the limits for two sizes: a current
// installation, and a fleet of 600 VMs (120 groups and 120 service VMs) and 370
// nodes with 200 organisations and 20 models of 3 versions and 5 adapters.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name                                  string
		orgs, models, groups, services, nodes int
	}{
		{"today", 10, 2, 12, 3, 5},
		{"large", 200, 20, 120, 120, 369},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := planSnapshot(c.orgs, c.models, c.groups, c.services, c.nodes)
			b.ReportAllocs()
			for b.Loop() {
				ComputePlan(s, fullCaps{}.Shares)
			}
		})
	}
}

func planSnapshot(orgs, models, groups, services, nodes int) *view.Snapshot {
	s := &view.Snapshot{Zone: "a", Revision: 1, Config: &config.Document{Services: []config.Service{{Name: "fees"}}}}
	for i := range orgs {
		s.Config.Organisations = append(s.Config.Organisations, config.Organisation{Name: fmt.Sprint("organisation-", i), Weight: 1})
	}
	versions, adapters := []string{"1", "2", "3"}, []string{"v", "w", "x", "y", "z"}
	for i := range models {
		m := config.Model{Name: fmt.Sprint("m", i), Current: "1", Versions: versions, Adapters: adapters}
		s.Config.Models = append(s.Config.Models, m)
		s.Config.Groups = append(s.Config.Groups, config.GroupSpec{Name: fmt.Sprint("g", i), Model: m.Name, ModelVer: "1", Adapters: adapters})
	}
	for i := range groups {
		g := fleet.Group{ID: fleet.GroupID(fmt.Sprint("g", i)), Zone: "a", Model: fmt.Sprint("m", i%models), Version: "1", Adapters: adapters}
		s.Groups = append(s.Groups, view.Group{Group: g, Whole: true, Load: fleet.Load{Slots: 16}})
	}
	for i := range services {
		r := fleet.Record{VM: fleet.VM(fmt.Sprint("s", i)), Kind: fleet.KindService, Service: "fees", Zone: "a"}
		s.VMs = append(s.VMs, view.VM{Record: r, Load: fleet.Load{Slots: 64}})
	}
	for i := range nodes {
		n := fleet.Node{VM: fleet.VM(fmt.Sprint("n", i)), Incarnation: 1}
		s.Nodes = append(s.Nodes, view.Node{Node: n, Zone: "a", State: view.NodeAlive})
	}
	return s
}

// BenchmarkReplan measures the update of a lane with the limits of 200
// organisations.
func BenchmarkReplan(b *testing.B) {
	plan, _ := benchPlan(200, 64)
	core := NewModels()
	var out []Decision
	b.ReportAllocs()
	for b.Loop() {
		out = core.Step(simStart, &Event{Kind: Replan, Plan: plan}, out[:0])
	}
}
