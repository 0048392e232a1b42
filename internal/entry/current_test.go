package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
)

// The holder of the zone's duty loses the store. Nodes that follow it reach the
// store: a route that is added meanwhile must not be denied by them once it should
// be in force, and they leave the holder in time to read the store themselves.
func TestFollowerOfAHolderWithoutTheStoreDeniesNothing(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := testNode(&fakeStore{}, c)
	n.Settings.ConfigWithin = 2 * time.Second
	n.config.confirm(&catalog.Document{Version: 1}, c.Now())
	is.True(n.current())
	c.Advance(2 * time.Second)
	is.True(!n.current())
	is.True(n.fresh()) // keys are vouched for longer

	// Whatever the age of an answer that is taken, the next question comes before
	// the configuration is too old.
	for age := time.Duration(0); age <= n.follower.oldest(); age += 100 * time.Millisecond {
		next := age + n.follower.pauseAfter(age)
		is.True(next < n.Settings.ConfigWithin)
	}
}
