// Package request represents one caller's request on its path through the filters: accept,
// identify, admit, route, dispatch, relay, account.
package request

import (
	"net/http"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Class is the admission class of a request.
type Class string

// The classes. Lookups never queue behind model calls.
const (
	ClassLookup Class = "lookup" // an idempotent call to a plain service
	ClassCall   Class = "call"   // a non-idempotent call to a plain service
	ClassModel  Class = "model"  // a model call
)

// Stage is the filter at which the next node continues a forwarded request.
type Stage string

// The stages at which a request may be forwarded to another node.
const (
	// StageKey: the receiver has the state of the request's key or ticket.
	StageKey Stage = "key"
	// StageDispatch: the sender has admitted the request; the receiver sends it to an
	// endpoint in its own availability zone and does not forward it.
	StageDispatch Stage = "dispatch"
)

// Request is one caller's request. It is written by the accept and identify filters and
// read-only afterwards.
type Request struct {
	ID           string // unique; returned to the caller in Chervilloom-Request
	TraceParent  string // W3C trace context of the span that the next hop continues
	Organisation fleet.Organisation
	Class        Class
	Idempotent   bool          // false: executed at most once
	Key          string        // caller's Idempotency-Key; empty: none
	Ticket       string        // caller's Chervilloom-Ticket; empty: none
	Priority     int           // the engines prefer larger values
	Arrived      clock.Instant // time of arrival at the node that accepted it
	Deadline     clock.Instant // on this node's clock
	Target       fleet.Target  // ClassModel only
	Service      string        // ClassLookup and ClassCall only
	Method       string
	Path         string      // as sent to the endpoint, including the query
	Header       http.Header // end-to-end headers only
	Body         []byte      // complete; its size is limited by the settings
	Stream       bool        // the caller accepts server-sent events
	Prefix       []uint64    // hashes of the prompt's growing prefixes, shortest first
	PromptTokens int         // estimate
	MaxTokens    int         // limit on the answer; 0: not given
	ResumeID     string      // Last-Event-ID of a truncated stream; empty: a new request
	Stage        Stage
	Hops         int      // number of nodes passed before this one
	ForwardedBy  fleet.VM // node that forwarded the request; empty: received from a caller
}
