package account

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/answer"
	"chervilloom/internal/filter"
	"chervilloom/internal/request"
)

// answerBuckets range from 1 ms, a lookup, to 10 minutes, a long model answer, in
// seconds.
var answerBuckets = []float64{
	.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 20, 30, 60, 120, 300, 600,
}

// filterBuckets range from 5 µs, a decision, to 1 minute in a full queue, in
// seconds.
var filterBuckets = []float64{
	5e-6, 1e-5, 2e-5, 5e-5, 1e-4, 2e-4, 5e-4, .001, .005, .02, .1, .5, 2, 10, 60,
}

type metrics struct {
	requests   *prometheus.CounterVec
	firstFrame *prometheus.HistogramVec
	total      *prometheus.HistogramVec
	filters    *prometheus.HistogramVec
	answered   *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_path_requests_total", Help: "Requests by class, outcome and kind of failure.",
		}, []string{"class", "outcome", "kind"}),
		firstFrame: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilloom_path_first_seconds", Help: "Time to the first piece of an answer.", Buckets: answerBuckets,
		}, []string{"class"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilloom_path_duration_seconds", Help: "Time to the end of an answer.", Buckets: answerBuckets,
		}, []string{"class", "outcome"}),
		filters: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "chervilloom_path_filter_seconds", Help: "Time a filter took before it handed a request on.", Buckets: filterBuckets,
		}, []string{"filter", "class"}),
		answered: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_path_filter_answered_total", Help: "Requests that a filter answered itself.",
		}, []string{"filter", "class"}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.firstFrame, m.total, m.filters, m.answered)
	}
	return m
}

func (m *metrics) observe(req *request.Request, l summary, hasFirstFrame bool) {
	class := class(req)
	m.requests.WithLabelValues(class, string(l.outcome), l.kind).Inc()
	m.total.WithLabelValues(class, string(l.outcome)).Observe(l.total.Seconds())
	if hasFirstFrame {
		m.firstFrame.WithLabelValues(class).Observe(l.timeToFirstFrame.Seconds())
	}
}

func class(req *request.Request) string {
	if req.Class == "" {
		return "unidentified"
	}
	return string(req.Class)
}

// Timed returns f with its duration measured under the given name, from the
// entry of a request until f passes it to the next handler.
func (a *Account) Timed(name string, f filter.Filter) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		inner := f(filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			if t, ok := ctx.Value(timerKey(name)).(*timer); ok {
				t.observe(req)
			}
			next.Serve(ctx, req, w)
		}))
		return filter.Func(func(ctx context.Context, req *request.Request, w answer.Writer) {
			t := &timer{account: a, name: name, started: a.opt.Clock.Now().Sub(0)}
			inner.Serve(context.WithValue(ctx, timerKey(name), t), req, w)
			t.countAnswered(req)
		})
	}
}

type timerKey string

// timer measures one filter's duration for one request. A filter that shares one
// run between several callers passes the request on only once. A request that
// the filter answers itself is counted instead.
type timer struct {
	account *Account
	name    string
	started time.Duration
	once    sync.Once
}

func (t *timer) observe(req *request.Request) {
	t.once.Do(func() {
		d := t.account.opt.Clock.Now().Sub(0) - t.started
		t.account.metrics.filters.WithLabelValues(t.name, class(req)).Observe(d.Seconds())
	})
}

func (t *timer) countAnswered(req *request.Request) {
	t.once.Do(func() {
		t.account.metrics.answered.WithLabelValues(t.name, class(req)).Inc()
	})
}
