package formation

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Guards against groups that count as slow, or as infinitely fast, because a report has no pace or
// an invalid one, and against paces of members that have never reported.
func TestSlowestPaceOfEachGroup(t *testing.T) {
	is := is.New(t)
	state := func(pace float64, at clock.Instant) *EngineState {
		return &EngineState{Report: Report{Pace: pace}, ReportedAt: at}
	}
	c := &Controller{
		ledgerLoaded: true,
		ledger: Ledger{Groups: []Group{
			{Service: "s", Members: []roster.ID{"a1", "a2", "a3"}}, {Service: "s", Members: []roster.ID{"b1", "b2", "b3", "b4"}},
			{Service: "s", Members: []roster.ID{"c1", "unknown"}, Ending: true}, {Service: "other", Members: []roster.ID{"d1"}}, {Service: "s", Members: []roster.ID{"e1"}},
		}},
		engineStates: map[roster.ID]*EngineState{
			"a1": state(1, 1), "a2": state(4, 1), "a3": state(2, 1),
			"b1": state(0, 1), "b2": state(-3, 1), "b3": state(math.NaN(), 1), "b4": state(math.Inf(1), 1),
			"c1": state(12, 1), "d1": state(12, 1), "e1": state(12, 0),
		},
	}
	isWanted := func(service string) bool { return service == "s" }
	is.Equal(c.SlowestPaces(isWanted), map[roster.ID]float64{"a1": 4})
	c.ledgerLoaded = false // the lease is held by another node
	is.Equal(len(c.SlowestPaces(isWanted)), 0)
}

// Guards against seeds from reports that already include the requests of restarted nodes, from
// groups that have ended and from heads that are in another group by now.
func TestTenureReportsAreThoseOfItsBeginning(t *testing.T) {
	is := is.New(t)
	began := clock.Instant(time.Hour)
	state := func(id roster.ID, group string, after time.Duration) *EngineState {
		return &EngineState{ID: id, ReportedAt: began.Add(after), Report: Report{Member: roster.Membership{Group: group}, Active: 30, Queued: 4}}
	}
	c := &Controller{
		ledgerLoaded: true, tenureStart: began,
		ledger: Ledger{Groups: []Group{
			{Name: "a", Service: "s", Members: []roster.ID{"a1", "a2"}}, {Name: "b", Service: "s", Members: []roster.ID{"b1"}},
			{Name: "c", Service: "s", Members: []roster.ID{"c1"}, Ending: true}, {Name: "d", Service: "s", Members: []roster.ID{"d1"}},
			{Name: "e", Service: "other", Members: []roster.ID{"e1"}}, {Name: "f", Service: "s", Members: []roster.ID{"f1"}},
		}},
		engineStates: map[roster.ID]*EngineState{
			"a1": state("a1", "a", 0), "a2": state("a2", "a", 0), "b1": state("b1", "b", 2*time.Second), "c1": state("c1", "c", 0),
			"d1": state("d1", "earlier", 0), "e1": state("e1", "e", 0), "f1": {ID: "f1"},
		},
	}
	is.Equal(c.TenureReports(func(service string) bool { return service == "s" }), []HeadReport{{"a1", 34, began}})
}
