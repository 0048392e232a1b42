// Package usage divides the organisations' rate caps among the nodes without a
// coordinator.
//
// A cap applies to all nodes together. Each node has a claim on each cap, 1 for
// an even share; its share is its claim divided by the sum of its own claim and
// the known claims of its peers. A node with more demand than an even share
// raises its claim; when some node claims more than an even share, nodes with
// less demand lower theirs. Claims are sent in messages on the topic "usage",
// which carry changed claims and periodically repeat those that are not even.
//
// # Bound
//
// A node applies a lowered claim at once and announces it; the peers apply it
// on receipt. It applies a raised claim only Holdoff after it has announced it.
// So, as long as messages arrive within Holdoff, no node uses a claim higher
// than the one that any peer knows of it, and therefore
//
//	sum of claim(i) / (claim(i) + sum of claims known to i) <= sum of claim(i) / sum of claims = 1
//
// at any time: the nodes together admit no more than the cap.
//
// A node reserves an even share of the cap, 1/N of the N nodes that it knows,
// for each peer that membership has declared dead, since the peer may be alive
// on the other side of a partition. The shares of a clean partition then sum to
// 1 again. Between the start of a partition and the declaration, each side may
// use up to the whole cap: at most k times the cap for a partition into k
// sides, so twice for two. A node whose messages are lost in one direction
// counts as a side of its own. A node that joins adds at most an even share
// until it has received the others' claims.
//
// A node is removed, and its share given to the others, when it leaves or the
// platform no longer lists it; it never expires by time alone.
package usage
