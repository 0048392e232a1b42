package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicros and maxLatencyMicros are the range of the histograms, in
	// microseconds, with significantDigits decimal digits.
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	// maxDetails limits the number of different failure details that are counted
	// per kind of request.
	maxDetails = 8
)

// tally aggregates the results of one side. It is used by one goroutine.
type tally struct {
	plan      *Plan
	kinds     []kindTally
	sendDelay *hdrhistogram.Histogram
	seconds   []SecondCounts // by second of the intended start
	sent      int
	notSent   int
	retries   int
}

// kindTally aggregates the results of one kind of request.
type kindTally struct {
	outcomes map[string]int
	details  map[string]int
	total    *hdrhistogram.Histogram // of whole answers
	first    *hdrhistogram.Histogram // of streams with a token
	gap      *hdrhistogram.Histogram // between consecutive tokens
	tokens   int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func newTally(p *Plan) *tally {
	t := &tally{plan: p, sendDelay: newHistogram(), kinds: make([]kindTally, len(p.Requests))}
	for i := range t.kinds {
		t.kinds[i] = kindTally{
			outcomes: make(map[string]int), details: make(map[string]int),
			total: newHistogram(), first: newHistogram(), gap: newHistogram(),
		}
	}
	t.seconds = make([]SecondCounts, int((time.Duration(p.Duration)+time.Second-1)/time.Second))
	for i := range t.seconds {
		t.seconds[i].Second = i
	}
	return t
}

// recordLatency adds a latency to the histogram, limited to the histogram's range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	_ = h.RecordValue(us) // cannot fail within the range
}

// add counts one result.
func (t *tally) add(r *result) {
	k := &t.kinds[r.kindIndex]
	k.outcomes[r.outcome]++
	t.countSecond(r)
	if r.outcome == outcomeNotSent {
		t.notSent++
		return
	}
	t.sent++
	t.retries += r.attempts - 1
	recordLatency(t.sendDelay, r.sendDelay)
	k.tokens += r.tokens
	switch {
	case r.outcome == outcomeWhole:
		recordLatency(k.total, r.totalLatency)
	case r.notRun: // only its outcome is counted: the message contains varying times
	case len(k.details) < maxDetails || k.details[r.detail] > 0:
		k.details[r.detail]++
	}
	if r.firstTokenLatency > 0 {
		recordLatency(k.first, r.firstTokenLatency)
	}
	for _, g := range r.tokenGaps {
		recordLatency(k.gap, g)
	}
}

// countSecond counts the outcome of the result in the second of its intended start.
func (t *tally) countSecond(r *result) {
	s := &t.seconds[min(int(r.offset/time.Second), len(t.seconds)-1)]
	switch {
	case r.outcome == outcomeWhole:
		s.Whole++
	case r.outcome == outcomeNotSent:
		s.NotSent++
	case r.notRun:
		s.Refused++
	default:
		s.Failed++
	}
}

// report returns the report for the side.
func (t *tally) report(p *Plan, s *Side) *Report {
	r := &Report{
		Name: s.Name, Targets: s.Targets, Plan: p,
		Sent: t.sent, NotSent: t.notSent, Retries: t.retries,
		SendDelay: latencyStatistics(t.sendDelay), Seconds: t.seconds,
	}
	for i := range t.kinds {
		k := &t.kinds[i]
		r.Kinds = append(r.Kinds, KindReport{
			Name: p.Requests[i].Name, Type: p.Requests[i].Type,
			Outcomes: sortedCounts(k.outcomes), Details: sortedCounts(k.details), Tokens: k.tokens,
			Total: latencyStatistics(k.total), FirstToken: latencyStatistics(k.first), BetweenTokens: latencyStatistics(k.gap),
		})
	}
	return r
}

// sortedCounts returns the counts with a name, the largest first, then by name.
func sortedCounts(m map[string]int) []Count {
	var out []Count
	for name, n := range m {
		if name != "" {
			out = append(out, Count{Name: name, Count: n})
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// curveQuantiles are the percentiles of the points of a latency curve.
var curveQuantiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 100}

// latencyStatistics returns the statistics and the curve of a histogram.
func latencyStatistics(h *hdrhistogram.Histogram) Latency {
	l := Latency{Count: h.TotalCount()}
	if l.Count == 0 {
		return l
	}
	l.Mean = int64(h.Mean())
	l.P50, l.P90, l.P99, l.P999 = h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9)
	l.Max = h.Max()
	for _, q := range curveQuantiles {
		l.Curve = append(l.Curve, Point{Percentile: q, Micros: h.ValueAtQuantile(q)})
	}
	return l
}
