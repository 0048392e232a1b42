package formation

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/demand"
	"chervilloom/internal/roster"
)

// startedZone returns a zone of two domains of nine engines, with serving groups and
// ready spares, as before the first request.
func startedZone() *simZone {
	w := newSimZone()
	w.loadsAreFree = true
	w.add("d0", 9)
	w.add("d1", 9)
	w.run(10 * time.Second)
	w.loadsAreFree = false
	w.loads = nil
	return w
}

func TestStartFormsBothModelsInEachDomain(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	is.Equal(len(w.serving("big")), 2)
	is.Equal(len(w.serving("small")), 2)
	for _, e := range w.sorted() {
		is.True(e.staged != "")       // an empty host needs a load after a loss
		is.True(e.staged != e.model)  // the host's copy is of the other model
		is.True(e.group != "")        // spares are in standby groups
		is.True(e.state != "joining") // no join is pending
	}
}

// A member of a group dies and its streams stall. The head leaves, and the survivors and
// a ready spare form a new group without a load. The repair takes two probes to detect
// the loss, a hot join and the opening; a load from the weight store would take 16 s.
func TestLossIsRepairedWithoutALoad(t *testing.T) {
	for _, rank := range []int{0, 1, 3} {
		is := is.New(t)
		w := startedZone()
		head := w.serving("big")[0]
		w.engines[head.members[rank]].dead = true
		w.run(2500 * time.Millisecond)
		is.Equal(len(w.serving("big")), 2)
		is.Equal(w.violation, "")
	}
}

// Two members of one group die at once, and only one spare is ready for its model. The
// other spare's host has the model staged, so the group re-forms within the time of a
// join from the host.
func TestTwoLossesUseBothSpares(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	w.engines[head.members[1]].dead = true
	w.engines[head.members[2]].dead = true
	w.run(4 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(len(w.serving("small")), 2)
	is.Equal(w.violation, "")
}

// Three of four members die, and the domain's survivor and spares are too few for the
// larger model. They form groups of the smaller model, or members of the smaller model's
// group complete one of the larger. In both cases no engine waits for a load, and both
// models end with the groups that their shares call for.
func TestThreeLossesUseTheSecondModel(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	for _, m := range head.members[1:] {
		w.engines[m].dead = true
	}
	w.run(8 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(len(w.serving("small")), 2)
	is.Equal(w.violation, "")
}

// Guards against conversions back and forth in a balanced zone.
func TestBalancedZoneIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	before := w.ledger
	w.run(20 * time.Second)
	is.Equal(w.ledger, before)
}

// The head of a group is partitioned from the planning node but alive and open. Its
// members leave and serve in another group; the head is stalled without them. When the
// partition heals, the head must not be opened for a group that has lost its members.
func TestMembersOfUnreachableHeadServeElsewhere(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	head.partitioned = true
	w.run(3 * time.Second)
	is.Equal(len(w.serving("big")), 3) // the partitioned head still reports Open
	head.partitioned = false
	w.run(3 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.violation, "")
}

// A head and one member are partitioned together. The other members leave and are reused.
// The unreachable member has not left: it must not join another group while its head is
// open, even under a new owner that knows only the claims.
func TestUnreachableMemberStaysClaimed(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	member := w.engines[head.members[1]]
	head.partitioned, member.partitioned = true, true
	w.run(3 * time.Second)
	w.takeOver()
	member.partitioned = false
	w.run(3 * time.Second)
	is.Equal(w.violation, "")
	is.True(member.group != head.group) // it has left by now
}

// The owner dies after members of a group with an unreachable head have left. The head
// returns and reports that it is ready. Its claim lists three members, all ready; the
// next owner must not open it, because one member is in another group.
func TestEndingGroupIsNeverOpenedByTheNextOwner(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	far := w.engines[head.members[3]]
	head.partitioned, far.partitioned = true, true
	w.run(3 * time.Second)
	head.state = roster.Ready
	w.takeOver()
	head.partitioned, far.partitioned = false, false
	w.run(5 * time.Second)
	is.Equal(w.violation, "")
}

// The response to a join is lost, and the join is executed eight seconds later, after its
// engine has left a group with an unreachable head. The engine must refuse it: otherwise
// it is back in a group that may be open when its next join arrives.
func TestLateJoinAfterLeavingIsVoid(t *testing.T) {
	is := is.New(t)
	w := newSimZone()
	w.loadsAreFree = true
	w.add("d0", 4)
	joins := map[roster.ID]Order{}
	for len(w.serving("big")) == 0 {
		for _, o := range w.plan().Orders {
			if o.Op == Join {
				joins[o.To] = o
			}
		}
		w.advance(100 * time.Millisecond)
	}
	head := w.serving("big")[0]
	member := w.engines[head.members[1]]
	head.partitioned = true
	w.run(time.Second)
	is.True(member.group != head.group)
	is.Equal(w.execute(joins[member.id]), Conflict)
}

// An owner starts with a wrong order count, for example from a report older than an order
// of the previous owner. Joins fail until the next reports contain the right count;
// failed joins must not keep the wrong count alive, or the engine is excluded
// permanently.
func TestWrongOrderCountIsCorrected(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	w.engines[head.members[1]].dead = true
	for _, e := range w.sorted() {
		w.engineStates[e.id].Report.OrderCount += 5
		w.engineStates[e.id].OrderCountUntil = w.now.Add(reportLag)
	}
	w.run(4 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.violation, "")
}

// The response to a join is lost, the report shows the engine joining, and the join is
// repeated. The engine continues the join in progress, so its count stays the same. If
// the known count were one higher, a delayed join could be executed after the engine has
// left the group, and return it.
func TestRepeatedJoinIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := &EngineState{ID: "e", Report: Report{OrderCount: 5}}
	join := Order{To: "e", Op: Join, Group: "g", Epoch: 7, Members: []roster.ID{"e", "o"}}
	f.applyOrderResult(join, Lost, 1)
	f.applyReport(Report{OrderCount: 6, Member: roster.Membership{Group: "g", Epoch: 7, State: roster.Joining}}, 2)
	f.applyOrderResult(join, Begun, 3)
	is.Equal(f.Report.OrderCount, uint64(6))
}

