package admit

import (
	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
)

// fifo is the baseline without fairness and deadlines: one queue in order of
// arrival, with as many requests in progress as there are slots.
type fifo struct {
	slots    int
	inflight int
	queue    []Handle
}

func (f *fifo) Step(_ clock.Instant, ev *Event, out []Decision) []Decision {
	switch ev.Kind {
	case Arrive:
		f.queue = append(f.queue, ev.Handle)
	case Finish:
		f.inflight--
	}
	for f.inflight < f.slots && len(f.queue) > 0 {
		out = append(out, Decision{Handle: f.queue[0], Verdict: Admit})
		f.queue = f.queue[1:]
		f.inflight++
	}
	return out
}

// buckets is the baseline that only limits each organisation's rate, to its share
// of the engines' capacity. Admitted requests queue inside the engines.
type buckets struct {
	rates map[fleet.Organisation]float64
	orgs  map[fleet.Organisation]*bucket
}

func (b *buckets) Step(now clock.Instant, ev *Event, out []Decision) []Decision {
	if ev.Kind != Arrive {
		return out
	}
	name := ev.Arrival.Organisation
	k := b.orgs[name]
	if k == nil {
		k = &bucket{}
		k.setRate(now, b.rates[name])
		b.orgs[name] = k
	}
	if !k.hasToken(now) {
		return append(out, Decision{Handle: ev.Handle, Verdict: Refuse})
	}
	k.take()
	return append(out, Decision{Handle: ev.Handle, Verdict: Admit})
}
