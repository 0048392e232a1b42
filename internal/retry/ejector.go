package retry

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
)

// Ejector wraps Outliers for concurrent use. Checking a candidate that is not ejected
// takes no lock.
type Ejector struct {
	clock clock.Clock
	log   *slog.Logger

	mu       sync.Mutex
	outliers *Outliers
	// ejectedIDs is the set of ejected candidates; each change replaces the whole map.
	ejectedIDs atomic.Pointer[map[ID]struct{}]

	ejections *prometheus.CounterVec
	ejected   prometheus.Gauge
}

// NewEjector returns an Ejector without candidates. If c is nil, a monotonic clock is
// used; reg may be nil.
func NewEjector(o OutlierOptions, c clock.Clock, log *slog.Logger, reg prometheus.Registerer) *Ejector {
	if c == nil {
		c = newSteadyClock()
	}
	e := &Ejector{
		clock: c, log: log, outliers: NewOutliers(o),
		ejections: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_retry_ejections_total", Help: "Ejections of endpoints and groups, by reason.",
		}, []string{"reason"}),
		ejected: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "chervilloom_retry_ejected_candidates", Help: "Endpoints and groups that are ejected now.",
		}),
	}
	e.ejectedIDs.Store(&map[ID]struct{}{})
	if reg != nil {
		reg.MustRegister(e.ejections, e.ejected)
	}
	return e
}

// SetCandidates replaces the set of candidates. It copies ids.
func (e *Ejector) SetCandidates(ids []ID) {
	e.step("", Candidates{IDs: ids}, true)
}

// AllowRequest reports whether a request may be sent to the candidate now. After an ejection it
// grants a single trial request, so it must be called only for the candidate that the
// request is sent to, and the result must be reported.
func (e *Ejector) AllowRequest(id ID) bool {
	if !e.Ejected(id) {
		return true
	}
	return e.step(id, SendRequested{ID: id}, false).Verdict != Refuse
}

// Ejected reports whether the candidate is ejected or in its trial. It changes no state.
func (e *Ejector) Ejected(id ID) bool {
	_, out := (*e.ejectedIDs.Load())[id]
	return out
}

// Report records the result of a request. failed means that the failure counts against
// the candidate.
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
	d := e.outliers.Step(now, ev)
	switch d.Verdict {
	case Eject:
		e.ejections.WithLabelValues(d.Reason).Inc()
		e.log.Warn("ejected", "id", id, "reason", d.Reason, "ejected_seconds", d.Until.Sub(now).Seconds())
		publish = true
	case Restore:
		e.log.Info("ejection ended", "id", id)
		publish = true
	}
	if publish {
		e.publish()
	}
	return d
}

func (e *Ejector) publish() {
	out := make(map[ID]struct{}, e.outliers.ejected)
	for id, m := range e.outliers.members {
		if m.ejected {
			out[id] = struct{}{}
		}
	}
	e.ejected.Set(float64(len(out)))
	e.ejectedIDs.Store(&out)
}
