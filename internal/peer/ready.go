package peer

import (
	"sync"
	"time"
)

const (
	// readyLooks is how many looks at the link there are in Options.Ready.
	readyLooks = 8
	// readyMost is how many times Options.Ready the wait for Ready may last while
	// the other node is heard.
	readyMost = 3
)

// readyWait bounds the wait for Ready. A node of which nothing arrives is given up
// after Options.Ready, so that its requests go elsewhere soon. On a link that loses
// packets Ready may take longer, although the other node is there: as long as
// packets of it go on arriving the wait goes on, up to readyMost times as long.
//
// Time is counted in looks: a process that stands still looks late, and must not take
// for the other node's silence what it didn't read itself.
type readyWait struct {
	pause    time.Duration   // between two looks
	packets  func() uint64   // that have come from the other node
	deadline func(time.Time) // of the read of Ready; zero: none

	mu     sync.Mutex
	timer  *time.Timer
	heard  uint64 // packets when last looked
	silent int    // looks since something was heard
	looks  int
	ended  bool
}

func newReadyWait(ready time.Duration, packets func() uint64, deadline func(time.Time)) *readyWait {
	p := &readyWait{pause: ready / readyLooks, packets: packets, deadline: deadline, heard: packets()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(p.pause, p.look)
	return p
}

// look ends the read of Ready when nothing was heard for as many looks as there are in
// Options.Ready, or the wait has lasted for as long as it may.
func (p *readyWait) look() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.looks++
	p.silent++
	if heard := p.packets(); heard > p.heard {
		p.heard, p.silent = heard, 0
	}
	if p.silent >= readyLooks || p.looks >= readyMost*readyLooks {
		p.deadline(time.Now())
		return
	}
	p.timer.Reset(p.pause)
}

// end lifts the deadline.
func (p *readyWait) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
	p.deadline(time.Time{})
}
