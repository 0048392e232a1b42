package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks every write until gate is closed.
type blockedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// The log reader stalls. Writers must not block; lines that do not fit are
// counted, and the count is logged when the reader resumes.
func TestWriteDoesNotBlock(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{gate: make(chan struct{})}
	b := NewBounded(out)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { b.Run(stop); close(done) }()
	const lines = maxQueuedLines + 100
	for range lines {
		n, err := b.Write([]byte("x\n"))
		is.NoErr(err)
		is.Equal(n, 2)
	}
	is.True(b.Dropped() >= 99)
	close(out.gate)
	close(stop)
	<-done
	is.True(strings.Contains(out.buf.String(), "log lines dropped"))
	is.Equal(strings.Count(out.buf.String(), "x\n")+int(b.Dropped()), lines)
}
