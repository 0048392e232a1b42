// Package request holds one caller's request as it goes through the filters of
// the request path: accept, identify, admit, route, dispatch, relay, account.
package request

import (
	"net/http"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// Class is the lane that a request goes through.
type Class string

// The classes. Lookups never queue behind model calls.
const (
	ClassLookup Class = "lookup" // a plain service call that may be repeated
	ClassCall   Class = "call"   // a plain service call that may not be repeated
	ClassModel  Class = "model"  // a model call
)

// Stage names the filter at which the next node takes up a request that a node
// passed on.
type Stage string

// The stages at which a request may change nodes.
const (
	// StageKey: the receiver holds the state of the request's key or ticket.
	StageKey Stage = "key"
	// StageDispatch: the sender has admitted the request; the receiver sends it
	// to an endpoint of its own availability zone and passes it no further.
	StageDispatch Stage = "dispatch"
)

// Request is one caller's request. It is written by accept and identify, and
// read-only afterwards.
type Request struct {
	ID           string // unique; given back to the caller in Chervilloom-Request
	TraceParent  string // W3C trace context of the span that the next hop continues
	Organisation fleet.Organisation
	Class        Class
	Idempotent   bool          // false: runs at most once
	Key          string        // caller's Idempotency-Key; empty: none
	Ticket       string        // caller's Chervilloom-Ticket; empty: none
	Priority     int           // larger goes first in the engines
	Arrived      clock.Instant // on the node that accepted it
	Deadline     clock.Instant // on this node's clock
	Target       fleet.Target  // ClassModel only
	Service      string        // ClassLookup and ClassCall only
	Method       string
	Path         string      // as the endpoint shall see it, query included
	Header       http.Header // end-to-end headers only
	Body         []byte      // whole; bounded by the settings
	Stream       bool        // the caller wants server-sent events
	Prefix       []uint64    // hashes of the prompt's growing prefixes, shortest first
	PromptTokens int         // estimate
	MaxTokens    int         // bound on the answer; 0: none given
	ResumeID     string      // Last-Event-ID of a cut stream; empty: a new request
	Stage        Stage
	Hops         int      // nodes passed through before this one
	From         fleet.VM // node that passed the request on; empty: a caller did
}
