package forward

import (
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/outcome"
)

const (
	// maxInvalidLines is the number of log lines in a second for requests that are refused for what
	// their client sent.
	maxInvalidLines = 50
	// maxLoggedID is the number of bytes of a client's request ID in a log line.
	maxLoggedID = 128
)

// invalidLog bounds the log lines for requests that are refused for what their client sent. It is safe
// for concurrent use.
type invalidLog struct {
	mu         sync.Mutex
	second     int64
	lines      int
	suppressed int
}

// next reports whether a line may be written, and how many were not since the last one.
func (l *invalidLog) next(kind outcome.Kind, now clock.Instant) (suppressed int, ok bool) {
	switch kind {
	case outcome.BadRequest, outcome.Unauthorised, outcome.UnknownService, outcome.TooLarge:
	default:
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := int64(now) / int64(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= maxInvalidLines {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// loggedID returns a request ID for a log line.
func loggedID(id string) string { return id[:min(len(id), maxLoggedID)] }
