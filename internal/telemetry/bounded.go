package telemetry

import (
	"io"
	"strconv"
	"sync/atomic"

	"chervilloom/internal/ring"
)

// Bounded is a writer that never blocks its caller. It queues lines in a ring
// buffer, and one goroutine writes them. Without it, a stalled log reader would
// block every request that logs. Lines that do not fit are dropped and counted;
// the count is logged with the next line that is written.
type Bounded struct {
	to      io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Uint64
}

// maxQueuedLines is the capacity of the ring in lines: about one second of logs of
// a busy node, 1 MB.
const maxQueuedLines = 4096

// NewBounded returns a writer to w. Lines are written only while Run is running.
func NewBounded(w io.Writer) *Bounded {
	return &Bounded{to: w, lines: ring.NewQueue[[]byte](maxQueuedLines)}
}

// Write queues a copy of one line, or drops the line if the ring is full. It
// never returns an error.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Run writes queued lines until stop is closed, and then the remaining ones.
func (b *Bounded) Run(stop <-chan struct{}) {
	var reported uint64
	for {
		select {
		case line := <-b.lines.C():
			reported = b.writeLine(line, reported)
			continue
		default:
		}
		select {
		case line := <-b.lines.C():
			reported = b.writeLine(line, reported)
		case <-stop:
			for b.lines.Len() > 0 {
				reported = b.writeLine(<-b.lines.C(), reported)
			}
			return
		}
	}
}

// writeLine writes one line and, if the number of dropped lines differs from reported,
// a line with that number. It returns the number reported. Write errors are
// ignored, because there is no other place to report them.
func (b *Bounded) writeLine(line []byte, reported uint64) uint64 {
	_, _ = b.to.Write(line)
	if n := b.dropped.Load(); n != reported {
		_, _ = io.WriteString(b.to, `{"level":"WARN","msg":"log lines dropped","total":`+strconv.FormatUint(n, 10)+"}\n")
		return n
	}
	return reported
}
