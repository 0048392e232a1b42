package accept_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chervilloom/internal/engine"
)

// newEndpointHandler answers service calls immediately and model calls with a
// stream of the given number of tokens.
func newEndpointHandler(tokens int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/chat/completions" {
			io.WriteString(w, "ok")
			return
		}
		h, id := w.Header(), r.Header.Get(engine.HeaderStream)
		h.Set(engine.HeaderGeneration, r.Header.Get(engine.HeaderGeneration))
		h.Set(engine.HeaderBoot, "b1")
		h.Set("Content-Type", "text/event-stream")
		for i := range tokens {
			fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"token \"}}]}\n\n", id, i)
			http.NewResponseController(w).Flush()
		}
		fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", id, tokens, tokens)
	}
}

// startPlainProxy starts a reverse proxy that forwards every request to addr.
func startPlainProxy(b *testing.B, addr string) *httptest.Server {
	tr := &http.Transport{MaxIdleConnsPerHost: 128}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+addr+r.URL.RequestURI(), r.Body)
		if err != nil {
			b.Error(err)
			return
		}
		out.ContentLength = r.ContentLength
		out.Header = r.Header.Clone()
		resp, err := tr.RoundTrip(out)
		if err != nil {
			b.Error(err)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		io.Copy(w, resp.Body)
	}))
	b.Cleanup(func() {
		srv.Close()
		tr.CloseIdleConnections()
	})
	return srv
}

// BenchmarkPath compares the whole request path on loopback with a plain proxy.
func BenchmarkPath(b *testing.B) {
	ep := httptest.NewServer(newEndpointHandler(100))
	defer ep.Close()
	addr := ep.Listener.Addr().String()
	chat := `{"model":"renewals","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("renewal ", 128) + `"}]}`
	cases := []struct{ name, method, path, body string }{
		{"lookup", "GET", "/services/counter/licences/7", ""},
		{"receipt", "POST", "/services/counter/receipts", "{}"},
		{"stream of 100", "POST", "/v1/chat/completions", chat},
	}
	for _, c := range cases {
		b.Run(c.name+"/bare hop", func(b *testing.B) { benchmarkRequests(b, startPlainProxy(b, addr).URL, c.method, c.path, c.body) })
		b.Run(c.name+"/path", func(b *testing.B) { benchmarkRequests(b, startPath(b, addr).URL, c.method, c.path, c.body) })
	}
}

func benchmarkRequests(b *testing.B, url, method, path, body string) {
	b.ReportAllocs()
	tr := &http.Transport{MaxIdleConnsPerHost: 128}
	defer tr.CloseIdleConnections()
	for b.Loop() {
		r, err := http.NewRequest(method, url+path, strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := tr.RoundTrip(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}
