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

// started returns a zone of two domains of nine whose groups serve and whose
// spares are ready, as before the first request.
func started() *world {
	w := newWorld()
	w.free = true
	w.add("d0", 9)
	w.add("d1", 9)
	w.run(10 * time.Second)
	w.free = false
	w.loads = nil
	return w
}

func TestStartFormsBothModelsInEachDomain(t *testing.T) {
	is := is.New(t)
	w := started()
	is.Equal(len(w.serving("big")), 2)
	is.Equal(len(w.serving("small")), 2)
	for _, e := range w.sorted() {
		is.True(e.staged != "")       // a host that holds nothing needs a load after a loss
		is.True(e.staged != e.model)  // the place on the host is for the other model
		is.True(e.group != "")        // spares stand by in a group of their own
		is.True(e.state != "joining") // nothing is left to do
	}
}

// A member of a group dies: its streams stand still. The head leaves, and the
// survivors and a spare that stands by form a new group without a load. Repair
// takes two reports to notice, a hot join and the opening; a cold load would
// take sixteen seconds.
func TestLossIsRepairedWithoutALoad(t *testing.T) {
	for _, rank := range []int{0, 1, 3} {
		is := is.New(t)
		w := started()
		head := w.serving("big")[0]
		w.engines[head.members[rank]].dead = true
		w.run(2500 * time.Millisecond)
		is.Equal(len(w.serving("big")), 2)
		is.Equal(w.broken, "")
	}
}

// Two members of one group die at once and only one spare of its model stands
// by. The other spare's host holds the model too, so the group is formed again
// in the time of a join from the host.
func TestTwoLossesUseBothSpares(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	w.engines[head.members[1]].dead = true
	w.engines[head.members[2]].dead = true
	w.run(4 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(len(w.serving("small")), 2)
	is.Equal(w.broken, "")
}

// Three of four members die, and the domain's survivor and spares are too few for
// the larger model. They form groups of the smaller one, or members of the
// smaller model's group complete one of the larger: either way no engine waits
// for a load, and both models end up with what their shares ask for.
func TestThreeLossesUseTheSecondModel(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	for _, m := range head.members[1:] {
		w.engines[m].dead = true
	}
	w.run(8 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(len(w.serving("small")), 2)
	is.Equal(w.broken, "")
}

// A zone that is as it should be is left alone: groups are not turned from one
// model to the other and back.
func TestBalancedZoneIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := started()
	before := w.ledger
	w.run(20 * time.Second)
	is.Equal(w.ledger, before)
}

// The head of a group is cut off from the planning node but lives and is open.
// Its members leave and serve elsewhere; it stands still without them. When the
// cut heals, the head must not be opened for a group that has lost its members.
func TestHeadOutOfReachKeepsNobodyFromServing(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	head.cut = true
	w.run(3 * time.Second)
	is.Equal(len(w.serving("big")), 3) // the one that is cut off still says so
	head.cut = false
	w.run(3 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.broken, "")
}

// A head and one member are cut off together. The other members leave and are
// used again. The member that could not be reached has not left: it must not
// join another group while its head is open, also under a new owner that knows
// nothing but the claims.
func TestMemberThatCouldNotLeaveStaysClaimed(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	member := w.engines[head.members[1]]
	head.cut, member.cut = true, true
	w.run(3 * time.Second)
	w.takeOver()
	member.cut = false
	w.run(3 * time.Second)
	is.Equal(w.broken, "")
	is.True(member.group != head.group) // it has left by now
}

// The owner dies after members of a group with an unreachable head have left.
// The head comes back and says that it is ready. Its claim lists three members,
// all ready; the next owner must not open it: one member is elsewhere.
func TestEndingGroupIsNeverOpenedByTheNextOwner(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	far := w.engines[head.members[3]]
	head.cut, far.cut = true, true
	w.run(3 * time.Second)
	head.state = roster.Ready
	w.takeOver()
	head.cut, far.cut = false, false
	w.run(5 * time.Second)
	is.Equal(w.broken, "")
}

// A join got no answer and is carried out eight seconds later, after its engine
// has left a group whose head can't be reached. The engine must not take it:
// otherwise it is back in a group that may be open when the next join comes.
func TestLateJoinAfterLeavingIsVoid(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.free = true
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
	head.cut = true
	w.run(time.Second)
	is.True(member.group != head.group)
	is.Equal(w.execute(joins[member.id]), Conflict)
}

// An owner starts with a count of an engine's orders that is too low, as after a
// report that was older than an order of the owner before. Joins fail by that
// until the next reports tell the count; the engine must not be shut out for good
// by answers that keep the wrong one alive.
func TestWrongCountIsPutRight(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	w.engines[head.members[1]].dead = true
	for _, e := range w.sorted() {
		w.facts[e.id].Report.Count += 5
		w.facts[e.id].Counted = w.now.Add(reportLag)
	}
	w.run(4 * time.Second)
	is.Equal(len(w.serving("big")), 2)
	is.Equal(w.broken, "")
}

// The answer to a join got lost, the report shows the engine joining, and the
// join is given once more. The engine goes on with what it has begun, so its count
// stays. Were it taken for one higher, a further join could be carried out after
// the engine has left the group, and bring it back.
func TestRepeatedJoinIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := &Fact{ID: "e", Report: Report{Count: 5}}
	join := Order{To: "e", Op: Join, Group: "g", Epoch: 7, Members: []roster.ID{"e", "o"}}
	f.took(join, Lost, 1)
	f.takeReport(Report{Count: 6, Member: roster.Membership{Group: "g", Epoch: 7, State: roster.Joining}}, 2)
	f.took(join, Begun, 3)
	is.Equal(f.Report.Count, uint64(6))
}

