package demand

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// Sixty nodes get two requests each, most for one model; each alone would take its
// two for the zone's. The sum follows the zone; a node that is gone, or tells nothing
// any more, counts for three seconds at most, and once however often it tells.
func TestZoneSumsWhatItsNodesSee(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var z Zone
	for i := range 60 {
		d := Demand{Requests: 2, Work: map[string]float64{"small": 0.2}}
		if i%4 == 0 {
			d = Demand{Requests: 2, Work: map[string]float64{"big": 0.2}}
		}
		node := string(rune('A' + i))
		z.Note(node, []Told{{"s", d}, {"other", d}}, now)
		z.Note(node, []Told{{"s", d}}, now)
	}
	own := Demand{Requests: 2, Work: map[string]float64{"big": 0.2}}
	sum := z.With("s", own, now)
	is.Equal(sum.Requests, 122.0)
	is.True(sum.Work["small"] > 2.9*sum.Work["big"]-0.7)
	is.Equal(z.With("other", Demand{}, now).Requests, 0.0)
	is.Equal(z.With("s", own, now.Add(4*time.Second)), own)
	is.Equal(own.Work["big"], 0.2) // what the caller holds is left as it was
}

func TestMeterTellsAllServices(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var m Meter
	is.Equal(len(m.All(now)), 0)
	m.Note("s", "a", 0.5, now)
	is.Equal(m.All(now), []Told{{"s", Demand{Requests: 1, Work: map[string]float64{"a": 0.5}}}})
}
