// Package forward takes a client's request to an endpoint and the answer back.
// One loop of attempts serves every kind of request: pick an endpoint, send,
// judge what came back, and go on, give up or be done. What is decided between
// two attempts is pure (Next); the loop does the I/O.
package forward

import (
	"net/http"
	"time"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/outcome"
	"chervilloom/internal/roster"
)

// Request is a client's request as far as decisions need it.
type Request struct {
	ID     string // of this client attempt
	Host   string
	Path   string // as sent, without the query
	Target string // path and query as sent
	Key    string // empty: none
	Model  string
	Prompt int           // tokens
	Answer int           // tokens at most; 0: not told
	Hint   int           // the client's guess of the answer's tokens; 0: none
	Resume string        // id of the last event that the client has
	Left   time.Duration // how long the client waits; 0: not told
}

// Hop is what one attempt tells its endpoint beside the client's own headers.
type Hop struct {
	Expect       roster.ID     // any other endpoint refuses the request
	Left         time.Duration // what is left of the client's time
	Organisation string        // empty: none
	Resume       string        // go on after this event; empty: from the beginning
	Urgency      int           // 0 is the most urgent; NoUrgency: none is told
}

// NoUrgency leaves the order to the endpoint.
const NoUrgency = -1

// Reply is what an endpoint says of an attempt in its answer's head.
type Reply struct {
	NotRun  bool   // the request didn't run there and won't
	Ours    bool   // the answer names this request
	Signed  bool   // it bears an endpoint's signature
	Encoded bool   // the body was changed on the way
	HasLoad bool   // Running and Waiting are told
	Running int    // requests that run there
	Waiting int    // requests that wait there
	Culprit string // the endpoint that made a group refuse; empty: not told
	Other   bool   // another endpoint has the address now
	// Pressure is what it says of how much it takes. Unreadable names the headers of that
	// which can't be read; nil: none.
	Pressure   backpressure.Signals
	Unreadable error
}

// Codec translates between the project and what clients and endpoints speak.
type Codec interface {
	// Read decodes a client's request.
	Read(r *http.Request) (Request, error)
	// Outbound returns the header of an attempt: the client's own end-to-end
	// headers and what hop adds.
	Outbound(in http.Header, req *Request, hop Hop) http.Header
	// Judge reads the head of an endpoint's answer.
	Judge(req *Request, resp *http.Response) Reply
	// Relay copies the end-to-end headers of an answer.
	Relay(dst, src http.Header)
	// Refuse answers a request with an error of the system itself.
	Refuse(w http.ResponseWriter, requestID string, e *outcome.Error)
}
