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

// fixedReport returns a report of constant synthetic results.
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
		r := result{kindIndex: i % 2, offset: time.Duration(i) * 50 * time.Millisecond, sendDelay: 40 * time.Microsecond, attempts: 1, outcome: outcomeWhole}
		r.totalLatency = time.Duration(1+i*i) * time.Millisecond
		if i%2 == 1 {
			r.tokens, r.firstTokenLatency = 4, r.totalLatency/3
			r.tokenGaps = []time.Duration{time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond}
		}
		switch {
		case i%10 == 3:
			r.outcome, r.detail = outcomeCut, "the stream ended without [DONE]"
		case i%10 == 4:
			r.outcome, r.notRun, r.attempts = "overloaded (not-run)", true, 2
		case i > 90:
			r.outcome = outcomeNotSent
		}
		t.add(&r)
	}
	return t.report(p, &Side{Targets: []string{"127.0.0.1:8080"}})
}

// The table, the JSON and the plot of a report match their golden files, and none
// of them contains a caller key.
func TestReportFormats(t *testing.T) {
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
	is.NoErr(xml.Unmarshal(plot.Bytes(), new(struct{}))) // fails unless the < in a name is escaped
	is.NoErr((&Report{Plan: r.Plan}).WriteSVG(&plot))    // a run without any answers
}
