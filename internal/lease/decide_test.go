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

// TestMain sets a fixed seed for the property tests, so that runs are reproducible, and
// enough checks to detect a term counted from the answer. The flags of the command line
// override both.
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
	byB := ObservedRow{Row: Row{Owner: nodeB, Fence: 4, Term: 6 * time.Second}, Version: 9, FirstSeen: at(0), Known: true}
	byA := byB
	byA.Row.Owner = nodeA
	released := byB
	released.Row.Released = true
	grant := Grant{Fence: 4, Version: 9, Until: at(6 * time.Second)}
	for name, c := range map[string]struct {
		seen ObservedRow
		held Grant
		rank int
		now  clock.Instant
		want Action
	}{
		"never read":                         {ObservedRow{}, Grant{}, 0, at(0), Read},
		"no row":                             {ObservedRow{Known: true, FirstSeen: at(0)}, Grant{}, 0, at(0), Acquire},
		"no row, second in rank":             {ObservedRow{Known: true, FirstSeen: at(0)}, Grant{}, 1, at(0), Wait},
		"no row, second in rank, later":      {ObservedRow{Known: true, FirstSeen: at(0)}, Grant{}, 1, at(2 * time.Second), Acquire},
		"released":                           {released, Grant{}, 0, at(0), Acquire},
		"held by another, term not ended":    {byB, Grant{}, 0, at(6 * time.Second), Wait},
		"held by another, in the margin":     {byB, Grant{}, 0, at(7*time.Second - 1), Wait},
		"held by another, margin ended":      {byB, Grant{}, 0, at(7 * time.Second), Acquire},
		"own row without a grant":            {byA, Grant{}, 0, at(0), Acquire},
		"holder, early":                      {byA, grant, 0, at(time.Second), None},
		"holder, a third of the term passed": {byA, grant, 0, at(2 * time.Second), Renew},
		"holder, term ended":                 {byA, grant, 0, at(6 * time.Second), Read},
		"holder, row written by another":     {byB, grant, 0, at(time.Second), Read},
		"holder of an outdated version":      {ObservedRow{Row: byA.Row, Version: 10, Known: true}, grant, 0, at(time.Second), Read},
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
		is.Equal(p, Position("groups/z", self, nodes)) // whether or not the others include self
		seen[p] = true
	}
	is.Equal(len(seen), 4)
	is.Equal(Position("groups/z", "a", nil), 0)
}
