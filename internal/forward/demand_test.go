package forward_test

import (
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/demand"
	"chervilloom/internal/roster"
)

// Guards against wrong weights of requests by rank and size, losses that are not recorded or
// recorded twice, and a recorded value where no service is contended.
func TestValueAndLossOfRequests(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		if r.Header.Get("X-Request-Id") == "late" {
			time.Sleep(150 * time.Millisecond)
		}
		for range 2 {
			_, _ = w.Write([]byte("data: x\n\n"))
			_ = http.NewResponseController(w).Flush()
			if r.Header.Get("X-Request-Id") == "pause" {
				time.Sleep(150 * time.Millisecond)
			}
		}
	}))
	t.Cleanup(s.Close)
	stream := func(name string, rank int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Repeat: catalog.Stream, Public: true, Priority: rank,
			Timeout: 5 * time.Second, Objective: 100 * time.Millisecond, GapAim: 100 * time.Millisecond, MaxAttempts: 2,
			Backends: []catalog.Backend{{Service: "engines", Weight: 1}},
		}
	}
	doc := catalog.Document{
		Version: 1, Routes: []catalog.Route{stream("first", 2), stream("second", 5), stream("third", 7)},
		Services: []catalog.Service{{Name: "engines", Engine: &catalog.Engine{
			Slots: 8, UsualPrompt: 100, UsualAnswer: 10, Models: []catalog.Model{{Name: "served", Size: 1, Pace: 1}, {Name: "absent", Size: 1, Pace: 1}},
		}}},
	}
	head := roster.Endpoint{
		ID: "e", Service: "engines", Addr: strings.TrimPrefix(s.URL, "http://"), Zone: "z", Slots: 8, Model: "served",
		Domain: "d", Member: roster.Membership{Group: "g", Epoch: 1, State: roster.Open},
	}
	r := newTestForwarder(t, 100)
	r.EngineProfile = r.PlainProfile
	r.setView(t, doc, nil, head)
	send := func(id, route, model, tokens string) int {
		req, err := http.NewRequest(http.MethodGet, r.server.URL+"/"+route+"/x", nil)
		is.NoErr(err)
		req.Host = "h.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Model", model)
		req.Header.Set("X-Token-Counts", tokens)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(send("a", "first", "absent", "100,10"), http.StatusServiceUnavailable)
	is.Equal(r.Demand("engines").Value, nil)
	r.Contended = func(string) bool { return true }
	for _, c := range []struct {
		id, route, model, tokens string
		value                    float64 // of the request
		lost                     bool
	}{
		{"b", "first", "served", "100,10", 1, false},
		{"c", "second", "served", "100,10", 0.5, false},
		{"d", "third", "served", "300,10", 0.25 * 1.7, false},
		{"late", "first", "served", "100,10", 1, true},
		{"pause", "second", "served", "100,10", 0.5, true},
		{"e", "first", "absent", "100000,10", 0.3 + 0.7*4, true},
	} {
		before, at := r.Demand("engines"), time.Now()
		send(c.id, c.route, c.model, c.tokens)
		time.Sleep(10 * time.Millisecond)
		after := r.Demand("engines")
		decay := math.Exp(-time.Since(at).Seconds() / demand.DecaySeconds)
		is.True(math.Abs(after.Value[c.model]-before.Value[c.model]*decay-c.value) < 0.1*c.value)
		is.Equal(after.Lost[c.model] > before.Lost[c.model], c.lost)
		is.True(after.Lost[c.model] <= before.Lost[c.model]+c.value)
	}
}
