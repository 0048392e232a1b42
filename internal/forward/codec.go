// Package forward proxies client requests to endpoints. One loop of attempts serves every
// kind of request: pick an endpoint, send the request, classify the response, then retry,
// give up or finish. The decision between two attempts is a pure function (NextStep); the
// loop does the I/O.
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
	ID                   string // unique for each attempt of the client
	Host                 string
	Path                 string // as sent, without the query
	Target               string // path and query as sent
	APIKey               string // API key; empty: none
	Model                string
	PromptTokens         int           // prompt length in tokens
	MaxAnswerTokens      int           // maximum answer length in tokens; 0: not given
	ExpectedAnswerTokens int           // the client's estimate of the answer length in tokens; 0: none
	PromptParts          []string      // IDs of the parts of the prompt that other requests may share, each once
	LastEventID          string        // id of the last event that the client received
	TimeLeft             time.Duration // the client's remaining timeout; 0: not given
}

// Hop contains the values that an attempt sends to its endpoint in addition to the
// client's own headers.
type Hop struct {
	ExpectedEndpoint roster.ID     // the intended endpoint; any other one refuses the request
	TimeLeft         time.Duration // time until the client's deadline
	Organisation     string        // empty: none
	ResumeAfter      string        // resume after the event with this id; empty: from the beginning
	Urgency          int           // 0 is the most urgent; NoUrgency: not sent
}

// NoUrgency leaves the order of requests to the endpoint.
const NoUrgency = -1

// Reply is the information about an attempt in the header of an endpoint's response.
type Reply struct {
	NotRun             bool                 // the request has not run there and will not
	MatchesRequest     bool                 // the response carries this request's id
	OtherRequest       string               // the id of another request that the response carries; empty: none
	HasStamp           bool                 // the response carries an endpoint's stamp
	HasContentEncoding bool                 // the body has a Content-Encoding, so an intermediary changed it
	HasLoad            bool                 // Running and Waiting are set
	Running            int                  // requests running at the endpoint
	Waiting            int                  // requests queued at the endpoint
	CausingEndpoint    string               // the group member that caused the refusal; empty: not named
	ClaimsNotRun       bool                 // the status tells a client that the request has not run, whether or not NotRun is set
	IsMisdirected      bool                 // another endpoint has the address now; the request has not run
	Signals            backpressure.Signals // the endpoint's rate limit and backoff
	SignalsErr         error                // names the rate limit and backoff headers that cannot be parsed; nil: none
}

// Codec translates between this package and the protocols of clients and endpoints.
type Codec interface {
	// ReadRequest decodes a client's request.
	ReadRequest(r *http.Request) (Request, error)
	// OutboundHeader returns the header of an attempt: the client's end-to-end headers and
	// the values of hop.
	OutboundHeader(in http.Header, req *Request, hop Hop) http.Header
	// ReadReply reads the header of an endpoint's response.
	ReadReply(req *Request, resp *http.Response) Reply
	// CopyHeader copies the end-to-end headers of a response.
	CopyHeader(dst, src http.Header)
	// WriteError writes an error of the proxy itself as the response.
	WriteError(w http.ResponseWriter, requestID string, e *outcome.Error)
}
