package once

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/platform"
)

// metrics holds the metrics of the package.
type metrics struct {
	decisions    *prometheus.CounterVec
	transactions *prometheus.CounterVec
	notesDropped prometheus.Counter
	swept        prometheus.Counter
	claimSeconds prometheus.Histogram
}

func newMetrics(reg prometheus.Registerer, mem *memory) *metrics {
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_once_decisions_total", Help: "Decisions on tries with a key or ticket.",
		}, []string{"mechanism", "decision"}),
		transactions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "chervilloom_once_table_transactions_total", Help: "Transactions on the keys table by result.",
		}, []string{"result"}),
		notesDropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_once_notes_dropped_total", Help: "Outcomes not queued for the table for want of room.",
		}),
		swept: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "chervilloom_once_rows_swept_total", Help: "Expired rows deleted by this node.",
		}),
		claimSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "chervilloom_once_claim_seconds", Help: "Time that a call waited for its claim.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
	}
	if reg == nil {
		return m
	}
	entries := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervilloom_once_entries", Help: "Keys and tickets held in memory.",
	}, func() float64 { return float64(mem.entryCount.Load()) })
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "chervilloom_once_held_bytes", Help: "Bytes of first answers held in memory.",
	}, func() float64 { return float64(mem.answerBytes.Load()) })
	reg.MustRegister(m.decisions, m.transactions, m.notesDropped, m.swept, m.claimSeconds, entries, held)
	return m
}

func resultLabel(res platform.Result, err error) string {
	switch {
	case err == nil && res.Committed:
		return "committed"
	case err == nil:
		return "refused"
	case errors.Is(err, platform.ErrUnavailable):
		return "down"
	}
	return "unclear"
}
