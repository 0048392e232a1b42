// Package answer represents an answer on its way back to the caller, in the same form
// whether the next hop is the caller or another node.
//
// An answer is complete only if Finish was called with a complete End. A stream that ends
// without it was truncated, even if its last read returned no error: the connection of a
// crashed engine may end with a plain EOF.
package answer

import (
	"net/http"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// Head contains the status and headers of an answer.
type Head struct {
	Status     int              `cbor:"1,keyasint"`
	Header     http.Header      `cbor:"2,keyasint,omitempty"`
	Stream     bool             `cbor:"3,keyasint,omitempty"` // frames are server-sent events
	Endpoint   fleet.VM         `cbor:"4,keyasint,omitempty"`
	Group      fleet.GroupID    `cbor:"5,keyasint,omitempty"`
	Generation fleet.Generation `cbor:"6,keyasint,omitempty"`
}

// Frame is a part of an answer: one event of a stream, otherwise a section of the body.
type Frame struct {
	Offset uint64 `cbor:"1,keyasint"`           // of the event in its stream, or of the first byte in the body
	ID     string `cbor:"2,keyasint,omitempty"` // event id from which the caller may resume; streams only
	Data   []byte `cbor:"3,keyasint"`
}

// End is the final result of an answer.
type End struct {
	Complete bool           `cbor:"1,keyasint"`
	Frames   uint64         `cbor:"2,keyasint"` // number of events; streams only
	Bytes    uint64         `cbor:"3,keyasint"`
	Hash     uint64         `cbor:"4,keyasint"` // xxhash64 over all Data in order
	Error    *outcome.Error `cbor:"-"`          // set if the answer is not complete
}

// Writer receives one answer: Start once, Frame any number of times in order of offset,
// Finish once. Finish without Start reports a failure before the answer began. Calls must
// not overlap. An error from Start or Frame means that the receiver behind the writer is
// gone; Finish is called nevertheless.
type Writer interface {
	Start(Head) error
	Frame(Frame) error
	Finish(End)
}
