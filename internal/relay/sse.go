// Package relay reads the event streams of endpoints: it parses server-sent events of
// bounded size, verifies the order and the number of their tokens, and encodes event ids
// from which any node can resume a stream without state from the node that started it.
package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLong means that an event exceeds the reader's size limit.
var ErrTooLong = errors.New("relay: an event exceeds the size limit; raise the limit or have the endpoint send shorter events")

// Event is one server-sent event, without comments and unknown fields.
type Event struct {
	ID   string
	Name string
	Data []byte // owned by the receiver
}

// Reader reads server-sent events.
type Reader struct {
	buf           *bufio.Reader
	maxEventBytes int
	line          []byte
}

// readBufferBytes is the size of the read buffer in bytes. A typical event fits, so that its
// lines need not be copied.
const readBufferBytes = 4 << 10

// NewReader returns a reader of events of up to max bytes each.
func NewReader(r io.Reader, max int) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, readBufferBytes), maxEventBytes: max}
}

// Next returns the next event. io.EOF means that the connection ended between two events,
// which does not imply that the stream is complete; io.ErrUnexpectedEOF means that it ended
// within one.
func (r *Reader) Next() (Event, error) {
	var ev Event
	var size int
	var hasFields, hasData bool
	for {
		line, err := r.readLine()
		if err != nil {
			if err == io.EOF && hasFields {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		size += len(line)
		if size > r.maxEventBytes {
			return Event{}, ErrTooLong
		}
		if len(line) == 0 {
			if hasData {
				return ev, nil
			}
			ev, size, hasFields = Event{}, 0, false
			continue
		}
		hasFields = true
		field, value := splitField(line)
		switch string(field) {
		case "data":
			ev.Data = appendData(ev.Data, value, hasData)
			hasData = true
		case "id":
			ev.ID = string(value)
		case "event":
			ev.Name = string(value)
		}
	}
}

// appendData appends the value of a data field; more reports whether the event already has
// one.
func appendData(to, value []byte, more bool) []byte {
	if !more {
		return bytes.Clone(value)
	}
	to = append(to, '\n')
	return append(to, value...)
}

// splitField returns the field name and the value of a line.
func splitField(line []byte) (field, value []byte) {
	field, value, _ = bytes.Cut(line, []byte{':'})
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return field, value
}

// readLine returns a line without its line break. The line is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.buf.ReadSlice('\n')
	if err == nil {
		return trimLineBreak(line), nil
	}
	r.line = append(r.line[:0], line...)
	for err == bufio.ErrBufferFull {
		if len(r.line) > r.maxEventBytes {
			return nil, ErrTooLong
		}
		line, err = r.buf.ReadSlice('\n')
		r.line = append(r.line, line...)
	}
	if err == io.EOF && len(r.line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return trimLineBreak(r.line), nil
}

// trimLineBreak removes the LF or CRLF at the end of the line.
func trimLineBreak(line []byte) []byte {
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line
}