// The owner opens a group, the order is delayed, and the owner dissolves the group after
// a loss: its head leaves. The next owner finds the claim and a head outside the group.
// It must not order the head to join again: the delayed open order would then take effect
// while the members are in other groups.
func TestNewOwnerDoesNotRejoinPreviousOwnersGroup(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	group, epoch := head.group, head.epoch
	is.Equal(w.execute(Order{To: head.id, Op: Leave, Group: group, Epoch: epoch}), Done)
	w.takeOver()
	for range 30 {
		for _, o := range w.plan().Orders {
			is.True(o.Op != Join || o.Group != group)
		}
		w.advance(100 * time.Millisecond)
	}
	is.Equal(w.execute(Order{To: head.id, Op: Open, Group: group, Epoch: epoch}), Conflict)
	is.Equal(len(w.serving("big")), 2) // in a group of another name
}

// The owner opens a group and dies while a member starts draining. The next owner's first
// reports still show the head outside the group, from before the join. If they were taken
// as current, the members would be released while the head opens, and would join another
// group while their head is open.
func TestNewOwnerIgnoresReportsFromBeforeItsTenure(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	w.engines[w.serving("big")[0].members[1]].dead = true
	opened := roster.ID("")
	for opened == "" {
		for _, o := range w.plan().Orders {
			if o.Op == Open {
				opened = o.To
			}
		}
		w.advance(20 * time.Millisecond)
	}
	w.takeOver()
	head := w.engines[opened]
	w.engines[head.members[2]].draining = true
	head.reportHistory = []reportedState{{from: w.now, rep: Report{Model: head.model, Domain: head.domain}}}
	w.run(3 * time.Second)
	is.Equal(w.violation, "")
}

// An engine leaves the fleet in order and a spare is ready: the group re-forms within
// half a second, and its streams continue there.
func TestLeavingMemberIsReplacedBySpare(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("small")[0]
	leaver := w.engines[head.members[1]]
	leaver.draining = true
	w.run(1500 * time.Millisecond)
	is.Equal(len(w.serving("small")), 2)
	is.True(leaver.state != roster.Open)
	is.Equal(w.violation, "")
}

// An engine leaves in order and no replacement exists: the group's requests complete
// before it is dissolved.
func TestLeavingMemberWithoutSpareLetsRequestsEnd(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("small")[0]
	for _, e := range w.sorted() {
		if isStandby(roster.Membership{Group: e.group, State: e.state}) {
			e.dead = true
		}
	}
	w.run(time.Second)
	w.engines[head.members[1]].draining = true
	out := w.plan()
	is.Equal(out.Orders[0].Op, Close)
	is.Equal(out.Orders[0].Mode, Finish)
}

