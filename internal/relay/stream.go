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

// The errors of a stream. All of them leave the stream cut; whether it can be
// resumed is told by Resumable.
var (
	errNotWhole  = errors.New("relay: the connection ended before the stream's end; resume it from the last event")
	errGap       = errors.New("relay: events are missing; resume the stream from the last event")
	errCount     = errors.New("relay: the number of tokens differs from the engine's count; ask anew")
	errMalformed = errors.New("relay: an event is malformed; ask anew")
	errForeign   = errors.New("relay: an event belongs to another stream; ask anew")
	errRefused   = errors.New("relay: the engine reported an error within the stream; ask anew")
)

// doneMark is the data of the event that ends a stream.
var doneMark = []byte("[DONE]")

// Stream follows one stream of tokens over any number of connections.
type Stream struct {
	ref      StreamRef
	prefix   string
	next     uint64 // offset of the next event
	finished bool   // the event with the count was seen, and the count is right
	whole    bool
}

// NewStream returns a stream whose next event has the offset next.
func NewStream(ref StreamRef, next uint64) *Stream {
	return &Stream{ref: ref, prefix: ref.prefix(), next: next}
}

// Ref returns where the stream runs.
func (s *Stream) Ref() StreamRef { return s.ref }

// Next returns the offset of the next event.
func (s *Stream) Next() uint64 { return s.next }

// From returns the offset to resume at: that of the last event that was read,
// once more. Asked for the event after the last one, an engine knows none, and
// only the event itself tells that it was the last.
func (s *Stream) From() uint64 { return max(s.next, 1) - 1 }

// Whole reports whether the stream's end was seen.
func (s *Stream) Whole() bool { return s.whole }

// Resumable reports whether a stream that failed with err may be asked for
// again from its next event.
func Resumable(err error) bool {
	for _, final := range []error{errCount, errMalformed, errForeign, errRefused, ErrTooLong} {
		if errors.Is(err, final) {
			return false
		}
	}
	return true
}

// Read reads one event and returns it as a frame. ok is false for events that
// are not passed on: the end mark and those that came before. io.EOF means
// that the stream is whole; any other error means that it is cut here.
func (s *Stream) Read(r *Reader) (f answer.Frame, ok bool, err error) {
	if s.whole {
		return answer.Frame{}, false, io.EOF
	}
	ev, err := r.Next()
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		// A dead engine's connection may end in a plain EOF between two
		// events. Only the end mark after a matching count makes it whole.
		return answer.Frame{}, false, errNotWhole
	}
	if err != nil {
		return answer.Frame{}, false, err
	}
	return s.take(ev)
}

func (s *Stream) take(ev Event) (answer.Frame, bool, error) {
	if ev.Name == "error" {
		return answer.Frame{}, false, fmt.Errorf("%w: %.200q", errRefused, ev.Data)
	}
	if bytes.Equal(ev.Data, doneMark) {
		return answer.Frame{}, false, s.end()
	}
	offset, err := s.offsetOf(ev)
	if err != nil {
		return answer.Frame{}, false, err
	}
	if offset < s.next {
		return answer.Frame{}, false, s.recheck(ev.Data, offset)
	}
	if offset > s.next {
		return answer.Frame{}, false, fmt.Errorf("%w: got %d, want %d", errGap, offset, s.next)
	}
	if err := s.check(ev.Data, offset); err != nil {
		return answer.Frame{}, false, err
	}
	s.next++
	return answer.Frame{Offset: offset, ID: s.id(offset), Data: ev.Data}, true, nil
}

func (s *Stream) end() error {
	if !s.finished {
		return fmt.Errorf("%w: the end mark came before the count", errNotWhole)
	}
	s.whole = true
	return io.EOF
}

// offsetOf reads the event's offset from its id, "<stream>:<offset>". An event
// of another stream must never be passed on: it is another caller's answer.
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

// recheck looks at an event that was passed on before, perhaps by another node.
func (s *Stream) recheck(data []byte, offset uint64) error {
	if s.finished || offset != s.next-1 {
		return nil
	}
	return s.check(data, offset)
}

// check refuses an event after the last one, and a last one whose count is
// not the number of events before it: each holds one token.
func (s *Stream) check(data []byte, offset uint64) error {
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

// mayFinish reports whether the event could be the last one, without parsing it.
func mayFinish(data []byte) bool {
	return bytes.Contains(data, []byte(`"usage"`))
}

func (s *Stream) id(offset uint64) string {
	b := make([]byte, 0, len(s.prefix)+20)
	b = append(b, s.prefix...)
	return string(strconv.AppendUint(b, offset, 10))
}
