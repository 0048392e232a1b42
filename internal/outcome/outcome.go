// Package outcome defines the possible execution states of a failed request, and the typed
// errors that report them to the caller.
package outcome

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Header is the response header and trailer that contains the outcome.
const Header = "Chervilloom-Outcome"

// Outcome states whether the request was executed at its endpoint.
type Outcome string

// The outcomes. NotRun is guaranteed: no byte of the request was sent to an endpoint, or
// the endpoint itself reported that it did not execute the request.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Kind is a class of failure to which a caller can react.
type Kind string

// The failure kinds.
const (
	BadRequest       Kind = "bad_request"       // malformed body, header or path
	TooLarge         Kind = "too_large"         // body over the limit
	Unauthorised     Kind = "unauthorised"      // key missing or unknown
	UnknownModel     Kind = "unknown_model"     // no such model, adapter or version in the configuration
	UnknownService   Kind = "unknown_service"   // no such plain service in the configuration
	NoCapacity       Kind = "no_capacity"       // no endpoint in service for the target
	OverLimit        Kind = "over_limit"        // the organisation has exceeded its share
	Overloaded       Kind = "overloaded"        // the queue is full or the deadline cannot be met
	DeadlineExceeded Kind = "deadline_exceeded" // the deadline passed
	EndpointFailed   Kind = "endpoint_failed"   // the endpoint failed before an answer began
	AnswerCut        Kind = "answer_cut"        // the answer began and was truncated
	StillRunning     Kind = "still_running"     // the first attempt with this key is in progress
	KeyReused        Kind = "key_reused"        // the key was used with another body
	HolderLost       Kind = "holder_lost"       // the node with the key's state is gone
	PlatformDown     Kind = "platform_down"     // the table is required and unreachable
	ShuttingDown     Kind = "shutting_down"     // this node accepts no new work
	CallerGone       Kind = "caller_gone"       // the caller closed the connection
	Quarantined      Kind = "quarantined"       // endpoints crash when they execute the request
	Suspect          Kind = "suspect"           // endpoints crashed during the request, and another execution is in progress
	Internal         Kind = "internal"          // internal error of the node
)

// Error is a failure as reported to a caller.
type Error struct {
	Kind       Kind
	Outcome    Outcome
	Message    string        // what is wrong
	Remedy     string        // what the caller can do about it
	RetryAfter time.Duration // 0: not sent
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

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
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

// FromError returns err as an *Error. An error of another type becomes Internal with outcome
// Unknown, because its effects are not known.
func FromError(err error) *Error {
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
	if err != nil { // unreachable: every field is a string
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
