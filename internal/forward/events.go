package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes is the maximum size of one event of a stream, in bytes.
const maxEventBytes = 256 << 10

var errEventTooLong = errors.New("forward: an event of the stream exceeds 256 KiB")

// eventReader splits a stream into complete events. It never yields a partial event at the
// end of a broken stream: another endpoint resumes after a complete event, so the client's
// copy must end at the same place.
type eventReader struct {
	buf *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	const size = 2 << 10
	return &eventReader{buf: bufio.NewReaderSize(r, size)}
}

// next returns the bytes of the next complete event, including its blank line, and its id
// (empty: none). At the end of the stream, rest contains the bytes after the last complete
// event. It fails with errEventTooLong for an event of more than maxEventBytes bytes.
func (e *eventReader) next() (event []byte, id string, rest []byte, err error) {
	for {
		line, err := e.buf.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(event) > maxEventBytes {
				return nil, "", nil, errEventTooLong
			}
			continue
		}
		if err != nil {
			return nil, "", event, err
		}
		if len(event) > maxEventBytes {
			return nil, "", nil, errEventTooLong
		}
		if isEventEnd(event) {
			return event, eventID(event), nil, nil
		}
	}
}

// hasBuffered reports whether more of the stream is already buffered.
func (e *eventReader) hasBuffered() bool { return e.buf.Buffered() > 0 }

func isEventEnd(b []byte) bool {
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
