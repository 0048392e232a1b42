package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"chervilloom/internal/outcome"
)

const (
	// maxDiscardBytes and maxDiscardTime bound what is read of the body of a refused request so that
	// its connection can be kept. Clients usually send a short body together with the head.
	maxDiscardBytes = 256 << 10
	maxDiscardTime  = 10 * time.Millisecond
	// lingerTime is how long the rest of a body is read and dropped after the refusal. If the
	// connection were closed while the client sends, the reset could overtake the response.
	lingerTime = 2 * time.Second
)

// refuseUnread refuses a request whose body may not have been read. The response does not wait for
// the body: if that is not there, the connection ends with the response.
func (f *Forwarder) refuseUnread(w http.ResponseWriter, r *http.Request, req *Request, stage string, e *outcome.Error) {
	if f.discardBody(w, r) {
		f.refuse(w, req, stage, e)
		return
	}
	w.Header().Set("Connection", "close")
	f.refuse(w, req, stage, e)
	f.linger(w, r)
}

// discardBody reads the rest of the body if that is short and has arrived, and reports whether the
// connection may be kept.
func (f *Forwarder) discardBody(w http.ResponseWriter, r *http.Request) bool {
	if r.Body == nil || r.ContentLength == 0 {
		return true
	}
	if r.Header.Get("Expect") != "" || r.ContentLength > maxDiscardBytes { // the first read would ask the client to continue
		return false
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(maxDiscardTime)); err != nil {
		return false
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes+1); !errors.Is(err, io.EOF) {
		return false
	}
	return control.SetReadDeadline(time.Time{}) == nil
}

// linger sends the response, ends this direction of the connection and drops what the client still
// sends, for at most lingerTime. It reads the connection itself, since a chunked body can't be read on
// after a deadline. It panics with http.ErrAbortHandler, because net/http would keep the connection for
// a time of its own.
func (f *Forwarder) linger(w http.ResponseWriter, r *http.Request) {
	conn, ok := r.Context().Value(clientConnKey{}).(interface {
		net.Conn
		CloseWrite() error
	})
	if !ok {
		return
	}
	err := errors.Join(http.NewResponseController(w).Flush(), conn.CloseWrite(), conn.SetReadDeadline(time.Now().Add(lingerTime)))
	if err != nil {
		f.Log.Debug("connection of a refused request ends at once", "err", err)
	} else {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{conn}) // ends with the connection or the deadline
	}
	panic(http.ErrAbortHandler)
}
