package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chervilloom/internal/config"
)

// BenchmarkScheduling sends five seconds of Poisson arrivals to a server that
// answers immediately. It reports the send delay and the total latency of the
// requests.
func BenchmarkScheduling(b *testing.B) {
	for _, rate := range []float64{500, 2000} {
		b.Run(fmt.Sprint("rate=", rate), func(b *testing.B) {
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			defer server.Close()
			p := lookupPlan(1)
			p.Rate, p.Duration, p.Arrivals, p.InFlight = rate, config.Duration(5*time.Second), ArrivalsPoisson, 512
			for i := 0; b.Loop(); i++ {
				p.Seed = i
				r, err := Run(context.Background(), Options{Plan: p, Targets: []string{strings.TrimPrefix(server.URL, "http://")}})
				if err != nil || r.Whole() != r.Sent || r.NotSent > 0 {
					b.Fatal("not all requests were answered")
				}
				b.ReportMetric(float64(r.SendDelay.P50), "late-p50-us")
				b.ReportMetric(float64(r.SendDelay.P99), "late-p99-us")
				b.ReportMetric(float64(r.SendDelay.P999), "late-p99.9-us")
				b.ReportMetric(float64(r.SendDelay.Max), "late-max-us")
				b.ReportMetric(float64(r.Kinds[0].Total.P50), "total-p50-us")
				b.ReportMetric(float64(r.Kinds[0].Total.P99), "total-p99-us")
			}
		})
	}
}
