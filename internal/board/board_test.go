package board

import (
	"encoding/json"
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
	b.Update("n1", []HeadLoad{{ID: "h1", Requests: 3, Unread: 1000}, {ID: "h2", Requests: 1}}, false, now)
	b.Update("n2", []HeadLoad{{ID: "h1", Requests: 2, Unread: 500}}, false, now)
	sums, known := b.Sums(now)
	is.True(known)
	is.Equal(sums, []HeadLoad{{ID: "h1", Requests: 5, Unread: 1500}, {ID: "h2", Requests: 1}})
	b.Update("n1", []HeadLoad{{ID: "h1", Requests: 4}}, false, now.Add(time.Second)) // also reports the end at h2
	sums, _ = b.Sums(now.Add(time.Second))
	is.Equal(sums, []HeadLoad{{ID: "h1", Requests: 6}}) // prompts sent a second ago have been read
	sums, _ = b.Sums(now.Add(3 * time.Second))
	is.Equal(sums, []HeadLoad{{ID: "h1", Requests: 4}})                               // counts of n2 have expired
	b.Update("n1", []HeadLoad{{ID: "h3", Requests: 2}}, true, now.Add(3*time.Second)) // another part
	sums, _ = b.Sums(now.Add(3 * time.Second))
	is.Equal(sums, []HeadLoad{{ID: "h1", Requests: 4}, {ID: "h3", Requests: 2}})
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
	sums := []HeadLoad{{ID: "a", Requests: 10, Unread: 500}, {ID: "c", Requests: 9}, {ID: "closed", Requests: 7}}
	is.Equal(MeanLoads("z", sums, heads), []MeanLoad{{"z", "big", 0.25, 250}, {"z", "small", 0.9, 0}})
	is.Equal(len(MeanLoads("z", sums, nil)), 0)
}

// Guards against a gap that one node with a single stream decides for a zone, and against entries
// of deployments that need no gap which differ from those before gaps were added.
func TestGapsAreWeightedByRequests(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var b Board
	b.Update("n1", []HeadLoad{{ID: "h1", Requests: 9, Gap: 100}, {ID: "h2", Requests: 1}}, false, now)
	b.Update("n2", []HeadLoad{{ID: "h1", Requests: 1, Gap: 900}}, false, now)
	b.Update("n3", []HeadLoad{{ID: "h1", Requests: 5}}, false, now) // measured none
	sums, _ := b.Sums(now)
	is.Equal(sums, []HeadLoad{{ID: "h1", Requests: 15, Gap: 180}, {ID: "h2", Requests: 1}})
	raw, err := json.Marshal(sums)
	is.NoErr(err)
	is.Equal(string(raw), `[{"i":"h1","n":15,"g":180},{"i":"h2","n":1}]`)
}

// Guards against work of lost nodes that nobody counts, against requests that count twice because
// both a head and a node report them, and against seeds that outlive the work.
func TestSeedsAreWorkThatNoNodeCounts(t *testing.T) {
	is := is.New(t)
	began := clock.Instant(time.Hour)
	var b Board
	at := func(after time.Duration) int {
		sums, known := b.Sums(began.Add(after))
		is.True(known)
		for _, c := range sums {
			if c.ID == "h" {
				return c.Requests
			}
		}
		return 0
	}
	b.Seed("h", 30, 4*time.Second, began)
	is.Equal(at(0), 30)
	b.Update("old", []HeadLoad{{ID: "other", Requests: 1}}, false, began)
	b.Update("old", []HeadLoad{{ID: "h", Requests: 10}}, true, began) // in flight when the head reported
	is.Equal(at(0), 30)
	b.Update("old", []HeadLoad{{ID: "h", Requests: 16}}, false, began) // six more, which it did not report
	b.Update("new", nil, false, began)                                 // a node that has just started
	b.Update("new", []HeadLoad{{ID: "h", Requests: 4}}, false, began)
	is.Equal(at(0), 40)
	b.Seed("h", 40, 4*time.Second, began.Add(time.Second)) // a later report includes them
	is.Equal(at(2*time.Second), 30)                        // half of the seed is left
	b.Update("new", nil, false, began.Add(4*time.Second))
	is.Equal(at(4*time.Second), 0)
}

// Guards against a board that is published for as long as the lease is held, although its seeds have
// decayed and no node sends counts: where nodes report each request to each other, its entries would
// replace the loads that they reported.
func TestBoardIsUnknownOnceSeedsHaveDecayed(t *testing.T) {
	is := is.New(t)
	began := clock.Instant(time.Hour)
	var b Board
	b.Seed("h", 30, 4*time.Second, began)
	_, known := b.Sums(began.Add(3900 * time.Millisecond))
	is.True(known)
	_, known = b.Sums(began.Add(4 * time.Second))
	is.True(!known)
	b.Seed("h", 30, 4*time.Second, began) // the same report is offered with each board
	_, known = b.Sums(began.Add(4 * time.Second))
	is.True(!known)
}

// Guards against seeds that double the load of heads whose nodes live on. While the store is away, or
// a zone is evacuated, a holder of the lease gets the heads' reports long after the nodes' first
// counts, and the reports include all that the nodes have sent since.
func TestLateReportsIncludeRequestsOfKnownNodes(t *testing.T) {
	is := is.New(t)
	began := clock.Instant(time.Hour)
	var b Board
	b.Update("n1", nil, false, began)
	b.Update("n2", []HeadLoad{{ID: "h", Requests: 2}}, false, began)
	late := began.Add(3 * time.Second)
	b.Update("n1", []HeadLoad{{ID: "h", Requests: 20}}, false, late)
	b.Update("n2", []HeadLoad{{ID: "h", Requests: 10}}, false, late)
	b.Seed("h", 30, 4*time.Second, late)
	sums, _ := b.Sums(late)
	is.Equal(sums, []HeadLoad{{ID: "h", Requests: 30}})

	b.Seed("old", 34, 4*time.Second, late) // work of nodes that no longer exist
	b.Update("n3", []HeadLoad{{ID: "old", Requests: 5}}, false, late)
	b.Update("n3", []HeadLoad{{ID: "old", Requests: 9}}, false, late)
	sums, _ = b.Sums(late)
	is.Equal(sums, []HeadLoad{{ID: "h", Requests: 30}, {ID: "old", Requests: 38}})
}

// Guards against old work that is forgotten because nodes have sent new requests between the report
// and its arrival.
func TestEarlyReportsDoNotIncludeNewRequests(t *testing.T) {
	is := is.New(t)
	began := clock.Instant(time.Hour)
	var b Board
	b.Update("n1", nil, false, began)
	b.Update("n1", []HeadLoad{{ID: "h", Requests: 20}}, false, began.Add(200*time.Millisecond))
	b.Seed("h", 34, 4*time.Second, began.Add(50*time.Millisecond))
	sums, _ := b.Sums(began.Add(200 * time.Millisecond))
	is.Equal(sums, []HeadLoad{{ID: "h", Requests: 20 + 33}}) // a little of the seed has decayed
}
