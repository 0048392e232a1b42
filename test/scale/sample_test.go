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

// sample is what a node has used so far.
type sample struct {
	at     time.Time
	cpu    time.Duration
	memory float64 // resident bytes
	counts map[string]float64
}

// take reads a node's counters. The scrape itself costs the node a few
// milliseconds, once in each span that is measured.
func (n *node) take(b *testing.B) sample {
	b.Helper()
	s := sample{at: time.Now(), counts: n.scrape(b)}
	s.cpu, s.memory = n.usage(b)
	return s
}

func (n *node) usage(b *testing.B) (cpu time.Duration, memory float64) {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	must(b, err)
	// The name in parentheses may hold spaces; utime and stime are the 12th and
	// 13th words after it, the resident pages the 22nd.
	words := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	ticks := number(b, words[11]) + number(b, words[12])
	return time.Duration(ticks / ticksPerSecond * float64(time.Second)), number(b, words[21]) * pageSize
}

func number(b *testing.B, word string) float64 {
	b.Helper()
	v, err := strconv.ParseFloat(word, 64)
	must(b, err)
	return v
}

// scrape returns the node's counters and gauges, by name and labels.
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

// sum adds up the counters whose name and labels begin with prefix and contain
// all parts.
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

// span is what one node used between two samples.
type span struct{ from, to sample }

func (s span) seconds() float64 { return s.to.at.Sub(s.from.at).Seconds() }

// core returns the part of a core used, in percent.
func (s span) core() float64 { return 100 * (s.to.cpu - s.from.cpu).Seconds() / s.seconds() }

// rate returns the growth a second of the counters.
func (s span) rate(prefix string, parts ...string) float64 {
	return (s.to.sum(prefix, parts...) - s.from.sum(prefix, parts...)) / s.seconds()
}

// watch samples all nodes before and after f.
func (f *testFleet) watch(do func()) []span {
	f.b.Helper()
	spans := make([]span, len(f.nodes))
	for i, n := range f.nodes {
		spans[i].from = n.take(f.b)
	}
	do()
	for i, n := range f.nodes {
		spans[i].to = n.take(f.b)
	}
	return spans
}

// mean and most of a figure over nodes.
func mean(spans []span, of func(span) float64) float64 {
	total := 0.0
	for _, s := range spans {
		total += of(s)
	}
	return total / float64(len(spans))
}

func most(spans []span, of func(span) float64) float64 {
	top := 0.0
	for _, s := range spans {
		top = max(top, of(s))
	}
	return top
}

// loadAverage is what else the machine did.
func loadAverage(b *testing.B) float64 {
	b.Helper()
	text, err := os.ReadFile("/proc/loadavg")
	must(b, err)
	return number(b, strings.Fields(string(text))[0])
}
