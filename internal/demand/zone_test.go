package demand

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// Sixty nodes get two requests each, all for one model on each node, so that no single
// node's demand is representative. The sum must reflect the whole zone; a node that has
// ended or sends nothing counts for at most three seconds, and only once however often it
// sends.
func TestZoneSumsNodeDemand(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var z ZoneDemand
	for i := range 60 {
		d := Demand{Requests: 2, Work: map[string]float64{"small": 0.2}}
		if i%4 == 0 {
			d = Demand{Requests: 2, Work: map[string]float64{"big": 0.2}}
		}
		node := string(rune('A' + i))
		z.Update(node, []ServiceDemand{{"s", d}, {"other", d}}, now)
		z.Update(node, []ServiceDemand{{"s", d}}, now)
	}
	own := Demand{Requests: 2, Work: map[string]float64{"big": 0.2}}
	sum := z.Total("s", own, now)
	is.Equal(sum.Requests, 122.0)
	is.True(sum.Work["small"] > 2.9*sum.Work["big"]-0.7)
	is.Equal(z.Total("other", Demand{}, now).Requests, 0.0)
	is.Equal(z.Total("s", own, now.Add(4*time.Second)), own)
	is.Equal(own.Work["big"], 0.2) // the argument is not modified
}

func TestMeterReturnsAllServices(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var m Meter
	is.Equal(len(m.All(now)), 0)
	m.Record("s", "a", 0.5, now)
	is.Equal(m.All(now), []ServiceDemand{{"s", Demand{Requests: 1, Work: map[string]float64{"a": 0.5}}}})
}

// Guards against value and loss that are dropped between nodes, that change messages while
// nothing is recorded, or that remain after contention was switched off.
func TestValueAndLossAreDecayedAndCarried(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var m Meter
	m.Record("s", "a", 0.5, now)
	raw, err := json.Marshal(m.Demand("s", now))
	is.NoErr(err)
	is.Equal(string(raw), `{"Requests":1,"Work":{"a":0.5}}`)
	m.RecordValue("s", "a", 2, now)
	m.RecordLost("s", "a", 1, now)
	raw, err = json.Marshal(m.All(now))
	is.NoErr(err)
	var received []ServiceDemand
	is.NoErr(json.Unmarshal(raw, &received))
	var z ZoneDemand
	z.Update("n1", received, now)
	z.Update("n2", received, now)
	sum := z.Total("s", m.Demand("s", now), now)
	is.Equal(sum.Value["a"], 6.0)
	is.Equal(sum.Lost["a"], 3.0)
	later := m.Demand("s", now.Add(5*time.Second))
	is.True(later.Value["a"] > 0.7 && later.Value["a"] < 0.8)
	is.Equal(m.Demand("s", now.Add(time.Minute)).Value, nil)
}
