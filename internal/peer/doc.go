// Package peer connects the nodes to each other over QUIC with mutual TLS. It
// carries three kinds of traffic: messages (unreliable, one way), calls
// (request and response) and relayed requests (a caller's request that another
// node answers).
//
// # Links
//
// A node opens at most two connections to another node, each on first use: a
// control connection for messages and calls, and a relay connection for relayed
// requests, so that a burst of answers does not delay messages. A connection is
// used only after both sides have verified the other's certificate and read the
// other's Hello. The dialler checks that the certificate names the VM it
// dialled. TLS sessions are never resumed and 0-RTT is not used, so a replayed
// packet cannot run a request again.
//
// # Outcome of a relayed request
//
// The receiver sends Ready when the whole request has arrived and runs the
// request only after the Commit frame. A request whose Commit was never written
// to the connection has therefore not run, however much of it was sent. After
// Commit was written, only the receiver's End frame can report "not run". If
// the link breaks before End, the outcome is unknown, or the answer is cut if
// it had started.
//
// A non-idempotent request waits for Ready before its Commit. This costs one
// round trip, but the sender can report "not run", and retry on another node,
// if the receiver turns out to be dead, partitioned or paused. An idempotent
// request sends both at once; for it, a missing Ready only detects an
// unresponsive node early.
//
// An answer is complete only if its offsets are contiguous and the counts and
// the hash in the End frame match the received data. A stream that ends without
// End is cut, even if it ends with a clean EOF.
package peer
