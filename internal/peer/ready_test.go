package peer

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// readyWaitDuration returns the duration of the wait for a Ready that is never sent,
// while packets of the other node arrive at the given times.
func readyWaitDuration(ready time.Duration, arrivals ...time.Duration) time.Duration {
	var packets atomic.Uint64
	for _, at := range arrivals {
		time.AfterFunc(at, func() { packets.Add(1) })
	}
	expired := make(chan struct{})
	read := time.AfterFunc(time.Hour, func() { close(expired) })
	start := time.Now()
	p := newReadyWait(ready, packets.Load, func(t time.Time) {
		read.Stop()
		if !t.IsZero() {
			read.Reset(time.Until(t))
		}
	})
	<-expired
	duration := time.Since(start)
	p.stop()
	return duration
}

// Guards against giving up on a node while its packets still arrive.
func TestReadyWaitExtendsWhilePacketsArrive(t *testing.T) {
	const ready = time.Second
	for name, tc := range map[string]struct {
		arrivals    []time.Duration
		least, most time.Duration
	}{
		"no packets":              {nil, ready, ready},
		"packets until 1.2 s":     {[]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond}, 2200 * time.Millisecond, 2500 * time.Millisecond},
		"packets until the limit": {[]time.Duration{800 * time.Millisecond, 1600 * time.Millisecond, 2400 * time.Millisecond}, maxReadyFactor * ready, maxReadyFactor * ready},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				duration := readyWaitDuration(ready, tc.arrivals...)
				is.True(duration >= tc.least)
				is.True(duration <= tc.most)
			})
		})
	}
}
