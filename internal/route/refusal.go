package route

import (
	"fmt"
	"time"

	"chervilloom/internal/outcome"
)

// Refusal is the reason why no destination was found.
type Refusal int

// Reasons for a refusal.
const (
	Accepted    Refusal = iota // a destination was found
	NoneCarries                // nothing carries the target or service
	NoneWhole                  // every group or endpoint that carries it is not whole or is leaving
	AllStale                   // no recent probe answer from any destination that carries it
	AllTried                   // every destination that carries it was tried for this request
	NoneInZone                 // the request may not leave the zone, and nothing in the zone carries it
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

// refusalTexts holds message, remedy and retry delay by reason. The delays are the
// time of a probe round, a group repair with a spare, or a full load of weights.
var refusalTexts = [refusals]refusalText{
	NoneCarries: {"nothing that serves carries %s", "ask for another version or adapter, or come back when it is loaded", 15 * time.Second},
	NoneWhole:   {"no serving group of %s is whole", "come back when the group is repaired", 5 * time.Second},
	AllStale:    {"nothing that carries %s has answered lately", "come back after the next probe round", 2 * time.Second},
	AllTried:    {"everything that carries %s was tried", "come back when another one has room", time.Second},
	NoneInZone:  {"nothing in this availability zone carries %s", "send the request to another availability zone", 2 * time.Second},
}

// noCapacity returns the caller's error for a refusal. Its outcome covers only
// this call of Pick; the caller keeps track of earlier attempts.
func noCapacity(r Refusal, destination string) *outcome.Error {
	t := refusalTexts[r]
	e := outcome.New(outcome.NoCapacity, outcome.NotRun, fmt.Sprintf(t.message, destination), t.remedy)
	return e.WithRetryAfter(t.after)
}
