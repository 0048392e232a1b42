package demand

import (
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
