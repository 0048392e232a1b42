package intake

// waiting is what an open connection waits for.
type waiting int

const (
	forFirstByte   waiting = iota // of the first request
	forHead                       // the rest of a head
	forBody                       // the rest of a body
	forServer                     // the response from this node or an endpoint
	forReader                     // the client to take its response
	forNextRequest                // the client's next request
	forClose                      // the client to close, after a refusal
)

// isForHead reports whether a request or the rest of its head is awaited.
func (w waiting) isForHead() bool { return w == forFirstByte || w == forHead || w == forNextRequest }

// isForRequest reports whether a request or the rest of it is awaited.
func (w waiting) isForRequest() bool { return w.isForHead() || w == forBody }

// String returns the name of what is awaited, as in logs and metrics.
func (w waiting) String() string {
	return [...]string{"silent", "head", "body", "server", "unread", "idle", "closing"}[w]
}
