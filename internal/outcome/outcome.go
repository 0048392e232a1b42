// Package outcome holds the three things that can be true of a request that
// did not end well, and the typed errors that carry them to the caller.
package outcome

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Header is the response header and trailer that tells the outcome.
const Header = "Chervilloom-Outcome"

// Outcome says whether the request ran at its endpoint.
type Outcome string

// The outcomes. NotRun is a promise: no byte of the request left for an
// endpoint, or the endpoint itself said that it did not run it.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Kind is a class of failure that a caller can act on.
type Kind string

// The kinds of failure.
const (
	BadRequest       Kind = "bad_request"       // malformed body, header or path
	TooLarge         Kind = "too_large"         // body over the limit
	Unauthorised     Kind = "unauthorised"      // key missing or unknown
	UnknownModel     Kind = "unknown_model"     // no such model, adapter or version in the configuration
	UnknownService   Kind = "unknown_service"   // no such plain service in the configuration
	NoCapacity       Kind = "no_capacity"       // nothing that carries the target serves now
	OverLimit        Kind = "over_limit"        // the organisation is over its share
	Overloaded       Kind = "overloaded"        // the queue is full or the deadline cannot be met
	DeadlineExceeded Kind = "deadline_exceeded" // the deadline passed
	EndpointFailed   Kind = "endpoint_failed"   // the endpoint failed before an answer began
	AnswerCut        Kind = "answer_cut"        // the answer began and did not end
	StillRunning     Kind = "still_running"     // the first try of this key is in progress
	KeyReused        Kind = "key_reused"        // the key came with another body
	HolderLost       Kind = "holder_lost"       // the node that held the key's state is gone
	PlatformDown     Kind = "platform_down"     // the table is needed and cannot be reached
	ShuttingDown     Kind = "shutting_down"     // this node takes no new work
	CallerGone       Kind = "caller_gone"       // the caller left
	Quarantined      Kind = "quarantined"       // endpoints end when they run the request
	Suspect          Kind = "suspect"           // endpoints ended under the request, and another run of it is under way
	Internal         Kind = "internal"          // a fault of the node
)

// Error is a failure as a caller sees it.
type Error struct {
	Kind       Kind
	Outcome    Outcome
	Message    string        // what is wrong
	Remedy     string        // what the caller can do about it
	RetryAfter time.Duration // 0: no advice
	Cause      error         // for logs only; never shown to callers
}

// New returns an error of kind k whose request has outcome o.
func New(k Kind, o Outcome, message, remedy string) *Error {
	return &Error{Kind: k, Outcome: o, Message: message, Remedy: remedy}
}

// WithCause returns a copy of e that carries err for the logs.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// After returns a copy of e that tells the caller to come back in d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error returns the message, the remedy and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Outcome, e.Message, e.Remedy)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns err as an *Error. An error of another type becomes Internal with
// outcome Unknown: nothing is known of what it left behind.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, Unknown, "the node failed", "ask the operator to look up the request id").WithCause(err)
}

var statusOf = map[Kind]int{
	BadRequest: http.StatusBadRequest, TooLarge: http.StatusRequestEntityTooLarge,
	Unauthorised: http.StatusUnauthorized, UnknownModel: http.StatusNotFound,
	UnknownService: http.StatusNotFound, NoCapacity: http.StatusServiceUnavailable,
	OverLimit: http.StatusTooManyRequests, Overloaded: http.StatusServiceUnavailable,
	DeadlineExceeded: http.StatusGatewayTimeout, EndpointFailed: http.StatusBadGateway,
	AnswerCut: http.StatusBadGateway, StillRunning: http.StatusConflict,
	KeyReused: http.StatusUnprocessableEntity, HolderLost: http.StatusConflict,
	PlatformDown: http.StatusServiceUnavailable, ShuttingDown: http.StatusServiceUnavailable,
	CallerGone: 499, Quarantined: http.StatusUnprocessableEntity,
	Suspect: http.StatusServiceUnavailable, Internal: http.StatusInternalServerError,
}

// Status returns the HTTP status of the kind.
func (k Kind) Status() int {
	if s, ok := statusOf[k]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON form of an error, under the key "error" as in the usual
// completions API.
type Body struct {
	Error struct {
		Type      Kind    `json:"type"`
		Outcome   Outcome `json:"outcome"`
		Message   string  `json:"message"`
		Remedy    string  `json:"remedy"`
		RequestID string  `json:"request_id"`
	} `json:"error"`
}

// JSON returns the error's body for the request with the given id.
func (e *Error) JSON(requestID string) []byte {
	var b Body
	b.Error.Type, b.Error.Outcome = e.Kind, e.Outcome
	b.Error.Message, b.Error.Remedy = e.Message, e.Remedy
	b.Error.RequestID = requestID
	out, err := json.Marshal(b)
	if err != nil { // every field is a string
		panic(err)
	}
	return out
}

// SetHeaders writes the outcome and Retry-After (whole seconds, rounded up).
func (e *Error) SetHeaders(h http.Header) {
	h.Set(Header, string(e.Outcome))
	if e.RetryAfter > 0 {
		s := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(s, 10))
	}
}
