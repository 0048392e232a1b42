package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/clock"
	"chervilloom/internal/feed"
)

// Guards against followers that reject a route added after the holder of the zone's duty
// has lost the store. They reach the store themselves and must leave the holder before
// their configuration is too old.
func TestFollowerLeavesHolderWithoutStoreInTime(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(clock.Instant(time.Hour))
	n := newTestNode(&fakeStore{}, c)
	n.Settings.MaxConfigDelay = 2 * time.Second
	n.config.confirm(&catalog.Document{Version: 1}, c.Now())
	is.True(n.isConfigCurrent())
	c.Advance(2 * time.Second)
	is.True(!n.isConfigCurrent())
	is.True(n.acceptsKeys()) // keys are accepted for longer

	// Whatever the age of an accepted answer, the next poll is sent before the
	// configuration is too old.
	for age := time.Duration(0); age <= n.follower.maxConfigAge(); age += 100 * time.Millisecond {
		next := age + n.follower.intervalAfter(age)
		is.True(next < n.Settings.MaxConfigDelay)
	}
}

// Guards against complete answers for a node that polls the duty holders of many zones in turn: it
// keeps what it has received from each.
func TestCopiesOfAllDutyHoldersAreKept(t *testing.T) {
	is := is.New(t)
	for _, zones := range []int{1, 5, 20} {
		n := newTestNode(&fakeStore{}, clock.NewManual(clock.Instant(time.Hour)))
		n.Settings.Zones = make([]string, zones)
		first := map[string]*feed.Replica{}
		for z := range zones {
			addr := fmt.Sprint("holder", z)
			first[addr] = n.follower.copyOf(addr)
		}
		for addr, replica := range first {
			is.True(n.follower.copyOf(addr) == replica)
		}
		for k := range 100 * zones { // holders that come and go
			n.follower.copyOf(fmt.Sprint("other", k))
		}
		is.True(len(n.follower.copies) <= zones+formerHolderCopies)
	}
}
