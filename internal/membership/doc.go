// Package membership detects which nodes are alive, without a leader and
// without all-to-all heartbeats.
//
// It follows SWIM: each period every node pings another, in shuffled order. An
// unanswered ping is repeated through a few other members; a member that
// answers neither is suspected, and declared dead unless it refutes in time.
// Updates are piggybacked on pings and sent in gossip rounds while there are
// any; a slow full state exchange repairs what gossip missed. Dead members are
// still contacted at a low rate, so that the two sides of a healed partition
// find each other again.
//
// Each member's entry is ordered by the incarnation of its process, then by a
// version that only the member itself raises, then by status. Merging keeps the
// greater entry, so the order in which updates arrive does not matter. A member
// that has left remains so for that incarnation; a lower incarnation never
// replaces a higher one.
//
// State is pure decision logic without clock, I/O, goroutines or locks. Service
// is the adapter that runs it over the links between nodes.
package membership
