package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 256 << 10

var errEventTooLong = errors.New("forward: an event of the stream is too long")

// eventReader cuts a stream into whole events. A stream that breaks off in the
// middle of an event never yields that part: what the client has received must
// end where another endpoint goes on.
type eventReader struct {
	br *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	const size = 2 << 10
	return &eventReader{br: bufio.NewReaderSize(r, size)}
}

// next returns the bytes of the next whole event, its blank line included, and
// its id (empty: none). At the end of the stream rest holds what came after
// the last whole event.
func (e *eventReader) next() (event []byte, id string, rest []byte, err error) {
	for {
		line, err := e.br.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event) > maxEvent {
				return nil, "", nil, errEventTooLong
			}
			continue
		}
		if err != nil {
			return nil, "", event, err
		}
		if len(event) > maxEvent {
			return nil, "", nil, errEventTooLong
		}
		if endsEvent(event) {
			return event, eventID(event), nil, nil
		}
	}
}

// ready reports whether more of the stream has been received already.
func (e *eventReader) ready() bool { return e.br.Buffered() > 0 }

func endsEvent(b []byte) bool {
	return bytes.HasSuffix(b, []byte("\n\n")) || bytes.HasSuffix(b, []byte("\r\n\r\n")) || bytes.Equal(b, []byte("\n"))
}

func eventID(event []byte) string {
	id := ""
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
