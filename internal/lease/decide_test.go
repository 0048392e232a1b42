package lease

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// TestMain gives the properties a fixed seed, so that a run has the same verdict
// each time, and enough checks to find a term that counts from the answer; the
// command line may ask for others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "5000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}

var (
	nodeA = fleet.Node{VM: "a", Incarnation: 1}
	nodeB = fleet.Node{VM: "b", Incarnation: 1}
)

func TestDecide(t *testing.T) {
	p := Params{Term: 6 * time.Second, Margin: time.Second, Step: 2 * time.Second}
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour).Add(d) }
	byB := Seen{Row: Row{Owner: nodeB, Fence: 4, Term: 6 * time.Second}, Version: 9, First: at(0), Known: true}
	byA := byB
	byA.Row.Owner = nodeA
	released := byB
	released.Row.Released = true
	grant := Grant{Fence: 4, Version: 9, Until: at(6 * time.Second)}
	for name, c := range map[string]struct {
		seen Seen
		held Grant
		rank int
		now  clock.Instant
		want Action
	}{
		"never read":                          {Seen{}, Grant{}, 0, at(0), Read},
		"no row":                              {Seen{Known: true, First: at(0)}, Grant{}, 0, at(0), Acquire},
		"no row, second in rank":              {Seen{Known: true, First: at(0)}, Grant{}, 1, at(0), Wait},
		"no row, second in rank, later":       {Seen{Known: true, First: at(0)}, Grant{}, 1, at(2 * time.Second), Acquire},
		"released":                            {released, Grant{}, 0, at(0), Acquire},
		"held by another, term not over":      {byB, Grant{}, 0, at(6 * time.Second), Wait},
		"held by another, in the margin":      {byB, Grant{}, 0, at(7*time.Second - 1), Wait},
		"held by another, margin over":        {byB, Grant{}, 0, at(7 * time.Second), Acquire},
		"own row without a grant":             {byA, Grant{}, 0, at(0), Acquire},
		"holder, early":                       {byA, grant, 0, at(time.Second), None},
		"holder, a third over":                {byA, grant, 0, at(2 * time.Second), Renew},
		"holder, term over":                   {byA, grant, 0, at(6 * time.Second), Read},
		"holder, the row moved on":            {byB, grant, 0, at(time.Second), Read},
		"holder of a version that is no more": {Seen{Row: byA.Row, Version: 10, Known: true}, grant, 0, at(time.Second), Read},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := Decide(p, c.seen, c.held, nodeA, c.rank, c.now)
			is.Equal(d.Action, c.want)
			if d.Action == Acquire {
				is.Equal(d.Next.Fence, c.seen.Row.Fence+1)
			}
			if d.Action == Renew {
				is.Equal(d.Next.Fence, c.seen.Row.Fence)
			}
		})
	}
}

func TestPosition(t *testing.T) {
	is := is.New(t)
	nodes := []fleet.VM{"a", "b", "c", "d"}
	seen := map[int]bool{}
	for i, self := range nodes {
		others := append(append([]fleet.VM(nil), nodes[:i]...), nodes[i+1:]...)
		p := Position("groups/z", self, others)
		is.Equal(p, Position("groups/z", self, nodes)) // whether or not self is among them
		seen[p] = true
	}
	is.Equal(len(seen), 4)
	is.Equal(Position("groups/z", "a", nil), 0)
}
