// Package priority decides by rank which requests of a contended service get the capacity of a
// model: the order at engines, and which requests are refused while free slots are short for more
// urgent ones. Its decisions depend only on their arguments and on the recorded history; callers
// provide clocks, random draws and locks.
package priority

import "sort"

// Level returns the position of a rank among the sorted ranks of a service; 0 is the most urgent.
// A rank that is not among them gets the position of the next less urgent one, at most the last.
func Level(ranks []int, rank int) int {
	return min(sort.SearchInts(ranks, rank), max(0, len(ranks)-1))
}

// Urgencies sent to engines, which accept values from 0 to 9. Streams that have begun come first.
// A service with one rank keeps the values that are sent without contention.
const (
	UrgencyResumed = 1
	UrgencyNew     = 4
	UrgencyRetried = 8
	firstUrgency   = UrgencyResumed + 1
	lastUrgency    = 9
)

// Urgency returns the urgency of a request at engines. levels is the number of ranks of the
// service. The retries of clients follow the new requests of their own rank. All values differ
// for up to four ranks, those of new requests for up to seven; the eight values do not suffice
// for more, so that neighbouring ranks share some.
func Urgency(levels, level int, resumed, retry bool) int {
	switch {
	case resumed:
		return UrgencyResumed
	case levels <= 1 && retry:
		return UrgencyRetried
	case levels <= 1:
		return UrgencyNew
	}
	level = max(0, min(level, levels-1))
	u := firstUrgency + 2*level
	if available := lastUrgency - firstUrgency; 2*levels-1 > available {
		u = firstUrgency + level*available/levels
	}
	if retry {
		u++
	}
	return u
}
