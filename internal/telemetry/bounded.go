package telemetry

import (
	"io"
	"strconv"
	"sync/atomic"

	"chervilloom/internal/ring"
)

// Bounded is a writer that never blocks its caller: lines wait in a ring for
// one goroutine that writes them. A reader of the logs that stands still would
// otherwise stop every request that logs. Lines that find the ring full are
// dropped and counted; the count is written when there is room again.
type Bounded struct {
	to      io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Uint64
}

// boundedLines is how many lines wait at most: about a second of logs of a busy
// node, 1 MB.
const boundedLines = 4096

// NewBounded returns a writer to w. Run must be running for lines to get out.
func NewBounded(w io.Writer) *Bounded {
	return &Bounded{to: w, lines: ring.NewQueue[[]byte](boundedLines)}
}

// Write takes one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	if !b.lines.Offer(append([]byte(nil), line...)) {
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Run writes lines until stop is closed, then those that still wait.
func (b *Bounded) Run(stop <-chan struct{}) {
	var told uint64
	for {
		select {
		case line := <-b.lines.C():
			told = b.put(line, told)
			continue
		default:
		}
		select {
		case line := <-b.lines.C():
			told = b.put(line, told)
		case <-stop:
			for b.lines.Len() > 0 {
				told = b.put(<-b.lines.C(), told)
			}
			return
		}
	}
}

// put writes one line and, when lines were dropped since told, their number.
// A failed write is dropped: there is no other place to tell of it.
func (b *Bounded) put(line []byte, told uint64) uint64 {
	_, _ = b.to.Write(line)
	if n := b.dropped.Load(); n != told {
		_, _ = io.WriteString(b.to, `{"level":"WARN","msg":"log lines dropped","total":`+strconv.FormatUint(n, 10)+"}\n")
		return n
	}
	return told
}
