package group

import (
	"context"
	"sync"
	"time"

	"chervilloom/internal/clock"
	"chervilloom/internal/explain"
	"chervilloom/internal/fleet"
	"chervilloom/internal/lease"
	"chervilloom/internal/view"
)

// sendOrders sends the orders and puts the returned engine states into the view.
//
// An engine that ignores fences would obey a former holder of the lease.
// Therefore an order starts only while the margin is left on the lease and times
// out before the lease ends. If the process is paused between this check and the
// send, the order may still be late. The next holder then sees a state that
// differs from its claim and sends another order; meanwhile the group gets no
// requests, because not all of its members report its generation.
func (r *Reconciler) sendOrders(ctx context.Context, grant lease.Grant, orders []VMOrder) {
	semaphore := make(chan struct{}, r.Timing.MaxConcurrentOrders)
	var wg sync.WaitGroup
	for i := range orders {
		select {
		case semaphore <- struct{}{}:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			defer func() { <-semaphore }()
			r.sendOrder(ctx, grant, &orders[i])
		})
	}
	wg.Wait()
}

func (r *Reconciler) sendOrder(ctx context.Context, grant lease.Grant, o *VMOrder) {
	now := r.Clock.Now()
	left := grant.Remaining(now) - r.Timing.LeaseMargin
	if left <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(left, r.Timing.OrderTimeout))
	defer cancel()
	res, err := r.Orders.Order(ctx, o.Addr, o.Order)
	result := "accepted"
	switch {
	case err != nil:
		result = "failed"
	case !res.Accepted:
		result = "refused"
	}
	r.metrics.countOrder(o.Order.Verb, result)
	if err != nil {
		r.Log.Debug("order failed", "vm", o.VM, "verb", o.Order.Verb, "err", err)
	} else {
		r.putState(o.VM, now, res.State)
	}
	r.Explain.Record(explain.Step{
		Subject: string(o.VM), Stage: "order", Decision: string(o.Order.Verb) + " " + result,
		Reason: "the engine's state differs from its claim",
		Facts:  []explain.Fact{{Name: "group", Value: string(o.Order.Group)}, {Name: "lease left", Value: left.Round(time.Millisecond).String()}},
	})
}

func (r *Reconciler) putState(vm fleet.VM, sent clock.Instant, st fleet.EngineState) {
	if st.VM != vm {
		return
	}
	r.Sink.Put(view.Probed{VM: vm, Sent: sent, RTT: r.Clock.Now().Sub(sent), Answered: true, State: st})
}
