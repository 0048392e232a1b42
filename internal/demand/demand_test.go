package demand

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
)

// A burst of one model's requests follows a balanced load: within two seconds its share
// of the work must rise, and older demand must decay.
func TestDemandFollowsABurst(t *testing.T) {
	is := is.New(t)
	var m Meter
	now := clock.Instant(time.Hour)
	is.Equal(m.Demand("s", now).Requests, 0.0)
	addRequests := func(d time.Duration, a, b int) {
		for range int(d / (100 * time.Millisecond)) {
			now = now.Add(100 * time.Millisecond)
			for range a {
				m.Record("s", "a", 0.1, now)
			}
			for range b {
				m.Record("s", "b", 0.1, now)
			}
		}
	}
	shareOfA := func() float64 {
		w := m.Demand("s", now).Work
		return w["a"] / (w["a"] + w["b"])
	}
	addRequests(20*time.Second, 1, 1)
	is.True(shareOfA() > 0.49 && shareOfA() < 0.51)
	addRequests(2*time.Second, 4, 1)
	is.True(shareOfA() > 0.6)
	is.True(m.Demand("s", now.Add(time.Minute)).Requests < 0.01)
	is.Equal(m.Demand("other", now).Requests, 0.0)
}
