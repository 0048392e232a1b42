// Package usage shares the organisations' rate caps between the nodes without a
// coordinator.
//
// A cap holds over all nodes together. Each node has a claim on each cap, 1 for
// an even part; its share is its claim over the sum of its own claim and what
// it believes of the others'. A node whose callers ask for more than an even
// part raises its claim; when somebody claims more than an even part, nodes
// whose callers ask for less lower theirs. Claims travel in messages of the
// topic "usage" that hold only what changed, and now and then what is not an
// even part.
//
// # Bound
//
// A node lowers its claim for itself at once and tells the others, who act on
// it when they hear. It raises its claim for itself only Holdoff after it told
// the others. So, as long as messages arrive within Holdoff, no node uses a
// claim higher than what any other believes of it, and therefore
//
//	sum of claim(i) / (claim(i) + sum of beliefs of i) <= sum of claim(i) / sum of claims = 1
//
// at every moment: the nodes together admit no more than the cap.
//
// Cut off from a node that membership has declared dead, a node leaves an even
// part of the cap to it, 1/N of the N nodes that it knows, whether it died or
// lives on the other side. The parts of a clean split then sum to 1 again. In
// between, from the cut until membership has declared the other side dead, each
// part of the split may use up to the whole cap: at most k times the cap for a
// split into k parts, so twice for two. A node that nobody hears, because its
// messages are lost in one direction, counts as a part of its own. A node that
// joins adds at most an even part until it has heard the others.
//
// A node is forgotten, and its part given to the others, when it leaves or the
// platform no longer lists it; time alone does not forget it.
package usage
