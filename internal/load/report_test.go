package load

import (
	"bytes"
	"encoding/xml"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"chervilloom/internal/config"
)

// fixedReport is a report of made-up results.
func fixedReport() *Report {
	p := &Plan{
		Version: 1, Seed: 7, Rate: 20, Duration: config.Duration(5 * time.Second), Arrivals: ArrivalsConstant,
		InFlight: 8, Timeout: config.Duration(10 * time.Second),
		Organisations: []Organisation{{Name: "north", Key: "secret", Weight: 1}},
		Requests: []Request{
			{Name: "status", Type: TypeLookup, Weight: 1, Method: "GET", Service: "counter", Path: "/status/{n}"},
			{Name: "<chat>", Type: TypeChat, Weight: 1, Model: "m", MaxTokens: 4, Stream: true},
		},
	}
	t := newTally(p)
	for i := range 100 {
		r := result{request: i % 2, at: time.Duration(i) * 50 * time.Millisecond, late: 40 * time.Microsecond, tries: 1, outcome: outcomeWhole}
		r.total = time.Duration(1+i*i) * time.Millisecond
		if i%2 == 1 {
			r.tokens, r.first = 4, r.total/3
			r.gaps = []time.Duration{time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond}
		}
		switch {
		case i%10 == 3:
			r.outcome, r.detail = outcomeCut, "the stream ended without [DONE]"
		case i%10 == 4:
			r.outcome, r.refused, r.tries = "overloaded (not-run)", true, 2
		case i > 90:
			r.outcome = outcomeNotSent
		}
		t.add(&r)
	}
	return t.report(p, &Side{Targets: []string{"127.0.0.1:8080"}})
}

// Whoever reads the report of a run finds the same figures as a table, as JSON
// and as a plot; the callers' keys are in none of them.
func TestReportGolden(t *testing.T) {
	is := is.New(t)
	r := fixedReport()
	var table, doc, plot bytes.Buffer
	is.NoErr(r.WriteTable(&table))
	is.NoErr(r.WriteJSON(&doc))
	is.NoErr(r.WriteSVG(&plot))
	g := goldie.New(t)
	for name, b := range map[string][]byte{"table": table.Bytes(), "json": doc.Bytes(), "svg": plot.Bytes()} {
		is.True(!bytes.Contains(b, []byte("secret")))
		g.Assert(t, name, b)
	}
	is.NoErr(xml.Unmarshal(plot.Bytes(), new(struct{}))) // a name with < in it is escaped
	is.NoErr((&Report{Plan: r.Plan}).WriteSVG(&plot))    // a run in which nothing was answered
}