// Requests need four times as much work from the smaller model's groups as from the
// larger one's: a zone with one group too many of the larger model converts it.
func TestDemandShiftConvertsGroups(t *testing.T) {
	is := is.New(t)
	w := newSimZone()
	w.loadsAreFree = true
	for _, domain := range []string{"d0", "d1", "d2"} {
		w.add(domain, 9)
	}
	w.run(10 * time.Second)
	w.loadsAreFree = false
	is.Equal(len(w.serving("big")), 3)
	is.Equal(len(w.serving("small")), 3)
	w.demand = demand.Demand{Requests: 400, Work: map[string]float64{"big": 1, "small": 4}}
	w.run(10 * time.Second)
	is.Equal(len(w.serving("big")), 2) // the larger model keeps the groups that its share calls for
	is.True(len(w.serving("small")) >= 4)
	is.Equal(w.violation, "")
	settled := w.ledger
	w.run(10 * time.Second)
	is.Equal(w.ledger, settled) // no conversions back and forth
}

// All engines of a zone are new and empty. Loads must start no faster than the zone's
// share of the weight store's rate, and no more may run concurrently than its share of
// the loads at full speed: eighteen concurrent loads would each take nine times as long,
// and no group would serve before all are complete.
func TestLoadsStayWithinRateAndConcurrencyLimits(t *testing.T) {
	is := is.New(t)
	w := newSimZone()
	w.add("d0", 9)
	w.add("d1", 9)
	for range 1200 {
		w.run(100 * time.Millisecond)
		loading := 0
		for _, e := range w.sorted() {
			// A group may form when its last load is about to complete.
			if e.staging != "" && e.stagedAt.Sub(w.now) > maxJoinWithoutLoad {
				loading++
			}
		}
		is.True(loading <= 2) // the zone's share
	}
	const perWindow = 7
	for i := range w.loads {
		n := 0
		for _, at := range w.loads[i:] {
			if at.Sub(w.loads[i]) < 5*time.Second {
				n++
			}
		}
		is.True(n <= perWindow) // loads started within five seconds
	}
	is.Equal(len(w.serving("big")), 2)
	is.True(len(w.serving("small")) >= 2)
}

// The claims of a plan can't be committed, for example because the lease is renewed at
// the same moment. The next plan starts from the old claims and must continue where the
// first one was, instead of waiting for the members again.
func TestUncommittedPlanIsRepeated(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	head.dead = true
	var before Ledger
	for {
		before = w.ledger
		if out := w.plan(); out.Changed {
			break
		}
		w.advance(100 * time.Millisecond)
	}
	w.ledger = before
	w.run(2500 * time.Millisecond)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.violation, "")
}

// A member runs at a quarter of its speed and slows down its group. A ready spare
// replaces it; the slow engine stays out of groups until it has recovered.
func TestSlowMemberIsReplacedBySpare(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	head := w.serving("big")[0]
	slow := w.engines[head.members[2]]
	slow.pace = 4
	w.run(1500 * time.Millisecond)
	is.Equal(len(w.serving("big")), 2)
	for _, h := range w.serving("big") {
		is.True(!slices.Contains(h.members, slow.id))
	}
	is.Equal(w.violation, "")
}

// All engines of a domain are slow: their groups keep serving, since late answers are
// better than none.
func TestSlowGroupsKeepServingWithoutReplacement(t *testing.T) {
	is := is.New(t)
	w := startedZone()
	for _, e := range w.sorted() {
		e.pace = 4
	}
	before := w.ledger
	w.run(3 * time.Second)
	is.Equal(w.ledger, before)
}

// Random sequences of events: engines die, are partitioned, recover, drain, restart and
// arrive; the owner changes; orders or their responses are lost, or orders are executed
// seconds later. No group may open before all of its members have been ready, and no
// engine may join another group while its own is open.
func TestGroupsStayWholeAndDisjoint(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := startedZone()
		deliveries := rapid.SampledFrom([]delivery{orderAnswered, orderAnswered, orderAnswered, orderAnswered, answerLost, orderLost, orderDelayed})
		w.delivery = func() delivery { return deliveries.Draw(t, "fate") }
		randomEngine := func() *simEngine {
			all := w.sorted()
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "engine")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan":      func(*rapid.T) { w.plan(); w.advance(50 * time.Millisecond) },
			"plan more": func(*rapid.T) { w.run(500 * time.Millisecond) },
			"pass":      func(*rapid.T) { w.advance(2 * time.Second) },
			"die":       func(*rapid.T) { randomEngine().dead = true },
			"cut":       func(*rapid.T) { randomEngine().partitioned = true },
			"heal":      func(*rapid.T) { randomEngine().partitioned = false },
			"drain":     func(*rapid.T) { randomEngine().draining = true },
			"slow":      func(*rapid.T) { randomEngine().pace = 4 },
			"arrive":    func(*rapid.T) { w.add("d1", 1) },
			"restart":   func(*rapid.T) { w.restart(randomEngine()) },
			"take over": func(*rapid.T) { w.takeOver() },
			"": func(t *rapid.T) {
				if w.violation != "" {
					t.Fatal(w.violation)
				}
			},
		})
	})
}
