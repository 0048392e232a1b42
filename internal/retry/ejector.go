package retry

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
)

// Ejector is Outliers for concurrent use. Asking for a candidate that is not
// ejected takes no lock.
type Ejector struct {
	clock clock.Clock
	log   *slog.Logger

	mu  sync.Mutex
	set *Outliers
	// out is the set of ejected candidates, replaced whole at each change.
	out atomic.Pointer[map[ID]struct{}]

	ejections *prometheus.CounterVec
	ejected   prometheus.Gauge
}

// NewEjector returns an ejector that knows no candidates. c may be nil: a
// monotonic clock; reg may be nil.
func NewEjector(o OutlierOptions, c clock.Clock, log *slog.Logger, reg prometheus.Registerer) *Ejector {
	if c == nil {
		c = newSteady()
	}
	e := &Ejector{
		clock: c, log: log, set: NewOutliers(o),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_retry_ejections_total", Help: "Ejections of endpoints and groups, by reason.",
		}, []string{"reason"}),
		ejected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_retry_ejected_candidates", Help: "Endpoints and groups that are ejected now.",
		}),
	}
	e.out.Store(&map[ID]struct{}{})
	if reg != nil {
		reg.MustRegister(e.ejections, e.ejected)
	}
	return e
}

// SetCandidates tells who there is to choose from. It copies ids.
func (e *Ejector) SetCandidates(ids []ID) {
	e.step("", Candidates{IDs: ids}, true)
}

// Usable reports whether a request may be sent to the candidate now. It gives
// out the one trial of a candidate whose ejection is over, so ask only for the
// one that the request goes to, and report its result.
func (e *Ejector) Usable(id ID) bool {
	if !e.Ejected(id) {
		return true
	}
	return e.step(id, Wanted{ID: id}, false).Verdict != Refuse
}

// Ejected reports whether the candidate is ejected or waits for its trial. It
// changes nothing.
func (e *Ejector) Ejected(id ID) bool {
	_, out := (*e.out.Load())[id]
	return out
}

// Report tells how a request ended. failed means that the candidate is to blame.
func (e *Ejector) Report(id ID, failed bool) {
	if failed {
		e.step(id, Failed{ID: id}, false)
		return
	}
	e.step(id, Succeeded{ID: id}, false)
}

func (e *Ejector) step(id ID, ev Event, publish bool) Decision {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.set.Step(now, ev)
	switch d.Verdict {
	case Eject:
		e.ejections.WithLabelValues(d.Reason).Inc()
		e.log.Warn("ejected", "id", id, "reason", d.Reason, "ejected_seconds", d.Until.Sub(now).Seconds())
		publish = true
	case Return:
		e.log.Info("ejected no more", "id", id)
		publish = true
	}
	if publish {
		e.publish()
	}
	return d
}

func (e *Ejector) publish() {
	out := make(map[ID]struct{}, e.set.ejected)
	for id, m := range e.set.members {
		if m.out {
			out[id] = struct{}{}
		}
	}
	e.ejected.Set(float64(len(out)))
	e.out.Store(&out)
}
