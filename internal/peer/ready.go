package peer

import (
	"sync"
	"time"
)

const (
	// readyChecks is the number of checks per ready timeout.
	readyChecks = 8
	// maxReadyFactor is the maximum wait for Ready, in multiples of the ready timeout, while
	// packets arrive from the other node.
	maxReadyFactor = 3
)

// readyWait limits the wait for Ready. If no packet arrives from the other node
// within the ready timeout, the wait ends, so that the request can soon be retried
// elsewhere. On a link with packet loss Ready may take longer although the node is
// alive: while packets arrive, the wait is extended up to maxReadyFactor times
// the ready timeout.
//
// Time is measured in checks instead of by the clock: if this process is paused,
// its checks are delayed too, and packets it has not read yet are not counted as
// silence of the other node.
type readyWait struct {
	interval        time.Duration   // interval between two checks
	packetsReceived func() uint64   // returns the number of packets received from the other node
	setDeadline     func(time.Time) // sets the deadline for reading Ready; zero: none

	mu           sync.Mutex
	timer        *time.Timer
	lastPackets  uint64 // packets received up to the last check
	silentChecks int    // consecutive checks without a new packet
	checks       int    // checks so far
	stopped      bool
}

func newReadyWait(ready time.Duration, packetsReceived func() uint64, setDeadline func(time.Time)) *readyWait {
	w := &readyWait{interval: ready / readyChecks, packetsReceived: packetsReceived, setDeadline: setDeadline, lastPackets: packetsReceived()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.interval, w.check)
	return w
}

// check aborts the read of Ready after readyChecks checks without a new packet, or
// when the maximum wait has passed.
func (w *readyWait) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.checks++
	w.silentChecks++
	if received := w.packetsReceived(); received > w.lastPackets {
		w.lastPackets, w.silentChecks = received, 0
	}
	if w.silentChecks >= readyChecks || w.checks >= maxReadyFactor*readyChecks {
		w.setDeadline(time.Now())
		return
	}
	w.timer.Reset(w.interval)
}

// stop stops the checks and removes the read deadline.
func (w *readyWait) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	w.setDeadline(time.Time{})
}
