package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/request"
	"chervilloom/internal/view"
)

var zoneNames = []fleet.AvailabilityZone{"z1", "z2", "z3"}

func drawGroup(t *rapid.T, i int) view.Group {
	g := group(fmt.Sprintf("g%d", i), rapid.SampledFrom(zoneNames).Draw(t, "zone"), rapid.IntRange(0, 20).Draw(t, "load"))
	g.Whole = rapid.IntRange(0, 3).Draw(t, "whole") > 0
	g.Phase = rapid.SampledFrom([]fleet.Phase{fleet.PhaseServing, fleet.PhaseServing, fleet.PhaseForming, fleet.PhaseDraining}).Draw(t, "phase")
	g.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	g.Load.Slots = rapid.IntRange(0, 9).Draw(t, "slots")
	if rapid.Bool().Draw(t, "stale") {
		g.FreshUntil = start - clock.Instant(rapid.Int64Range(0, 30).Draw(t, "by"))*second
	}
	g.LoadAt = start - clock.Instant(rapid.Int64Range(-1, 20).Draw(t, "age"))*second
	return g
}

func drawVM(t *rapid.T, i int) view.VM {
	v := service(fmt.Sprintf("s%d", i), rapid.SampledFrom(zoneNames).Draw(t, "zone"), rapid.IntRange(0, 20).Draw(t, "load"))
	v.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
	if rapid.IntRange(0, 3).Draw(t, "failing") == 0 {
		v.Probe.FailingSince = start
	}
	v.Probe.AnsweredAt = start - clock.Instant(rapid.Int64Range(0, 3).Draw(t, "age"))*second
	return v
}

func drawSnapshot(t *rapid.T) *view.Snapshot {
	s := snapshot(rapid.SampledFrom(policyNames[:]).Draw(t, "policy"))
	for i := range rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "groups") {
		s.Groups = append(s.Groups, drawGroup(t, i))
	}
	for i := range rapid.SampledFrom([]int{0, 1, 5, 40}).Draw(t, "endpoints") {
		s.VMs = append(s.VMs, drawVM(t, i))
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "nodes") {
		n := node(fmt.Sprintf("n%d", i), rapid.SampledFrom(zoneNames).Draw(t, "zone"))
		n.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
		n.State = rapid.SampledFrom([]view.NodeState{view.NodeAlive, view.NodeAlive, view.NodeSuspect, view.NodeDead}).Draw(t, "state")
		s.Nodes = append(s.Nodes, n)
	}
	return s
}

