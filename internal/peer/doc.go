// Package peer links the nodes to each other over QUIC with mutual TLS. It
// carries three things: messages (lossy, one way), calls (one answer each) and
// relayed requests (a request of a caller that another node answers).
//
// # Links
//
// Two connections at most go from one node to another, each dialled at its
// first use: one for messages and calls, one for relayed requests, so that a
// burst of answers delays no message. A connection is used only after both
// sides have verified the other's certificate and read the other's Hello. The
// dialler checks that the certificate names the VM that it meant to reach.
// Sessions are never resumed and no data is sent before the handshake is over:
// a recorded packet can't run a request again.
//
// # What is true of a relayed request
//
// The receiver says Ready when the whole request has arrived, and runs it only
// after the Commit frame. So a request whose Commit was never handed to the
// connection has not run, however much of it left. Once Commit was handed over,
// only the other node's End frame can say "not run"; a link that breaks without
// it leaves the request unknown, or the answer cut when it had begun.
//
// A request that may not be repeated waits for Ready before its Commit: a round
// trip is the price for being able to say "not run", and to try elsewhere, when
// the other node turns out to be dead, cut off or paused. One that may be
// repeated sends both at once; for it Ready only shows early that nobody answers.
//
// An answer is whole only when every offset followed the one before and the End
// frame's counts and hash equal those of what arrived. A stream that ends
// without End is cut, also when it ends in a clean EOF.
package peer
