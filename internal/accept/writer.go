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

// writer writes one answer as HTTP. A stream goes out event by event. Another
// answer is held back until it is whole, so that a failure can still be told
// in a status; one that outgrows the buffer is sent as it comes, with the
// outcome in a trailer.
type writer struct {
	w       http.ResponseWriter
	ctl     *http.ResponseController
	r       *http.Request
	req     *request.Request
	room    int
	holdAll bool              // never send a part of a body
	closing func(http.Header) // called before the headers go out

	head     answer.Head
	started  bool // Start was called
	finished bool
	sent     bool // the status is out
	held     []byte
	buf      []byte
	cut      bool // the caller has a part: the connection must be aborted
}

func newWriter(w http.ResponseWriter, r *http.Request, req *request.Request, room int, closing func(http.Header)) *writer {
	out := &writer{w: w, ctl: http.NewResponseController(w), r: r, req: req, room: room, closing: closing}
	if !r.ProtoAtLeast(1, 1) {
		out.room, out.holdAll = roomHTTP10, true
	}
	return out
}

// roomHTTP10 bounds an answer to an HTTP/1.0 caller. That protocol ends an
// answer without a length by closing the connection, so that a cut one cannot
// be told from a whole one: it is held back to its end.
const roomHTTP10 = 64 << 20

// The statuses that an answer can have. net/http panics on one that has not
// three digits, and takes those below 200 for what comes before an answer: the
// caller would get an empty success.
const (
	minStatus = 200
	maxStatus = 999
)

var errStatus = errors.New("accept: the path gave a status that no answer has; look up which endpoint answered")

var errTooLong = errors.New("accept: the answer is too long for HTTP/1.0; have the caller use HTTP/1.1")

// Start takes the head of the answer.
func (w *writer) Start(h answer.Head) error {
	if h.Status < minStatus || h.Status > maxStatus {
		return errStatus
	}
	w.head, w.started = h, true
	if h.Stream || w.isFeed() {
		return w.open()
	}
	return nil
}

// isFeed reports whether the answer is a plain service's own server-sent
// events: they go out as they come and as they are.
func (w *writer) isFeed() bool {
	return strings.HasPrefix(w.head.Header.Get("Content-Type"), "text/event-stream")
}

// open sends the status and the headers. The outcome and the remaining errors
// follow in trailers, which are named here.
func (w *writer) open() error {
	w.copyHeader()
	h := w.w.Header()
	h.Del("Content-Length")
	h.Add("Trailer", outcome.Header)
	if w.head.Stream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	w.sent = true
	w.closing(h)
	w.w.WriteHeader(w.head.Status)
	return w.ctl.Flush()
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

// Frame writes an event, or holds a piece of a body back.
func (w *writer) Frame(f answer.Frame) error {
	if w.head.Stream {
		return w.event(f)
	}
	if w.sent {
		return w.piece(f.Data)
	}
	if len(w.held)+len(f.Data) <= w.room {
		w.held = append(w.held, f.Data...)
		return nil
	}
	if w.holdAll {
		return errTooLong
	}
	if err := w.open(); err != nil {
		return err
	}
	if _, err := w.w.Write(w.held); err != nil {
		return err
	}
	w.held = nil
	return w.piece(f.Data)
}

func (w *writer) piece(data []byte) error {
	if _, err := w.w.Write(data); err != nil || !w.isFeed() {
		return err
	}
	return w.ctl.Flush()
}

func (w *writer) event(f answer.Frame) error {
	b := w.buf[:0]
	if f.ID != "" {
		b = append(b, "id: "...)
		b = append(b, f.ID...)
		b = append(b, '\n')
	}
	b = appendEventData(b, f.Data)
	w.buf = b
	if _, err := w.w.Write(b); err != nil {
		return err
	}
	return w.ctl.Flush()
}

// appendEventData writes data lines. A line feed or carriage return within the
// data starts a new one: readers of server-sent events end a line at either,
// and would drop what follows as an unknown field.
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

// Finish ends the answer: as whole, as an error in place of an answer, or as cut.
func (w *writer) Finish(e answer.End) {
	w.finished = true
	switch {
	case e.Whole && w.started:
		w.whole()
	case w.sent:
		w.tellCut(failure(e))
	default:
		w.closing(w.w.Header())
		writeError(w.w, failure(e), w.req.ID)
	}
}

func failure(e answer.End) *outcome.Error {
	if e.Error != nil {
		return e.Error
	}
	return outcome.New(outcome.Internal, outcome.Unknown, "the answer has no end", "ask the operator to look up the request id")
}

func (w *writer) whole() {
	h := w.w.Header()
	h.Set(outcome.Header, string(outcome.Ran))
	if w.sent {
		if w.head.Stream {
			w.w.Write([]byte(doneEvent))
		}
		return
	}
	w.copyHeader()
	if w.r.Method != http.MethodHead && bodyAllowed(w.head.Status) {
		h.Set("Content-Length", strconv.Itoa(len(w.held)))
	}
	w.closing(h)
	w.w.WriteHeader(w.head.Status)
	w.w.Write(w.held)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// tellCut tells within a stream why it ends here. The connection is aborted
// afterwards, because many clients read nothing but the data.
func (w *writer) tellCut(err *outcome.Error) {
	w.cut = true
	if !w.head.Stream {
		return
	}
	b := append(w.buf[:0], "event: error\n"...)
	b = appendEventData(b, err.JSON(w.req.ID))
	w.w.Write(b)
	w.ctl.Flush()
}
