package formation

import (
	"math"
	"testing"

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