// The owner opens a group, the order is held up, and the owner takes the group
// apart after a loss: its head leaves. The next owner finds the claim and a head
// outside of the group. It must not have the head join again: the order to open
// would still come, while the members are elsewhere.
func TestNewOwnerFormsNoGroupOfTheLastOneAnew(t *testing.T) {
	is := is.New(t)
	w := started()
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

// The owner opens a group and ends; at the same moment a member begins to leave.
// The next owner's first reports still show the head outside of the group, as it
// was before the join. Taken for the present, they would free the members while
// the head opens, and the members would join another group under an open head.
func TestNewOwnerDoesNotTrustReportsOfBeforeItsTenure(t *testing.T) {
	is := is.New(t)
	w := started()
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
	head.told = []toldState{{from: w.now, rep: Report{Model: head.model, Domain: head.domain}}}
	w.run(3 * time.Second)
	is.Equal(w.broken, "")
}

// An engine leaves the fleet in order and a spare stands by: the group is formed
// anew in half a second, and its streams go on there.
func TestLeavingMemberIsReplacedBySpare(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("small")[0]
	leaver := w.engines[head.members[1]]
	leaver.draining = true
	w.run(1500 * time.Millisecond)
	is.Equal(len(w.serving("small")), 2)
	is.True(leaver.state != roster.Open)
	is.Equal(w.broken, "")
}

// An engine leaves and nothing can take its place: what the group has runs to its
// end before it is taken apart.
func TestLeavingMemberWithoutSpareLetsRequestsEnd(t *testing.T) {
	is := is.New(t)
	w := started()
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

// Requests ask four times as much of the smaller model's groups as of the larger
// one's: a zone with a group too many of the larger model turns it over.
func TestDemandTurnsGroupsOver(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.free = true
	for _, domain := range []string{"d0", "d1", "d2"} {
		w.add(domain, 9)
	}
	w.run(10 * time.Second)
	w.free = false
	is.Equal(len(w.serving("big")), 3)
	is.Equal(len(w.serving("small")), 3)
	w.demand = demand.Demand{Requests: 400, Work: map[string]float64{"big": 1, "small": 4}}
	w.run(10 * time.Second)
	is.Equal(len(w.serving("big")), 2) // the other model keeps what its share asks for
	is.True(len(w.serving("small")) >= 4)
	is.Equal(w.broken, "")
	settled := w.ledger
	w.run(10 * time.Second)
	is.Equal(w.ledger, settled) // and nothing goes back and forth
}

// Every engine of a zone is new and holds nothing. Loads begin no faster than the
// zone's share of the weight store's rate, and no more run at once than its share
// of those that run at full speed: eighteen at once would each take nine times as
// long, and no group would serve before all of them do.
func TestLoadsKeepToTheRate(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.add("d0", 9)
	w.add("d1", 9)
	for range 1200 {
		w.run(100 * time.Millisecond)
		loading := 0
		for _, e := range w.sorted() {
			// A group may form when its last load is about to end.
			if e.staging != "" && e.stagedAt.Sub(w.now) > soonLimit {
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
		is.True(n <= perWindow) // loads within five seconds
	}
	is.Equal(len(w.serving("big")), 2)
	is.True(len(w.serving("small")) >= 2)
}

// The claims of a plan can't be committed, as when the lease is renewed at the
// same moment. The next plan is made of the old claims and must go on where the
// first one was, instead of waiting for the members once more.
func TestPlanThatWasNotCommittedIsMadeAgain(t *testing.T) {
	is := is.New(t)
	w := started()
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
	is.Equal(w.broken, "")
}

// A member runs at a quarter of its speed, and so does its group: its events come
// late. A spare that stands by takes the member's place; the slow engine is in no
// group until it has recovered.
func TestSlowMemberIsReplacedBySpare(t *testing.T) {
	is := is.New(t)
	w := started()
	head := w.serving("big")[0]
	slow := w.engines[head.members[2]]
	slow.pace = 4
	w.run(1500 * time.Millisecond)
	is.Equal(len(w.serving("big")), 2)
	for _, h := range w.serving("big") {
		is.True(!slices.Contains(h.members, slow.id))
	}
	is.Equal(w.broken, "")
}

// Every engine of a domain is slow: its groups go on, since late answers are
// better than none.
func TestSlowGroupsGoOnWithoutReplacement(t *testing.T) {
	is := is.New(t)
	w := started()
	for _, e := range w.sorted() {
		e.pace = 4
	}
	before := w.ledger
	w.run(3 * time.Second)
	is.Equal(w.ledger, before)
}

// Whatever happens, in any order: engines die, are cut off, come back, leave and
// arrive; owners change; orders are lost, unanswered or carried out seconds
// later. No group opens without all of its members having been ready, and
// nobody joins another group while its own takes requests.
func TestGroupsStayWholeAndApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := started()
		fates := rapid.SampledFrom([]fate{answered, answered, answered, answered, unanswered, lost, later})
		w.fate = func() fate { return fates.Draw(t, "fate") }
		some := func() *simEngine {
			all := w.sorted()
			return all[rapid.IntRange(0, len(all)-1).Draw(t, "engine")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"plan":      func(*rapid.T) { w.plan(); w.advance(50 * time.Millisecond) },
			"plan more": func(*rapid.T) { w.run(500 * time.Millisecond) },
			"pass":      func(*rapid.T) { w.advance(2 * time.Second) },
			"die":       func(*rapid.T) { some().dead = true },
			"cut":       func(*rapid.T) { some().cut = true },
			"heal":      func(*rapid.T) { some().cut = false },
			"drain":     func(*rapid.T) { some().draining = true },
			"slow":      func(*rapid.T) { some().pace = 4 },
			"arrive":    func(*rapid.T) { w.add("d1", 1) },
			"restart":   func(*rapid.T) { w.restart(some()) },
			"take over": func(*rapid.T) { w.takeOver() },
			"": func(t *rapid.T) {
				if w.broken != "" {
					t.Fatal(w.broken)
				}
			},
		})
	})
}
