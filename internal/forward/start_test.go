package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against the refusal of a request that arrives before a restarted node has finished
// its first reads of the store: it may be the client's last retry. The request waits for the
// reads, but no longer than maxStartWait.
func TestRequestWaitsForStartingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := make(chan struct{})
		f := &Forwarder{Started: started}
		begun := time.Now()
		f.awaitStart(context.Background())
		is.Equal(time.Since(begun), maxStartWait)

		go func() {
			time.Sleep(20 * time.Millisecond) // fake time of the bubble; stands for the first reads
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
