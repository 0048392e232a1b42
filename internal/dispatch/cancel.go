package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// The duty of cancelling: a full ring drops the stream, which then runs to its
// end at the engine and costs capacity but no truth.
const (
	cancelQueue   = 256
	cancelWorkers = 4
	cancelTimeout = time.Second
)

// abandoned is a stream at an engine that nobody waits for.
type abandoned struct{ addr, stream string }

func (d *Dispatcher) abandon(a abandoned) {
	if !d.cancels.Offer(a) {
		d.metrics.cancelsDropped.Inc()
	}
}

// Run cancels abandoned streams at their engines and gives up answers that
// cannot come any more, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range cancelWorkers {
		wg.Go(func() { d.cancelLoop(ctx) })
	}
	wg.Go(func() { d.guardLoop(ctx) })
	wg.Go(func() { d.lingerLoop(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (d *Dispatcher) cancelLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-d.cancels.C():
			d.cancel(ctx, a)
		}
	}
}

func (d *Dispatcher) cancel(ctx context.Context, a abandoned) {
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
