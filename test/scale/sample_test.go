package scale

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

const (
	ticksPerSecond = 100 // USER_HZ, the unit of /proc/PID/stat
	pageSize       = 4096
)

// sample is a node's cumulative usage at one time.
type sample struct {
	at          time.Time
	cpu         time.Duration
	memoryBytes float64 // resident set size
	counts      map[string]float64
}

// takeSample reads a node's usage and counters. The scrape costs the node a few
// milliseconds, once in each measured span.
func (n *node) takeSample(b *testing.B) sample {
	b.Helper()
	s := sample{at: time.Now(), counts: n.scrape(b)}
	s.cpu, s.memoryBytes = n.processUsage(b)
	return s
}

// processUsage returns the processor time and the resident memory in bytes of
// the node's process.
func (n *node) processUsage(b *testing.B) (cpu time.Duration, memory float64) {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	must(b, err)
	// The name in parentheses may contain spaces; utime and stime are the 12th
	// and 13th fields after it, the resident pages the 22nd.
	words := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := parseFloat(b, words[11]) + parseFloat(b, words[12])
	return time.Duration(ticks / ticksPerSecond * float64(time.Second)), parseFloat(b, words[21]) * pageSize
}

// parseFloat parses a number and fails the benchmark if it is invalid.
func parseFloat(b *testing.B, word string) float64 {
	b.Helper()
	v, err := strconv.ParseFloat(word, 64)
	must(b, err)
	return v
}

// scrape returns the node's counters and gauges by name and labels.
func (n *node) scrape(b *testing.B) map[string]float64 {
	b.Helper()
	res, err := http.Get("http://" + n.operatorAddr + "/metrics")
	must(b, err)
	defer res.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(res.Body)
	must(b, err)
	out := map[string]float64{}
	for name, f := range families {
		for _, m := range f.Metric {
			switch f.GetType() {
			case dto.MetricType_COUNTER:
				out[name+labels(m)] = m.Counter.GetValue()
			case dto.MetricType_GAUGE:
				out[name+labels(m)] = m.Gauge.GetValue()
			}
		}
	}
	return out
}

func labels(m *dto.Metric) string {
	var s strings.Builder
	for _, l := range m.Label {
		fmt.Fprintf(&s, " %s=%s", l.GetName(), l.GetValue())
	}
	return s.String()
}

// sum adds up the counters and gauges whose name and labels start with prefix
// and contain all parts.
func (s sample) sum(prefix string, parts ...string) float64 {
	total := 0.0
next:
	for k, v := range s.counts {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		for _, p := range parts {
			if !strings.Contains(k, p) {
				continue next
			}
		}
		total += v
	}
	return total
}

// span is the usage of one node between two samples.
type span struct{ from, to sample }

func (s span) seconds() float64 { return s.to.at.Sub(s.from.at).Seconds() }

// corePercent returns the average processor usage in percent of one core.
func (s span) corePercent() float64 { return 100 * (s.to.cpu - s.from.cpu).Seconds() / s.seconds() }

// rate returns the growth of the matching counters per second.
func (s span) rate(prefix string, parts ...string) float64 {
	return (s.to.sum(prefix, parts...) - s.from.sum(prefix, parts...)) / s.seconds()
}

// sampleDuring samples all nodes before and after work runs.
func (f *testFleet) sampleDuring(work func()) []span {
	f.b.Helper()
	spans := make([]span, len(f.nodes))
	for i, n := range f.nodes {
		spans[i].from = n.takeSample(f.b)
	}
	work()
	for i, n := range f.nodes {
		spans[i].to = n.takeSample(f.b)
	}
	return spans
}

// mean returns the mean value over nodes.
func mean(spans []span, value func(span) float64) float64 {
	total := 0.0
	for _, s := range spans {
		total += value(s)
	}
	return total / float64(len(spans))
}

// maximum returns the highest value over nodes, or 0 if none is positive.
func maximum(spans []span, value func(span) float64) float64 {
	result := 0.0
	for _, s := range spans {
		result = max(result, value(s))
	}
	return result
}

// loadAverage returns the one-minute load average of the machine, to detect
// other load.
func loadAverage(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile("/proc/loadavg")
	must(b, err)
	return parseFloat(b, strings.Fields(string(text))[0])
}
