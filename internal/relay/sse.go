// Package relay reads the answers of endpoints: server-sent events with a
// bounded length, the order and the count of their tokens, and the event ids
// from which any node can resume a stream without the memory of the node that
// began it.
package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLong means that an event is longer than the reader's bound.
var ErrTooLong = errors.New("relay: an event is longer than the bound; raise the bound or have the endpoint send shorter events")

// Event is one server-sent event. Comments and unknown fields are left out.
type Event struct {
	ID   string
	Name string
	Data []byte // owned by the receiver
}

// Reader reads server-sent events.
type Reader struct {
	r    *bufio.Reader
	max  int
	line []byte
}

// readBuffer holds a usual event whole, so that a line needs no copying.
const readBuffer = 4 << 10

// NewReader returns a reader of events of up to max bytes each.
func NewReader(r io.Reader, max int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer), max: max}
}

// Next returns the next event. io.EOF means that the connection ended between
// two events, which says nothing of the stream being whole;
// io.ErrUnexpectedEOF means that it ended within one.
func (r *Reader) Next() (Event, error) {
	var ev Event
	var size int
	var some, data bool
	for {
		line, err := r.readLine()
		if err != nil {
			if err == io.EOF && some {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		size += len(line)
		if size > r.max {
			return Event{}, ErrTooLong
		}
		if len(line) == 0 {
			if data {
				return ev, nil
			}
			ev, size, some = Event{}, 0, false
			continue
		}
		some = true
		field, value := splitField(line)
		switch string(field) {
		case "data":
			ev.Data = appendData(ev.Data, value, data)
			data = true
		case "id":
			ev.ID = string(value)
		case "event":
			ev.Name = string(value)
		}
	}
}

func appendData(to, value []byte, more bool) []byte {
	if !more {
		return bytes.Clone(value)
	}
	to = append(to, '\n')
	return append(to, value...)
}

func splitField(line []byte) (field, value []byte) {
	field, value, _ = bytes.Cut(line, []byte{':'})
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return field, value
}

// readLine returns a line without its end. The line is valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.r.ReadSlice('\n')
	if err == nil {
		return trimEnd(line), nil
	}
	r.line = append(r.line[:0], line...)
	for err == bufio.ErrBufferFull {
		if len(r.line) > r.max {
			return nil, ErrTooLong
		}
		line, err = r.r.ReadSlice('\n')
		r.line = append(r.line, line...)
	}
	if err == io.EOF && len(r.line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return trimEnd(r.line), nil
}

func trimEnd(line []byte) []byte {
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line
}
