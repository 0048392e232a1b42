package operator_test

import (
	"context"
	"log/slog"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/node"
	"chervilloom/internal/settings"
)

const (
	alertsFile = "../../docs/alerts.yaml"
	manualFile = "../../docs/OPERATIONS.md"
)

// rulesFile is the part of a Prometheus rules file that the tests check.
type rulesFile struct {
	Groups []struct {
		Name  string `yaml:"name"`
		Rules []rule `yaml:"rules"`
	} `yaml:"groups"`
}

type rule struct {
	Alert       string            `yaml:"alert"`
	Expr        string            `yaml:"expr"`
	For         string            `yaml:"for"`
	Labels      map[string]string `yaml:"labels"`
	Annotations map[string]string `yaml:"annotations"`
}

func readRules(t *testing.T) rulesFile {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(alertsFile)
	is.NoErr(err)
	var r rulesFile
	is.NoErr(yaml.UnmarshalWithOptions(data, &r, yaml.Strict()))
	return r
}

// metricUse is a metric with the labels that an expression selects by.
type metricUse struct {
	metric string
	labels []string
}

var (
	descName   = regexp.MustCompile(`fqName: "([^"]*)"`)
	descConst  = regexp.MustCompile(`constLabels: \{([^}]*)\}`)
	descLabels = regexp.MustCompile(`variableLabels: \{([^}]*)\}`)
	labelName  = regexp.MustCompile(`([a-zA-Z_]+)="`)
	selector   = regexp.MustCompile(`([a-zA-Z_:][a-zA-Z0-9_:]*)\s*(\{[^}]*\})?\s*(\()?`)
	matcher    = regexp.MustCompile(`([a-zA-Z_]+)\s*(=~|!~|!=|=)\s*"[^"]*"`)
	grouping   = regexp.MustCompile(`\b(by|without|on|ignoring)\s*\([^)]*\)`)
	duration   = regexp.MustCompile(`\[[0-9a-z]+\]`)
	histogram  = regexp.MustCompile(`_(bucket|sum|count)$`)
)

// registeredMetrics returns the labels of the metrics that a node registers, by
// metric name.
func registeredMetrics(t *testing.T) map[string][]string {
	t.Helper()
	is := is.New(t)
	set, err := settings.Parse("node", []byte(`
vm: entry-1
availability_zone: baneshwor
ip: 127.0.0.1
listen: {caller: "127.0.0.1:0", operator: "127.0.0.1:0", peer: "127.0.0.1:0"}
platform: {url: "http://127.0.0.1:1"}
peer: {secret: "a secret of this test, for loopback only"}
timing: {drain_notice: 1ms}
`))
	is.NoErr(err)
	reg := prometheus.NewRegistry()
	n, err := node.New(node.Options{Settings: set, Log: slog.New(slog.DiscardHandler), Registry: reg, Clock: clock.Boot{}})
	is.NoErr(err)
	stopped, stop := context.WithCancel(context.Background())
	stop()
	is.NoErr(n.Run(stopped))

	descs := make(chan *prometheus.Desc)
	go func() {
		reg.Describe(descs)
		close(descs)
	}()
	out := map[string][]string{}
	for d := range descs {
		s := d.String()
		name := descName.FindStringSubmatch(s)[1]
		labels := strings.Split(descLabels.FindStringSubmatch(s)[1], ",")
		for _, l := range labelName.FindAllStringSubmatch(descConst.FindStringSubmatch(s)[1], -1) {
			labels = append(labels, l[1])
		}
		out[name] = labels
	}
	return out
}

var promqlOperators = []string{"and", "or", "unless", "bool"}

// metricsIn returns the metrics used by a PromQL expression.
func metricsIn(expr string) []metricUse {
	expr = duration.ReplaceAllString(grouping.ReplaceAllString(expr, ""), "")
	var out []metricUse
	for _, m := range selector.FindAllStringSubmatch(expr, -1) {
		if m[3] != "" || slices.Contains(promqlOperators, m[1]) {
			continue // a function or an operator
		}
		l := metricUse{metric: m[1]}
		for _, label := range matcher.FindAllStringSubmatch(m[2], -1) {
			l.labels = append(l.labels, label[1])
		}
		out = append(out, l)
	}
	return out
}

// targetLabels are the labels that Prometheus adds to every metric.
var targetLabels = []string{"job", "instance"}

// An alert rule on a metric or label that no node registers never fires, and the
// operator misses the failure that it should report.
func TestAlertsUseRegisteredMetrics(t *testing.T) {
	known := registeredMetrics(t)
	known["up"] = nil // added by Prometheus
	for _, g := range readRules(t).Groups {
		for _, r := range g.Rules {
			t.Run(r.Alert, func(t *testing.T) {
				used := metricsIn(r.Expr)
				is.New(t).True(len(used) > 0)
				for _, u := range used {
					labels, ok := known[histogram.ReplaceAllString(u.metric, "")]
					if !ok {
						labels, ok = known[u.metric]
					}
					if !ok {
						t.Errorf("no node registers %s", u.metric)
					}
					for _, l := range u.labels {
						if !slices.Contains(labels, l) && !slices.Contains(targetLabels, l) {
							t.Errorf("%s has no label %s", u.metric, l)
						}
					}
				}
			})
		}
	}
}

func TestAlertsAreDocumented(t *testing.T) {
	is := is.New(t)
	manual, err := os.ReadFile(manualFile)
	is.NoErr(err)
	severity := map[string]string{"repairs-itself": "info", "morning": "ticket", "page": "page"}
	seen := map[string]bool{}
	for _, g := range readRules(t).Groups {
		is.True(severity[g.Name] != "")
		for _, r := range g.Rules {
			is.True(!seen[r.Alert])
			seen[r.Alert] = true
			is.Equal(r.Labels["severity"], severity[g.Name])
			is.Equal(r.Labels["action"], g.Name)
			is.True(r.Annotations["summary"] != "")
			is.True(strings.Contains(string(manual), "| `"+r.Alert+"` |"))
		}
	}
}

func TestMetricsInExpression(t *testing.T) {
	is := is.New(t)
	got := metricsIn(`sum by (a) (rate(x_total{result=~"down|ok", job="j"}[2m])) > 0.2 * max(y) unless z{b!="c"} == 0`)
	is.Equal(got, []metricUse{{"x_total", []string{"result", "job"}}, {"y", nil}, {"z", []string{"b"}}})
}
