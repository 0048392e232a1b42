package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"chervilloom/internal/answer"
	"chervilloom/internal/engine"
)

// The errors of a stream. Each means that the stream is incomplete; IsResumable reports
// whether it can be resumed.
var (
	errIncomplete = errors.New("relay: the connection ended before the stream's end; resume it from the last event")
	errGap        = errors.New("relay: events are missing; resume the stream from the last event")
	errCount      = errors.New("relay: the number of tokens differs from the engine's count; send the request again")
	errMalformed  = errors.New("relay: an event is malformed; send the request again")
	errForeign    = errors.New("relay: an event belongs to another stream; send the request again")
	errEngine     = errors.New("relay: the engine reported an error within the stream; send the request again")
)

// doneMark is the data of the event that ends a stream.
var doneMark = []byte("[DONE]")

// Stream tracks the state of one token stream over any number of connections.
type Stream struct {
	ref        StreamRef
	prefix     string
	nextOffset uint64 // offset of the next event
	finished   bool   // the event with the token count was read, and the count is correct
	complete   bool   // the end mark was read
}

// NewStream returns a stream whose next event has the offset next.
func NewStream(ref StreamRef, next uint64) *Stream {
	return &Stream{ref: ref, prefix: ref.prefix(), nextOffset: next}
}

// Ref returns where the stream runs.
func (s *Stream) Ref() StreamRef { return s.ref }

// NextOffset returns the offset of the next event.
func (s *Stream) NextOffset() uint64 { return s.nextOffset }

// ResumeOffset returns the offset to resume at: that of the last event that was read. The event is
// requested again because it may be the last one of the stream, which only its content
// shows; an engine has no event after the last one.
func (s *Stream) ResumeOffset() uint64 { return max(s.nextOffset, 1) - 1 }

// IsComplete reports whether the stream was read to its end mark.
func (s *Stream) IsComplete() bool { return s.complete }

// IsResumable reports whether a stream that failed with err can be resumed.
func IsResumable(err error) bool {
	for _, final := range []error{errCount, errMalformed, errForeign, errEngine, ErrTooLong} {
		if errors.Is(err, final) {
			return false
		}
	}
	return true
}

// Read reads one event and returns it as a frame. ok is false for an event that is not to be
// relayed: the end mark, or one that was relayed before. io.EOF means that the stream is
// complete; any other error means that it was interrupted here.
func (s *Stream) Read(r *Reader) (f answer.Frame, ok bool, err error) {
	if s.complete {
		return answer.Frame{}, false, io.EOF
	}
	ev, err := r.Next()
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		// The connection of a crashed engine may end in a plain EOF between two
		// events. A stream is complete only after a matching count and the end
		// mark.
		return answer.Frame{}, false, errIncomplete
	}
	if err != nil {
		return answer.Frame{}, false, err
	}
	return s.verify(ev)
}

// verify checks an event against the state of the stream, advances it and returns the event as
// a frame, as Read does.
func (s *Stream) verify(ev Event) (answer.Frame, bool, error) {
	if ev.Name == "error" {
		return answer.Frame{}, false, fmt.Errorf("%w: %.200q", errEngine, ev.Data)
	}
	if bytes.Equal(ev.Data, doneMark) {
		return answer.Frame{}, false, s.handleEndMark()
	}
	offset, err := s.offsetOf(ev)
	if err != nil {
		return answer.Frame{}, false, err
	}
	if offset < s.nextOffset {
		return answer.Frame{}, false, s.verifyRepeated(ev.Data, offset)
	}
	if offset > s.nextOffset {
		return answer.Frame{}, false, fmt.Errorf("%w: got %d, want %d", errGap, offset, s.nextOffset)
	}
	if err := s.checkCount(ev.Data, offset); err != nil {
		return answer.Frame{}, false, err
	}
	s.nextOffset++
	return answer.Frame{Offset: offset, ID: s.eventID(offset), Data: ev.Data}, true, nil
}

// handleEndMark handles the end mark. It returns io.EOF if the token count was read before.
func (s *Stream) handleEndMark() error {
	if !s.finished {
		return fmt.Errorf("%w: the end mark came before the count", errIncomplete)
	}
	s.complete = true
	return io.EOF
}

// offsetOf parses the event's offset from its id, "<stream>:<offset>". An event of another
// stream must never be relayed: it is part of another caller's response.
func (s *Stream) offsetOf(ev Event) (uint64, error) {
	stream, offset, _ := strings.Cut(ev.ID, ":")
	if stream != s.ref.Stream {
		return 0, fmt.Errorf("%w: id %.80q is not of stream %q", errForeign, ev.ID, s.ref.Stream)
	}
	n, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: id %.80q has no offset", errMalformed, ev.ID)
	}
	return n, nil
}

// verifyRepeated verifies an event that was relayed before, perhaps by another node. It matters
// only for the newest one, which may be the last event of the stream.
func (s *Stream) verifyRepeated(data []byte, offset uint64) error {
	if s.finished || offset != s.nextOffset-1 {
		return nil
	}
	return s.checkCount(data, offset)
}

// checkCount fails with errCount for an event after the last one, and for a last one whose token
// count differs from the number of events before it: each contains one token.
func (s *Stream) checkCount(data []byte, offset uint64) error {
	if s.finished {
		return fmt.Errorf("%w: an event follows the last one", errCount)
	}
	if !mayFinish(data) {
		return nil
	}
	var c engine.ChatChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return nil
	}
	if c.Usage == nil || uint64(c.Usage.CompletionTokens) != offset {
		return fmt.Errorf("%w: %d events before the last one", errCount, offset)
	}
	s.finished = true
	return nil
}

// mayFinish reports, without parsing the event, whether it could be the last one.
func mayFinish(data []byte) bool {
	return bytes.Contains(data, []byte(`"usage"`))
}

// eventID returns the event id for the offset.
func (s *Stream) eventID(offset uint64) string {
	b := make([]byte, 0, len(s.prefix)+20)
	b = append(b, s.prefix...)
	return string(strconv.AppendUint(b, offset, 10))
}
