// Package membership tells which nodes are alive, without a leader and without
// all-to-all heartbeats.
//
// It follows SWIM: each period every node pings one other in a shuffled round;
// a ping that stays unanswered is repeated through a few others; a member that
// answers neither is suspected, and declared dead unless it refutes in time.
// News travels on the pings themselves and in gossip rounds while there is some;
// a slow exchange of whole states repairs what gossip missed. Members that are
// dead are still asked at a low rate, so that the two sides of a healed cut find
// each other again.
//
// Each member's entry is ordered by the incarnation of its process, then by a
// version that only the member itself raises, then by state. Merging takes the
// greater entry, so the order in which news arrives does not matter. A member
// that left stays so for that incarnation; a lower incarnation never replaces a
// higher one.
//
// State decides and does nothing else: no clock, I/O, goroutine or lock. Service
// is the adapter that runs it over the links between nodes.
package membership
