package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestLatency and highestLatency bound the histograms, in microseconds;
	// precision is the number of significant digits.
	lowestLatency  = 1
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	precision      = 3
	// detailsKept is how many different explanations of failures are kept for
	// each kind of request.
	detailsKept = 8
)

// tally counts the results of one side. One goroutine owns it.
type tally struct {
	plan    *Plan
	kinds   []kindTally
	late    *hdrhistogram.Histogram
	seconds []Second
	sent    int
	notSent int
	retries int
}

type kindTally struct {
	outcomes map[string]int
	details  map[string]int
	total    *hdrhistogram.Histogram // of whole answers
	first    *hdrhistogram.Histogram // of streams with a token
	gap      *hdrhistogram.Histogram
	tokens   int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, precision)
}

func newTally(p *Plan) *tally {
	t := &tally{plan: p, late: newHistogram(), kinds: make([]kindTally, len(p.Requests))}
	for i := range t.kinds {
		t.kinds[i] = kindTally{
			outcomes: make(map[string]int), details: make(map[string]int),
			total: newHistogram(), first: newHistogram(), gap: newHistogram(),
		}
	}
	t.seconds = make([]Second, int((time.Duration(p.Duration)+time.Second-1)/time.Second))
	for i := range t.seconds {
		t.seconds[i].Second = i
	}
	return t
}

// record adds a latency; one beyond the bounds counts as the bound.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowestLatency), highestLatency)
	_ = h.RecordValue(us) // within the bounds
}

func (t *tally) add(r *result) {
	k := &t.kinds[r.request]
	k.outcomes[r.outcome]++
	t.second(r)
	if r.outcome == outcomeNotSent {
		t.notSent++
		return
	}
	t.sent++
	t.retries += r.tries - 1
	record(t.late, r.late)
	k.tokens += r.tokens
	switch {
	case r.outcome == outcomeWhole:
		record(k.total, r.total)
	case r.refused: // counted by kind; its text holds times that differ each time
	case len(k.details) < detailsKept || k.details[r.detail] > 0:
		k.details[r.detail]++
	}
	if r.first > 0 {
		record(k.first, r.first)
	}
	for _, g := range r.gaps {
		record(k.gap, g)
	}
}

// second counts the result in the second of its intended start.
func (t *tally) second(r *result) {
	s := &t.seconds[min(int(r.at/time.Second), len(t.seconds)-1)]
	switch {
	case r.outcome == outcomeWhole:
		s.Whole++
	case r.outcome == outcomeNotSent:
		s.NotSent++
	case r.refused:
		s.Refused++
	default:
		s.Failed++
	}
}

func (t *tally) report(p *Plan, s *Side) *Report {
	r := &Report{
		Name: s.Name, Targets: s.Targets, Plan: p,
		Sent: t.sent, NotSent: t.notSent, Retries: t.retries,
		Late: latencyOf(t.late), Seconds: t.seconds,
	}
	for i := range t.kinds {
		k := &t.kinds[i]
		r.Kinds = append(r.Kinds, Kind{
			Name: p.Requests[i].Name, Type: p.Requests[i].Type,
			Outcomes: countsOf(k.outcomes), Details: countsOf(k.details), Tokens: k.tokens,
			Total: latencyOf(k.total), FirstToken: latencyOf(k.first), BetweenTokens: latencyOf(k.gap),
		})
	}
	return r
}

// countsOf sorts counts, the largest first.
func countsOf(m map[string]int) []Count {
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

// curveQuantiles are the points of a latency curve, in per cent.
var curveQuantiles = []float64{0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.95, 99.99, 100}

func latencyOf(h *hdrhistogram.Histogram) Latency {
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
