package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/catalog"
	"chervilloom/internal/forward"
	"chervilloom/internal/roster"
)

// Guards against predictions that are recorded for services that are not contended, more than
// once per stream, or for resumed streams, whose engines read other tokens than the prompt.
func TestPredictionIsComparedOncePerContendedStream(t *testing.T) {
	is := is.New(t)
	const events = 3
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		for i := range events {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(100+i)+"\ndata: x\n\n")
		}
	}))
	defer s.Close()
	doc := catalog.Document{
		Version: 1,
		Services: []catalog.Service{{Name: "gen", Engine: &catalog.Engine{
			Slots: 8, Stride: 5, Chunk: 1000, Step: time.Millisecond, ReadPerSecond: 50_000, UsualPrompt: 100, UsualAnswer: 50,
			Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1, Share: 1, Load: time.Second, Warm: time.Second}},
		}}},
		Routes: []catalog.Route{{
			Name: "gen", Host: "h.example", Prefix: "/", Repeat: catalog.Stream, Public: true, Timeout: 5 * time.Second,
			Objective: time.Second, MaxAttempts: 1, Backends: []catalog.Backend{{Service: "gen", Weight: 1}},
		}},
	}
	r := newTestForwarder(t, 100)
	reg := prometheus.NewRegistry()
	r.Metrics = forward.NewMetrics(reg)
	r.setView(t, doc, nil, roster.Endpoint{
		ID: "e", Service: "gen", Addr: strings.TrimPrefix(s.URL, "http://"), Zone: "z", Slots: 8, Domain: "d", Model: "m",
		Member: roster.Membership{Group: "g", State: roster.Open},
	})
	r.EngineProfile = r.PlainProfile
	// On a busy machine the dial can exceed its limit of 300 ms. The request is then refused as not
	// run, so that it is sent again.
	request := func(id, resumeAfter string) {
		for range 50 {
			req, err := http.NewRequest(http.MethodGet, r.server.URL+"/x", nil)
			is.NoErr(err)
			req.Host = "h.example"
			req.Header.Set("X-Request-Id", id)
			req.Header.Set("X-Model", "m")
			if resumeAfter != "" {
				req.Header.Set("Last-Event-Id", resumeAfter)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			is.NoErr(err)
			if resp.StatusCode == http.StatusServiceUnavailable {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(strings.Count(string(body), "data:"), events)
			return
		}
		t.Fatal("every attempt was refused")
	}
	compared := func() uint64 {
		families, err := reg.Gather()
		is.NoErr(err)
		for _, f := range families {
			if f.GetName() == "chervilloom_expect_first_event_ratio" {
				is.Equal(f.GetMetric()[0].GetLabel()[0].GetValue(), "m")
				return f.GetMetric()[0].GetHistogram().GetSampleCount()
			}
		}
		return 0
	}
	request("1", "")
	is.Equal(compared(), uint64(0))
	r.Contended = func(service string) bool { return service == "gen" }
	request("2", "")
	is.Equal(compared(), uint64(1))
	request("3", "12")
	is.Equal(compared(), uint64(1))
}
