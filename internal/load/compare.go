package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// Comparison is the result of one plan sent to two sides in alternation, so that
// both were measured on the same machine at the same time.
type Comparison struct {
	Sides       [2]*Report          `json:"sides"`
	Differences []LatencyDifference `json:"added"`
}

// LatencyDifference is the latency of the first side minus that of the second, in
// microseconds.
type LatencyDifference struct {
	Kind   string `json:"kind"`
	Metric string `json:"what"` // total, first token or between tokens
	Mean   int64  `json:"mean_us"`
	P50    int64  `json:"p50_us"`
	P90    int64  `json:"p90_us"`
	P99    int64  `json:"p99_us"`
}

// Compare sends the plan's requests to two sides in alternation, half of the rate
// to each. It returns a comparison also if ctx is cancelled, with ctx's error.
func Compare(ctx context.Context, p *Plan, first, second Side) (*Comparison, error) {
	if first.Name == second.Name {
		return nil, errors.New("load: both sides of the comparison have the same name; give each its own")
	}
	reports, err := run(ctx, p, []Side{first, second})
	if reports == nil {
		return nil, err
	}
	c := &Comparison{Sides: [2]*Report{reports[0], reports[1]}}
	for i := range reports[0].Kinds {
		a, b := &reports[0].Kinds[i], &reports[1].Kinds[i]
		c.add(a.Name, "total", &a.Total, &b.Total)
		c.add(a.Name, "first token", &a.FirstToken, &b.FirstToken)
		c.add(a.Name, "between tokens", &a.BetweenTokens, &b.BetweenTokens)
	}
	return c, err
}

// add appends the difference of a and b, unless one of them has no values.
func (c *Comparison) add(kind, what string, a, b *Latency) {
	if a.Count == 0 || b.Count == 0 {
		return
	}
	c.Differences = append(c.Differences, LatencyDifference{
		Kind: kind, Metric: what, Mean: a.Mean - b.Mean, P50: a.P50 - b.P50, P90: a.P90 - b.P90, P99: a.P99 - b.P99,
	})
}

// WriteJSON writes the comparison as JSON.
func (c *Comparison) WriteJSON(w io.Writer) error { return writeJSON(w, c) }

// WriteTable writes the comparison as text tables.
func (c *Comparison) WriteTable(w io.Writer) error {
	for _, r := range c.Sides {
		if err := r.WriteTable(w); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s above %s\tmean\tp50\tp90\tp99\t\n", c.Sides[0].Name, c.Sides[1].Name)
	for _, d := range c.Differences {
		fmt.Fprintf(t, "%s %s\t%s\t%s\t%s\t%s\t\n", d.Kind, d.Metric, formatMicros(d.Mean), formatMicros(d.P50), formatMicros(d.P90), formatMicros(d.P99))
	}
	return t.Flush()
}
