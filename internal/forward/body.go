package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"chervilloom/internal/intake"
	"chervilloom/internal/memory"
	"chervilloom/internal/outcome"
)

const (
	// minBodyPart and maxBodyPart bound the parts in which a body is held: memory follows what has
	// arrived, and a part never moves. Parts of a body without a length double.
	minBodyPart = 1 << 10
	maxBodyPart = 32 << 10
	// maxRoomWait is how long a body waits for memory while stalled clients are closed for it.
	maxRoomWait = 50 * time.Millisecond
)

// bodyAwaiter is a connection that is told when its client's body is awaited.
type bodyAwaiter interface {
	BeginBody()
	EndBody()
}

// receiveBody reads the request's body until ctx ends: a client may send it slowly, and it is not
// needed after the request's deadline.
func (f *Forwarder) receiveBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64, held *memory.Reservation) ([][]byte, *outcome.Error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 && r.ContentLength > limit {
		return nil, outcome.New(outcome.TooLarge, outcome.NotRun, fmt.Sprintf("the body has %d bytes, the limit is %d", r.ContentLength, limit), "send a smaller body")
	}
	if c, ok := r.Context().Value(clientConnKey{}).(bodyAwaiter); ok {
		c.BeginBody()
		defer c.EndBody()
	}
	deadline, _ := ctx.Deadline()
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil {
		f.Log.Debug("no deadline for the body", "err", err)
	}
	src := io.Reader(r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := readParts(src, r.ContentLength, held)
	if err != nil {
		return nil, bodyError(err)
	}
	// net/http goes on reading to find out whether the client leaves.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		f.Log.Debug("deadline of the body stays", "err", err)
	}
	return body, nil
}

// readParts reads a body of the given length, -1 if it isn't known, and reserves its memory.
func readParts(src io.Reader, length int64, held *memory.Reservation) ([][]byte, error) {
	var parts [][]byte
	for size, left := minBodyPart, length; left != 0; size = min(2*size, maxBodyPart) {
		if length > 0 {
			size = int(min(left, maxBodyPart))
		}
		if !held.Await(int64(size), maxRoomWait) {
			return nil, memory.ErrFull
		}
		part, err := fill(src, make([]byte, size))
		parts = append(parts, part)
		left -= int64(len(part))
		if length < 0 && err == io.EOF {
			return parts, nil
		}
		if err != nil && (err != io.EOF || left > 0) {
			return nil, err
		}
	}
	return parts, nil
}

// fill reads until p is full or src fails, and returns what it has read. Unlike io.ReadFull it keeps
// the end of a body apart from a body that is cut off.
func fill(src io.Reader, p []byte) ([]byte, error) {
	n := 0
	for n < len(p) {
		k, err := src.Read(p[n:])
		n += k
		if err != nil {
			return p[:n], err
		}
	}
	return p, nil
}

// bodyError returns the refusal for an error from reading the body.
func bodyError(err error) *outcome.Error {
	if errors.Is(err, memory.ErrFull) || errors.Is(err, intake.ErrEvicted) {
		return outcome.New(outcome.Overloaded, outcome.NotRun, "this node holds too many large requests and responses", "try again, another node may have room").
			WithCause(err).WithRetryAfter(retryAfterFull)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the body was not received within the request's time", "allow more time").WithCause(err)
	}
	kind := outcome.BadRequest
	if _, ok := err.(*http.MaxBytesError); ok {
		kind = outcome.TooLarge
	}
	return outcome.New(kind, outcome.NotRun, "the body could not be read", "send a whole body within the limit").WithCause(err)
}
