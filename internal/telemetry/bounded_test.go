package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blocked is a reader of logs that stands still until it is let go.
type blocked struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.gate
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// The reader of the logs stands still. Writers go on at once; what doesn't fit
// is counted, and the count is told when the reader is back.
func TestWritersNeverWaitForTheReader(t *testing.T) {
	is := is.New(t)
	out := &blocked{gate: make(chan struct{})}
	b := NewBounded(out)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { b.Run(stop); close(done) }()
	const lines = boundedLines + 100
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
