// Package forward proxies client requests to endpoints. One loop of attempts serves every
// kind of request: pick an endpoint, send the request, classify the response, then retry,
// give up or finish. The decision between two attempts is a pure function (Next); the loop
// does the I/O.
package forward

import (
	"net/http"
	"time"

	"chervilloom/internal/backpressure"
	"chervilloom/internal/outcome"
	"chervilloom/internal/roster"
)

// Request contains the parts of a client's request that routing and retries depend on.
type Request struct {
	ID     string // unique for each attempt of the client
	Host   string
	Path   string // as sent, without the query
	Target string // path and query as sent
	Key    string // API key; empty: none
	Model  string
	Prompt int           // prompt length in tokens
	Answer int           // maximum answer length in tokens; 0: not given
	Hint   int           // the client's estimate of the answer length in tokens; 0: none
	Resume string        // id of the last event that the client received
	Left   time.Duration // the client's remaining timeout; 0: not given
}

// Hop contains the values that an attempt sends to its endpoint in addition to the
// client's own headers.
type Hop struct {
	Expect       roster.ID     // the intended endpoint; any other one refuses the request
	Left         time.Duration // time until the client's deadline
	Organisation string        // empty: none
	Resume       string        // resume after the event with this id; empty: from the beginning
	Urgency      int           // 0 is the most urgent; NoUrgency: not sent
}

// NoUrgency leaves the order of requests to the endpoint.
const NoUrgency = -1

// Reply is the information about an attempt in the header of an endpoint's response.
type Reply struct {
	NotRun     bool                 // the request has not run there and will not
	Ours       bool                 // the response carries this request's id
	Signed     bool                 // the response carries an endpoint's stamp
	Encoded    bool                 // the body has a Content-Encoding, so an intermediary changed it
	HasLoad    bool                 // Running and Waiting are set
	Running    int                  // requests running at the endpoint
	Waiting    int                  // requests queued at the endpoint
	Culprit    string               // the group member that caused the refusal; empty: not named
	Other      bool                 // another endpoint has the address now
	Pressure   backpressure.Signals // the endpoint's rate limit and backoff
	Unreadable error                // names the rate limit and backoff headers that cannot be parsed; nil: none
}

// Codec translates between this package and the protocols of clients and endpoints.
type Codec interface {
	// Read decodes a client's request.
	Read(r *http.Request) (Request, error)
	// Outbound returns the header of an attempt: the client's end-to-end headers and
	// the values of hop.
	Outbound(in http.Header, req *Request, hop Hop) http.Header
	// Judge reads the header of an endpoint's response.
	Judge(req *Request, resp *http.Response) Reply
	// Relay copies the end-to-end headers of a response.
	Relay(dst, src http.Header)
	// Refuse writes an error of the proxy itself as the response.
	Refuse(w http.ResponseWriter, requestID string, e *outcome.Error)
}
