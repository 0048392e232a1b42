package route

import (
	"fmt"
	"time"

	"chervilloom/internal/outcome"
)

// Refusal says why no destination was found.
type Refusal int

// The reasons for a refusal.
const (
	Accepted    Refusal = iota // not refused
	NoneCarries                // nothing carries the target or service
	NoneWhole                  // what carries it is not whole, or leaving
	AllStale                   // no fresh word from what carries it
	AllTried                   // what carries it was tried for this request
	NoneInZone                 // the request may not leave the zone, and nothing here carries it
	refusals
)

var refusalNames = [refusals]string{"accepted", "none_carries", "none_whole", "all_stale", "all_tried", "none_in_zone"}

// String returns the metric label.
func (r Refusal) String() string { return refusalNames[r] }

type refusalText struct {
	message string
	remedy  string
	after   time.Duration
}

// The times to come back tell what has to happen first: a probe round, a repair
// with a spare, or a whole load of weights.
var refusalTexts = [refusals]refusalText{
	NoneCarries: {"nothing that serves carries %s", "ask for another version or adapter, or come back when it is loaded", 15 * time.Second},
	NoneWhole:   {"no serving group of %s is whole", "come back when the group is repaired", 5 * time.Second},
	AllStale:    {"nothing that carries %s has answered lately", "come back after the next probe round", 2 * time.Second},
	AllTried:    {"everything that carries %s was tried", "come back when another one has room", time.Second},
	NoneInZone:  {"nothing in this availability zone carries %s", "send the request to another availability zone", 2 * time.Second},
}

// noCapacity returns the caller's error for a refusal. Its outcome speaks of
// this pick alone; a caller that has tried before knows of the earlier tries.
func noCapacity(r Refusal, what string) *outcome.Error {
	t := refusalTexts[r]
	e := outcome.New(outcome.NoCapacity, outcome.NotRun, fmt.Sprintf(t.message, what), t.remedy)
	return e.After(t.after)
}
