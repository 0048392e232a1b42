package board

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/clock"
	"chervilloom/internal/roster"
)

// Nodes tell absolute counts: a message that was lost is made good by the next one. A
// node that was killed tells nothing any more, and its requests are over.
func TestSumsOfAbsoluteCounts(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var b Board
	_, known := b.Sums(now)
	is.True(!known)
	b.Note("n1", []Count{{"h1", 3, 1000}, {"h2", 1, 0}}, false, now)
	b.Note("n2", []Count{{"h1", 2, 500}}, false, now)
	sums, known := b.Sums(now)
	is.True(known)
	is.Equal(sums, []Count{{"h1", 5, 1500}, {"h2", 1, 0}})
	b.Note("n1", []Count{{"h1", 4, 0}}, false, now.Add(time.Second)) // the end at h2 came with it
	sums, _ = b.Sums(now.Add(time.Second))
	is.Equal(sums, []Count{{"h1", 6, 0}}) // prompts told a second ago are read
	sums, _ = b.Sums(now.Add(3 * time.Second))
	is.Equal(sums, []Count{{"h1", 4, 0}})                             // n2 is silent
	b.Note("n1", []Count{{"h3", 2, 0}}, true, now.Add(3*time.Second)) // a further part
	sums, _ = b.Sums(now.Add(3 * time.Second))
	is.Equal(sums, []Count{{"h1", 4, 0}, {"h3", 2, 0}})
	b.Note("n1", nil, false, now.Add(3*time.Second))
	sums, known = b.Sums(now.Add(3 * time.Second))
	is.Equal(len(sums), 0)
	is.True(known)
}

// A zone's heads of a model are loaded by what stands on the board; one that doesn't
// stand there has nothing in flight.
func TestMeans(t *testing.T) {
	is := is.New(t)
	heads := []*roster.Endpoint{
		{ID: "a", Model: "big", Slots: 20}, {ID: "b", Model: "big", Slots: 20}, {ID: "c", Model: "small", Slots: 10},
	}
	sums := []Count{{"a", 10, 500}, {"c", 9, 0}, {"closed", 7, 0}}
	is.Equal(Means("z", sums, heads), []Mean{{"z", "big", 0.25, 250}, {"z", "small", 0.9, 0}})
	is.Equal(len(Means("z", sums, nil)), 0)
}
