package peer

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// readyMost is how many times Options.Ready the wait for Ready may last while
// the other node is heard.
const readyMost = 3

// readyWait bounds the wait for Ready. A node of which nothing arrives is given up
// after Options.Ready, so that its requests go elsewhere soon. On a link that loses
// packets Ready may take longer, although the other node is there: as long as
// packets of it go on arriving the wait goes on, up to readyMost times as long.
type readyWait struct {
	ready  time.Duration
	conn   *conn
	stream *quic.Stream
	until  time.Time // the wait ends then, whatever is heard

	mu    sync.Mutex
	timer *time.Timer
	heard uint64 // packets when last looked
	ended bool
}

func newReadyWait(ready time.Duration, c *conn, s *quic.Stream) *readyWait {
	now := time.Now()
	p := &readyWait{
		ready: ready, conn: c, stream: s, until: now.Add(readyMost * ready),
		heard: c.ConnectionStats().PacketsReceived,
	}
	s.SetReadDeadline(now.Add(ready))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(ready/2, p.look)
	return p
}

// look moves the deadline when something was heard since the last look.
func (p *readyWait) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	if heard := p.conn.ConnectionStats().PacketsReceived; heard > p.heard {
		p.heard = heard
		deadline := time.Now().Add(p.ready)
		if deadline.After(p.until) {
			deadline = p.until
		}
		p.stream.SetReadDeadline(deadline)
	}
	p.timer.Reset(p.ready / 2)
}

// end lifts the deadline.
func (p *readyWait) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
	p.stream.SetReadDeadline(time.Time{})
}