func drawRequest(t *rapid.T) *request.Request {
	if rapid.Bool().Draw(t, "lookup") {
		return lookupRequest()
	}
	req := modelRequest(fleet.Target{Model: "m", Version: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version")})
	req.Hops = rapid.IntRange(0, 1).Draw(t, "hops")
	req.Prefix = rapid.SliceOfN(rapid.Uint64(), 0, 6).Draw(t, "prefix")
	req.PromptTokens = 100 * len(req.Prefix)
	return req
}

// choiceRules states which destinations may be chosen, without using an index.
type choiceRules struct {
	s     *view.Snapshot
	req   *request.Request
	tried []TriedDestination
	now   clock.Instant
}

func (r *choiceRules) group(g *view.Group) bool {
	return g.Zone == r.s.Zone && g.Whole && g.Phase == fleet.PhaseServing && r.now.Before(g.FreshUntil) &&
		g.Carries(r.req.Target, "v1") && !slices.Contains(r.tried, TriedDestination{Group: g.ID})
}

func (r *choiceRules) endpoint(v *view.VM) bool {
	return v.Record.Zone == r.s.Zone && !v.Leaving && v.Record.Service == r.req.Service &&
		v.Probe.Fresh(r.now, defaultProbeFresh) && !slices.Contains(r.tried, TriedDestination{VM: v.Record.VM})
}

func (r *choiceRules) node(n *view.Node) bool {
	return r.req.Hops == 0 && n.Zone != r.s.Zone && n.State == view.NodeAlive && !n.Draining &&
		!slices.Contains(r.tried, TriedDestination{Node: n.VM}) && r.zoneCarries(n.Zone)
}

func (r *choiceRules) zoneCarries(zone fleet.AvailabilityZone) bool {
	until := func(at clock.Instant) bool { return r.now.Before(at.Add(remoteGrace)) }
	if r.req.Class == request.ClassModel {
		return slices.ContainsFunc(r.s.Groups, func(g view.Group) bool {
			return g.Zone == zone && g.Whole && g.Phase == fleet.PhaseServing && until(g.FreshUntil) && g.Carries(r.req.Target, "v1")
		})
	}
	return slices.ContainsFunc(r.s.VMs, func(v view.VM) bool {
		return v.Record.Zone == zone && !v.Leaving && v.Probe.FailingSince == 0 && until(v.Probe.AnsweredAt.Add(defaultProbeFresh+1))
	})
}

func (r *choiceRules) allows(ch Choice) bool {
	switch ch.Kind {
	case ToGroup:
		return ch.VM == nil && ch.Node == "" && r.req.Class == request.ClassModel && r.group(ch.Group)
	case ToEndpoint:
		return ch.Group == nil && ch.Node == "" && r.req.Class != request.ClassModel && r.endpoint(ch.VM)
	default:
		i := slices.IndexFunc(r.s.Nodes, func(n view.Node) bool { return n.VM == ch.Node })
		return ch.Group == nil && ch.VM == nil && i >= 0 && r.node(&r.s.Nodes[i])
	}
}

func (r *choiceRules) allowsAny() bool {
	local := slices.ContainsFunc(r.s.VMs, func(v view.VM) bool { return r.endpoint(&v) })
	if r.req.Class == request.ClassModel {
		local = slices.ContainsFunc(r.s.Groups, func(g view.Group) bool { return r.group(&g) })
	}
	return local || slices.ContainsFunc(r.s.Nodes, func(n view.Node) bool { return r.node(&n) })
}

// Every choice must satisfy the rules, and no request may be refused while the
// rules allow a destination. This includes the fourth attempt of a request and
// nodes that have requests in flight.
func TestChoicesFollowTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := drawSnapshot(t), clock.NewManual(start)
		r := router(now)
		for range rapid.IntRange(0, 10).Draw(t, "before") {
			if ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, start, nil); err == nil {
				r.Begin(ch)
			}
		}
		check := choiceRules{s: s, req: drawRequest(t), now: start}
		for range 4 {
			ch, err := r.Pick(check.req, s, start, check.tried)
			if err != nil {
				if check.allowsAny() {
					t.Fatalf("refused (%v) although a destination is allowed", err)
				}
				if err.RetryAfter <= 0 {
					t.Fatal("refusal without a retry delay")
				}
				return
			}
			if !check.allows(ch) {
				t.Fatalf("choice %v %+v is not allowed", ch.Kind, ch)
			}
			check.tried = append(check.tried, triedOf(ch))
		}
	})
}

func triedOf(ch Choice) TriedDestination {
	switch ch.Kind {
	case ToGroup:
		return TriedDestination{Group: ch.Group.ID}
	case ToEndpoint:
		return TriedDestination{VM: ch.VM.Record.VM}
	default:
		return TriedDestination{Node: ch.Node}
	}
}

// Counters must never drop below zero for any order of begins, ends, ends without
// a begin, and restarts of a group.
func TestInFlightIsNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.NewManual(start)
		r := router(now)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var open []Choice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now.Advance(time.Duration(rng.Int64N(int64(time.Second))))
			s := fleetOf(3, 0, 0)
			s.At = now.Now()
			s.Groups[0].Members[0].Boot = fleet.BootID(fmt.Sprint(rng.IntN(3)))
			ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, start, nil)
			if err != nil {
				t.Fatal(err)
			}
			switch rng.IntN(5) {
			case 0:
				r.End(ch, Result{Failed: true})
			case 1, 2:
				r.Begin(ch)
				open = append(open, ch)
			default:
				if len(open) > 0 {
					r.End(open[0], Result{OK: true, FirstByte: 1, Total: 2, Tokens: rng.IntN(3)})
					open = open[1:]
				}
			}
			for _, st := range r.counters.states {
				if st.inflight < 0 {
					t.Fatal("negative number of requests in flight")
				}
			}
		}
	})
}

// After a network partition most of a large zone is stale. If a random sample finds
// no eligible entry, the whole pool must be searched; otherwise the node refuses
// callers although one group could serve them.
func TestLargePoolIsSearchedCompletely(t *testing.T) {
	is := is.New(t)
	s := fleetOf(60, 60, 0)
	for i := range 59 {
		s.Groups[i].FreshUntil = start
		s.VMs[i].Probe.FailingSince = start - 1
	}
	s.VMs[58].Probe.FailingSince = 0
	s.VMs[58].Probe.AnsweredAt = start - 5*second
	r := router(clock.NewManual(start))
	for range 50 {
		ch, err := r.Pick(modelRequest(fleet.Target{Model: "m"}), s, start, nil)
		is.True(err == nil)
		is.Equal(ch.Group.ID, s.Groups[59].ID)
		ch, err = r.Pick(lookupRequest(), s, start, nil)
		is.True(err == nil)
		is.Equal(ch.VM.Record.VM, s.VMs[59].Record.VM)
	}
}
