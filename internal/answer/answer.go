// Package answer holds an answer on its way back to the caller, in a form that
// is the same whether the next hop is the caller or another node.
//
// An answer is whole only when Finish was called with End.Whole set. A stream
// that ends without it is cut, however clean its last read looked: a dead
// engine's connection may end in a plain EOF.
package answer

import (
	"net/http"

	"chervilloom/internal/fleet"
	"chervilloom/internal/outcome"
)

// Head opens an answer.
type Head struct {
	Status     int              `cbor:"1,keyasint"`
	Header     http.Header      `cbor:"2,keyasint,omitempty"`
	Stream     bool             `cbor:"3,keyasint,omitempty"` // frames are server-sent events
	Endpoint   fleet.VM         `cbor:"4,keyasint,omitempty"`
	Group      fleet.GroupID    `cbor:"5,keyasint,omitempty"`
	Generation fleet.Generation `cbor:"6,keyasint,omitempty"`
}

// Frame is a piece of an answer. In a stream it is one event; otherwise it is a
// run of body bytes.
type Frame struct {
	Offset uint64 `cbor:"1,keyasint"`           // of the event in its stream, or of the first byte in the body
	ID     string `cbor:"2,keyasint,omitempty"` // event id that the caller may resume from; streams only
	Data   []byte `cbor:"3,keyasint"`
}

// End closes an answer.
type End struct {
	Whole  bool           `cbor:"1,keyasint"`
	Frames uint64         `cbor:"2,keyasint"` // events of a stream
	Bytes  uint64         `cbor:"3,keyasint"`
	Hash   uint64         `cbor:"4,keyasint"` // xxhash64 over all Data in order
	Error  *outcome.Error `cbor:"-"`          // set when not Whole
}

// Writer takes one answer: Start once, Frame any number of times in order of
// offset, Finish once. Finish without Start tells a failure before any answer
// began. Calls do not overlap. An error from Start or Frame means that whoever
// is behind the writer has left; Finish is called all the same.
type Writer interface {
	Start(Head) error
	Frame(Frame) error
	Finish(End)
}
