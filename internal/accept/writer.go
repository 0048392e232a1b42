package accept

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"chervilloom/internal/answer"
	"chervilloom/internal/outcome"
	"chervilloom/internal/request"
)

// writer writes one answer as HTTP. A stream is flushed event by event. Any
// other answer is buffered until it is complete, so that a failure can still set
// the status; an answer larger than the buffer is sent unbuffered, with the
// outcome in a trailer.
type writer struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	r             *http.Request
	req           *request.Request
	bufferLimit   int
	bufferAll     bool              // fail instead of sending an incomplete body
	beforeHeaders func(http.Header) // called before the headers are written

	head        answer.Head
	started     bool // Start was called
	finished    bool
	headersSent bool // the status and headers were sent
	buffered    []byte
	eventBuffer []byte
	truncated   bool // an incomplete answer was sent: the connection must be aborted
}

func newWriter(w http.ResponseWriter, r *http.Request, req *request.Request, bufferLimit int, beforeHeaders func(http.Header)) *writer {
	out := &writer{w: w, controller: http.NewResponseController(w), r: r, req: req, bufferLimit: bufferLimit, beforeHeaders: beforeHeaders}
	if !r.ProtoAtLeast(1, 1) {
		out.bufferLimit, out.bufferAll = bufferLimitHTTP10, true
	}
	return out
}

// bufferLimitHTTP10 bounds an answer to an HTTP/1.0 caller, in bytes. HTTP/1.0
// ends an answer without a length by closing the connection, so a truncated
// answer looks complete; the whole answer is buffered instead.
const bufferLimitHTTP10 = 64 << 20

// Range of valid statuses. net/http panics on a status without three digits and
// sends those below 200 as interim responses, after which the caller would
// receive an empty success.
const (
	minStatus = 200
	maxStatus = 999
)

var errInvalidStatus = errors.New("accept: the answer's status is not between 200 and 999; look up which endpoint answered")

var errTooLongForHTTP10 = errors.New("accept: the answer is too long for HTTP/1.0; have the caller use HTTP/1.1")

// Start records the head of the answer and sends it at once for streams. It
// returns an error for a status outside 200 to 999.
func (w *writer) Start(h answer.Head) error {
	if h.Status < minStatus || h.Status > maxStatus {
		return errInvalidStatus
	}
	w.head, w.started = h, true
	if h.Stream || w.isFeed() {
		return w.sendHeaders()
	}
	return nil
}

// isFeed reports whether the answer consists of a plain service's own
// server-sent events, which are forwarded unbuffered and unchanged.
func (w *writer) isFeed() bool {
	return strings.HasPrefix(w.head.Header.Get("Content-Type"), "text/event-stream")
}

// sendHeaders sends the status and the headers. It announces the trailer that
// carries the outcome.
func (w *writer) sendHeaders() error {
	w.copyHeader()
	h := w.w.Header()
	h.Del("Content-Length")
	h.Add("Trailer", outcome.Header)
	if w.head.Stream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	w.headersSent = true
	w.beforeHeaders(h)
	w.w.WriteHeader(w.head.Status)
	return w.controller.Flush()
}

func (w *writer) copyHeader() {
	h := w.w.Header()
	for k, v := range w.head.Header {
		if k == "Connection" || k == HeaderRequest {
			continue
		}
		h[k] = v
	}
}

// Frame writes an event of a stream, or buffers or writes a part of a body.
func (w *writer) Frame(f answer.Frame) error {
	if w.head.Stream {
		return w.writeEvent(f)
	}
	if w.headersSent {
		return w.writeChunk(f.Data)
	}
	if len(w.buffered)+len(f.Data) <= w.bufferLimit {
		w.buffered = append(w.buffered, f.Data...)
		return nil
	}
	if w.bufferAll {
		return errTooLongForHTTP10
	}
	if err := w.sendHeaders(); err != nil {
		return err
	}
	if _, err := w.w.Write(w.buffered); err != nil {
		return err
	}
	w.buffered = nil
	return w.writeChunk(f.Data)
}

func (w *writer) writeChunk(data []byte) error {
	if _, err := w.w.Write(data); err != nil || !w.isFeed() {
		return err
	}
	return w.controller.Flush()
}

func (w *writer) writeEvent(f answer.Frame) error {
	b := w.eventBuffer[:0]
	if f.ID != "" {
		b = append(b, "id: "...)
		b = append(b, f.ID...)
		b = append(b, '\n')
	}
	b = appendEventData(b, f.Data)
	w.eventBuffer = b
	if _, err := w.w.Write(b); err != nil {
		return err
	}
	return w.controller.Flush()
}

// appendEventData appends data as the "data:" lines of one event. Each line feed
// or carriage return within data starts a new line: readers of server-sent
// events end a line at either and would drop the rest as an unknown field.
func appendEventData(b, data []byte) []byte {
	b = append(b, "data: "...)
	for _, c := range data {
		if c == '\n' || c == '\r' {
			b = append(b, "\ndata: "...)
			continue
		}
		b = append(b, c)
	}
	return append(b, '\n', '\n')
}

const doneEvent = "data: [DONE]\n\n"

// Finish ends the answer: complete, replaced by an error, or truncated if the
// headers have been sent already.
func (w *writer) Finish(e answer.End) {
	w.finished = true
	switch {
	case e.Complete && w.started:
		w.finishComplete()
	case w.headersSent:
		w.finishTruncated(endError(e))
	default:
		w.beforeHeaders(w.w.Header())
		writeError(w.w, endError(e), w.req.ID)
	}
}

func endError(e answer.End) *outcome.Error {
	if e.Error != nil {
		return e.Error
	}
	return outcome.New(outcome.Internal, outcome.Unknown, "the answer has no end", "ask the operator to look up the request id")
}

func (w *writer) finishComplete() {
	h := w.w.Header()
	h.Set(outcome.Header, string(outcome.Ran))
	if w.headersSent {
		if w.head.Stream {
			w.w.Write([]byte(doneEvent))
		}
		return
	}
	w.copyHeader()
	if w.r.Method != http.MethodHead && bodyAllowed(w.head.Status) {
		h.Set("Content-Length", strconv.Itoa(len(w.buffered)))
	}
	w.beforeHeaders(h)
	w.w.WriteHeader(w.head.Status)
	w.w.Write(w.buffered)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// finishTruncated writes the reason as an error event if the answer is a stream.
// The connection is aborted afterwards, because many clients ignore error events.
func (w *writer) finishTruncated(err *outcome.Error) {
	w.truncated = true
	if !w.head.Stream {
		return
	}
	b := append(w.eventBuffer[:0], "event: error\n"...)
	b = appendEventData(b, err.JSON(w.req.ID))
	w.w.Write(b)
	w.controller.Flush()
}
