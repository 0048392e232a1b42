package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// All nodes have just started again, and a client's last try comes before the first
// read of the store has ended: it waits the few milliseconds. Where the store stays
// away, the client is told so after startWait.
func TestRequestWaitsForAStartingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := make(chan struct{})
		f := &Forwarder{Started: started}
		begun := time.Now()
		f.awaitStart(context.Background())
		is.Equal(time.Since(begun), startWait)

		go func() {
			time.Sleep(20 * time.Millisecond) // in the bubble's time: the first reads
			close(started)
		}()
		begun = time.Now()
		f.awaitStart(context.Background())
		is.Equal(time.Since(begun), 20*time.Millisecond)
		begun = time.Now()
		f.awaitStart(context.Background())
		is.Equal(time.Since(begun), time.Duration(0))
	})
}
