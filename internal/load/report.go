package load

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of a run for one side.
type Report struct {
	Name    string   `json:"name,omitempty"` // of the side in a comparison
	Targets []string `json:"targets"`
	Plan    *Plan    `json:"plan"` // its JSON has no caller keys
	Sent    int      `json:"sent"`
	// NotSent is the number of requests that were due while InFlight others were
	// in flight.
	NotSent   int            `json:"not_sent"`
	Retries   int            `json:"retries"`
	SendDelay Latency        `json:"late"` // from intended to actual start: the error of the load tool itself
	Kinds     []KindReport   `json:"kinds"`
	Seconds   []SecondCounts `json:"seconds"`
}

// KindReport has the results of one kind of request.
type KindReport struct {
	Name          string      `json:"name"`
	Type          RequestType `json:"type"`
	Outcomes      []Count     `json:"outcomes"`          // most frequent first
	Details       []Count     `json:"details,omitempty"` // explanations of failures; the number of different ones is limited
	Tokens        int         `json:"tokens,omitempty"`
	Total         Latency     `json:"total"` // whole answers only
	FirstToken    Latency     `json:"first_token"`
	BetweenTokens Latency     `json:"between_tokens"`
}

// Count is the number of occurrences of an outcome or detail.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Latency is a latency distribution, in microseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  int64   `json:"mean_us,omitempty"`
	P50   int64   `json:"p50_us,omitempty"`
	P90   int64   `json:"p90_us,omitempty"`
	P99   int64   `json:"p99_us,omitempty"`
	P999  int64   `json:"p999_us,omitempty"`
	Max   int64   `json:"max_us,omitempty"`
	Curve []Point `json:"curve,omitempty"`
}

// Point is one point of a latency distribution.
type Point struct {
	Percentile float64 `json:"percentile"`
	Micros     int64   `json:"us"`
}

// SecondCounts counts the requests that were due in one second, by outcome.
type SecondCounts struct {
	Second  int `json:"second"` // from the start of the run
	Whole   int `json:"whole"`
	Refused int `json:"refused"` // rejected as not run
	Failed  int `json:"failed"`  // other outcomes: wrong, cut, unknown, no answer or timeout
	NotSent int `json:"not_sent"`
}

// Count returns the number of requests of all kinds with the given outcome.
func (r *Report) Count(outcome string) (n int) {
	for i := range r.Kinds {
		for _, c := range r.Kinds[i].Outcomes {
			if c.Name == outcome {
				n += c.Count
			}
		}
	}
	return n
}

// Whole returns the number of complete answers that passed all checks.
func (r *Report) Whole() int { return r.Count(outcomeWhole) }

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error { return writeJSON(w, r) }

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	title := strings.Join(r.Targets, " ")
	if r.Name != "" {
		title = r.Name + ": " + title
	}
	fmt.Fprintf(w, "%s\n%s\n", title, r.summary())
	fmt.Fprintln(t, "kind\tcount\tmean\tp50\tp90\tp99\tp99.9\tmax\t")
	for i := range r.Kinds {
		k := &r.Kinds[i]
		writeLatencyRow(t, k.Name, &k.Total)
		writeLatencyRow(t, k.Name+" first token", &k.FirstToken)
		writeLatencyRow(t, k.Name+" between tokens", &k.BetweenTokens)
	}
	writeLatencyRow(t, "send delay", &r.SendDelay)
	if err := t.Flush(); err != nil {
		return err
	}
	return r.writeOutcomes(w)
}

func (r *Report) summary() string {
	p := r.Plan
	return fmt.Sprintf("%s arrivals, %g per second for %s, seed %d: %d sent, %d not sent, %d retries",
		p.Arrivals, p.Rate, time.Duration(p.Duration), p.Seed, r.Sent, r.NotSent, r.Retries)
}

func writeLatencyRow(w io.Writer, name string, l *Latency) {
	if l.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n", name, l.Count,
		formatMicros(l.Mean), formatMicros(l.P50), formatMicros(l.P90), formatMicros(l.P99), formatMicros(l.P999), formatMicros(l.Max))
}

func (r *Report) writeOutcomes(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nkind\toutcome\tcount")
	for i := range r.Kinds {
		k := &r.Kinds[i]
		for _, c := range k.Outcomes {
			fmt.Fprintf(t, "%s\t%s\t%d\n", k.Name, c.Name, c.Count)
		}
	}
	for i := range r.Kinds {
		k := &r.Kinds[i]
		for _, c := range k.Details {
			fmt.Fprintf(t, "%s\t  %s\t%d\n", k.Name, c.Name, c.Count)
		}
	}
	return t.Flush()
}

// formatMicros formats microseconds as a duration, rounded to 100 µs from 10 ms and to
// 10 ms from 10 s.
func formatMicros(us int64) string {
	switch d := time.Duration(us) * time.Microsecond; {
	case d < 10*time.Millisecond:
		return d.String()
	case d < 10*time.Second:
		return d.Round(100 * time.Microsecond).String()
	default:
		return d.Round(10 * time.Millisecond).String()
	}
}
