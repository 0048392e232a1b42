package peer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// waitForReady returns how long a wait for Ready that never comes lasts when a packet of
// the other node arrives at each of the times.
func waitForReady(ready time.Duration, arrivals ...time.Duration) time.Duration {
	var packets atomic.Uint64
	for _, at := range arrivals {
		time.AfterFunc(at, func() { packets.Add(1) })
	}
	over := make(chan struct{})
	read := time.AfterFunc(time.Hour, func() { close(over) })
	begun := time.Now()
	p := newReadyWait(ready, packets.Load, func(t time.Time) {
		read.Stop()
		if !t.IsZero() {
			read.Reset(time.Until(t))
		}
	})
	<-over
	lasted := time.Since(begun)
	p.end()
	return lasted
}

// Guards against a node that is given up although packets of it went on arriving.
func TestNodeThatIsHeardIsWaitedFor(t *testing.T) {
	const ready = time.Second
	for name, tc := range map[string]struct {
		arrivals    []time.Duration
		least, most time.Duration
	}{
		"nothing is heard": {nil, ready, ready},
		"heard at times":   {[]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond}, 2200 * time.Millisecond, 2500 * time.Millisecond},
		"heard to the end": {[]time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2400 * time.Millisecond}, readyMost * ready, readyMost * ready},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				lasted := waitForReady(ready, tc.arrivals...)
				is.True(lasted >= tc.least)
				is.True(lasted <= tc.most)
			})
		})
	}
}
