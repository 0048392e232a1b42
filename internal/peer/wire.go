package peer

import (
	"net/http"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// protocolVersion is sent in the Hello; a peer with another version is rejected.
const protocolVersion = 1

// helloFrame is the first frame on the first unidirectional stream of each side.
type helloFrame struct {
	Version int                    `cbor:"1,keyasint"`
	Node    fleet.Node             `cbor:"2,keyasint"`
	Zone    fleet.AvailabilityZone `cbor:"3,keyasint"`
}

// requestFrame is the header of a relayed request. Times are sent as durations
// because the clocks of two VMs are not comparable.
type requestFrame struct {
	ID           string             `cbor:"1,keyasint"`
	TraceParent  string             `cbor:"2,keyasint,omitempty"`
	Organisation fleet.Organisation `cbor:"3,keyasint"`
	Class        request.Class      `cbor:"4,keyasint"`
	Idempotent   bool               `cbor:"5,keyasint"`
	Key          string             `cbor:"6,keyasint,omitempty"`
	Ticket       string             `cbor:"7,keyasint,omitempty"`
	Priority     int                `cbor:"8,keyasint,omitempty"`
	Age          time.Duration      `cbor:"9,keyasint"`            // since the first node accepted the request
	Remaining    time.Duration      `cbor:"10,keyasint,omitempty"` // until the deadline; 0: no deadline
	Target       fleet.Target       `cbor:"11,keyasint"`
	Service      string             `cbor:"12,keyasint,omitempty"`
	Method       string             `cbor:"13,keyasint"`
	Path         string             `cbor:"14,keyasint"`
	Header       http.Header        `cbor:"15,keyasint,omitempty"`
	BodyBytes    int                `cbor:"16,keyasint"`
	BodyHash     uint64             `cbor:"17,keyasint"` // xxhash64
	Stream       bool               `cbor:"18,keyasint,omitempty"`
	Prefix       []uint64           `cbor:"19,keyasint,omitempty"`
	PromptTokens int                `cbor:"20,keyasint,omitempty"`
	MaxTokens    int                `cbor:"21,keyasint,omitempty"`
	ResumeID     string             `cbor:"22,keyasint,omitempty"`
	Stage        request.Stage      `cbor:"23,keyasint"`
	Hops         int                `cbor:"24,keyasint"` // number of nodes passed, including the sender
}

// endFrame terminates an answer. First, Frames, Bytes and Hash describe the
// data frames that were sent before it on this stream.
type endFrame struct {
	Whole  bool        `cbor:"1,keyasint"`
	First  uint64      `cbor:"2,keyasint"` // offset of the first data frame
	Frames uint64      `cbor:"3,keyasint"`
	Bytes  uint64      `cbor:"4,keyasint"`
	Hash   uint64      `cbor:"5,keyasint"` // xxhash64
	Error  *errorFrame `cbor:"6,keyasint,omitempty"`
}

// errorFrame is an outcome.Error without its cause, which is only logged on the
// node where the error occurred.
type errorFrame struct {
	Kind       outcome.Kind    `cbor:"1,keyasint"`
	Outcome    outcome.Outcome `cbor:"2,keyasint"`
	Message    string          `cbor:"3,keyasint"`
	Remedy     string          `cbor:"4,keyasint"`
	RetryAfter time.Duration   `cbor:"5,keyasint,omitempty"`
}

type callFrame struct {
	Method  string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

type replyFrame struct {
	Payload []byte      `cbor:"1,keyasint,omitempty"`
	Failure string      `cbor:"2,keyasint,omitempty"`
	Error   *errorFrame `cbor:"3,keyasint,omitempty"`
}

type messageFrame struct {
	Topic   string `cbor:"1,keyasint"`
	Payload []byte `cbor:"2,keyasint"`
}

func toErrorFrame(e *outcome.Error) *errorFrame {
	if e == nil {
		return nil
	}
	return &errorFrame{Kind: e.Kind, Outcome: e.Outcome, Message: e.Message, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
}

// toError returns the error that the other node sent. An unrecognised outcome
// is mapped to Unknown, so that it is never taken for "not run".
func (e *errorFrame) toError() *outcome.Error {
	o := e.Outcome
	if o != outcome.NotRun && o != outcome.Ran {
		o = outcome.Unknown
	}
	return &outcome.Error{Kind: e.Kind, Outcome: o, Message: e.Message, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
}

func toRequestFrame(r *request.Request, now clock.Instant, hash uint64) *requestFrame {
	f := &requestFrame{
		ID: r.ID, TraceParent: r.TraceParent, Organisation: r.Organisation, Class: r.Class,
		Idempotent: r.Idempotent, Key: r.Key, Ticket: r.Ticket, Priority: r.Priority,
		Age: now.Sub(r.Arrived), Target: r.Target, Service: r.Service, Method: r.Method,
		Path: r.Path, Header: r.Header, BodyBytes: len(r.Body), BodyHash: hash,
		Stream: r.Stream, Prefix: r.Prefix, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxTokens, ResumeID: r.ResumeID, Stage: r.Stage, Hops: r.Hops,
	}
	if r.Deadline != 0 {
		f.Remaining = r.Deadline.Sub(now)
	}
	return f
}

func (f *requestFrame) toRequest(from fleet.VM, now clock.Instant, body []byte) *request.Request {
	r := &request.Request{
		ID: f.ID, TraceParent: f.TraceParent, Organisation: f.Organisation, Class: f.Class,
		Idempotent: f.Idempotent, Key: f.Key, Ticket: f.Ticket, Priority: f.Priority,
		Arrived: now.Add(-f.Age), Target: f.Target, Service: f.Service, Method: f.Method,
		Path: f.Path, Header: f.Header, Body: body, Stream: f.Stream, Prefix: f.Prefix,
		PromptTokens: f.PromptTokens, MaxTokens: f.MaxTokens, ResumeID: f.ResumeID,
		Stage: f.Stage, Hops: f.Hops, ForwardedBy: from,
	}
	if f.Remaining != 0 {
		r.Deadline = now.Add(f.Remaining)
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	return r
}
