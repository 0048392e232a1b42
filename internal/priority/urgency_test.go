package priority

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that engines serve before more urgent ones, and against changed values
// where there is one rank.
func TestUrgencyFollowsRank(t *testing.T) {
	is := is.New(t)
	is.Equal([]int{Urgency(1, 0, true, false), Urgency(1, 0, false, false), Urgency(1, 0, false, true)}, []int{1, 4, 8})
	for levels := 2; levels <= 10; levels++ {
		var all, fresh, retries []int
		for level := range levels {
			u, retry := Urgency(levels, level, false, false), Urgency(levels, level, false, true)
			is.True(u < retry)
			all, fresh, retries = append(all, u, retry), append(fresh, u), append(retries, retry)
		}
		is.True(all[0] > UrgencyResumed && all[len(all)-1] <= 9)
		is.True(slices.IsSorted(fresh) && slices.IsSorted(retries))
		if levels <= 7 {
			is.True(slices.IsSorted(all)) // more new requests than values in order: neighbours share both
		}
		if levels <= 4 {
			is.Equal(len(slices.Compact(all)), 2*levels)
		}
		if levels <= 7 {
			is.Equal(len(slices.Compact(fresh)), levels)
		}
	}
}

// Guards against ranks that are counted outside the declared ones.
func TestLevelOfRank(t *testing.T) {
	is := is.New(t)
	ranks := []int{0, 2, 7}
	var got []int
	for rank := range 10 {
		got = append(got, Level(ranks, rank))
	}
	is.Equal(got, []int{0, 1, 1, 2, 2, 2, 2, 2, 2, 2})
	is.Equal(Level(nil, 5), 0)
}
