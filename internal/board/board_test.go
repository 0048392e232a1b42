package board

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Counts are absolute, so the next message makes up for a lost one. A killed node sends
// no more counts, and its requests have ended.
func TestSumsOfAbsoluteCounts(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var b Board
	_, known := b.Sums(now)
	is.True(!known)
	b.Update("n1", []HeadLoad{{"h1", 3, 1000}, {"h2", 1, 0}}, false, now)
	b.Update("n2", []HeadLoad{{"h1", 2, 500}}, false, now)
	sums, known := b.Sums(now)
	is.True(known)
	is.Equal(sums, []HeadLoad{{"h1", 5, 1500}, {"h2", 1, 0}})
	b.Update("n1", []HeadLoad{{"h1", 4, 0}}, false, now.Add(time.Second)) // also reports the end at h2
	sums, _ = b.Sums(now.Add(time.Second))
	is.Equal(sums, []HeadLoad{{"h1", 6, 0}}) // prompts sent a second ago have been read
	sums, _ = b.Sums(now.Add(3 * time.Second))
	is.Equal(sums, []HeadLoad{{"h1", 4, 0}})                               // counts of n2 have expired
	b.Update("n1", []HeadLoad{{"h3", 2, 0}}, true, now.Add(3*time.Second)) // another part
	sums, _ = b.Sums(now.Add(3 * time.Second))
	is.Equal(sums, []HeadLoad{{"h1", 4, 0}, {"h3", 2, 0}})
	b.Update("n1", nil, false, now.Add(3*time.Second))
	sums, known = b.Sums(now.Add(3 * time.Second))
	is.Equal(len(sums), 0)
	is.True(known)
}

// The mean load of a zone's heads is computed from the board; a head without an entry has
// nothing in flight.
func TestMeans(t *testing.T) {
	is := is.New(t)
	heads := []*roster.Endpoint{
		{ID: "a", Model: "big", Slots: 20}, {ID: "b", Model: "big", Slots: 20}, {ID: "c", Model: "small", Slots: 10},
	}
	sums := []HeadLoad{{"a", 10, 500}, {"c", 9, 0}, {"closed", 7, 0}}
	is.Equal(MeanLoads("z", sums, heads), []MeanLoad{{"z", "big", 0.25, 250}, {"z", "small", 0.9, 0}})
	is.Equal(len(MeanLoads("z", sums, nil)), 0)
}
