package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Bounds of the cancel queue. If the queue is full, the cancel is dropped: the stream
// then runs to its end at the engine and wastes capacity, with no effect on correctness.
const (
	cancelQueueSize = 256
	cancelWorkers   = 4
	cancelTimeout   = time.Second
)

// abandonedStream is a stream at an engine that no caller reads any more.
type abandonedStream struct{ addr, stream string }

func (d *Dispatcher) queueCancel(a abandonedStream) {
	if !d.cancels.Offer(a) {
		d.metrics.cancelsDropped.Inc()
	}
}

// Run cancels abandoned streams at their engines and cancels requests whose replica is
// lost, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range cancelWorkers {
		wg.Go(func() { d.cancelLoop(ctx) })
	}
	wg.Go(func() { d.lossCheckLoop(ctx) })
	wg.Go(func() { d.cancelExpiredLoop(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (d *Dispatcher) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-d.cancels.C():
			d.cancelStream(ctx, a)
		}
	}
}

func (d *Dispatcher) cancelStream(ctx context.Context, a abandonedStream) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(a.addr, a.stream), nil)
	if err != nil {
		return
	}
	resp, _, err := d.client.do(r, true)
	if err != nil {
		d.opt.Log.Debug("stream not cancelled", "endpoint", a.addr, "err", err)
		return
	}
	resp.Body.Close()
}
