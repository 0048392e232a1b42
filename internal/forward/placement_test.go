package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/catalog"
	"chervilloom/internal/forward"
	"chervilloom/internal/links"
	"chervilloom/internal/roster"
	"chervilloom/internal/upstream"
)

// endpointAt is an endpoint of a zone, where id is also the body of its answers.
func endpointAt(id, zone string, addr string) roster.Endpoint {
	return roster.Endpoint{ID: roster.ID(id), Service: "plain", Addr: addr, Zone: zone, Slots: 8}
}

// setView replaces the forwarder's configuration and endpoints. Zones z and y are in region east,
// zone w in region west.
func (r *testForwarder) setView(t *testing.T, doc catalog.Document, evacuated map[string]bool, list ...roster.Endpoint) {
	t.Helper()
	cat, err := catalog.New(doc)
	if err != nil {
		t.Fatal(err)
	}
	known := roster.Merge(roster.Empty(), roster.Listing{Endpoints: list}, r.Clock.Now(), 0)
	r.Regions = map[string]string{"z": "east", "y": "east", "w": "west"}
	r.View = func() forward.View {
		return forward.View{Catalog: cat, Fresh: true, Current: true, Roster: known, Evacuated: evacuated}
	}
}

// startNamedEndpoint starts an endpoint whose answers are its name, with the given status.
func startNamedEndpoint(t *testing.T, name string, status int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(name))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// lookupDocument returns a configuration with one plain service and two public routes: /lookup/
// is idempotent, /receipt/ runs once.
func lookupDocument() catalog.Document {
	backends := []catalog.Backend{{Service: "plain", Weight: 1}}
	return catalog.Document{
		Version: 1, Services: []catalog.Service{{Name: "plain", ColdRate: 2}},
		Routes: []catalog.Route{
			{Name: "lookup", Host: "h.example", Prefix: "/lookup/", Repeat: catalog.Idempotent, Public: true, Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: 2, Backends: backends},
			{Name: "receipt", Host: "h.example", Prefix: "/receipt/", Repeat: catalog.Once, Public: true, Timeout: 5 * time.Second, MaxAttempts: 1, Backends: backends},
		},
	}
}

// Guards against requests that reach the endpoints of an evacuated zone, also as retries.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 100)
	near, far := endpointAt("near", "z", startNamedEndpoint(t, "near", 200)), endpointAt("far", "w", startNamedEndpoint(t, "far", 500))
	r.setView(t, lookupDocument(), map[string]bool{"z": true}, near, far)
	for i := range 20 {
		status, body := r.get(t, strconv.Itoa(i), "/lookup/x")
		is.Equal(status, 500) // not retried in the evacuated zone
		is.Equal(body, "far")
	}
	r.setView(t, lookupDocument(), map[string]bool{"z": true, "w": true}, near, far)
	status, _ := r.get(t, "a", "/lookup/x")
	is.Equal(status, http.StatusServiceUnavailable)
}

// Guards against requests that run in a region that their route or organisation does not allow.
func TestRequestsRunInAllowedRegionsOnly(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 100)
	west := endpointAt("west", "w", startNamedEndpoint(t, "west", 200))
	east := endpointAt("east", "z", startNamedEndpoint(t, "east", 200))
	doc := lookupDocument()
	doc.Routes[0].AllowedRegions = []string{"west"}
	r.setView(t, doc, nil, west, east)
	for i := range 20 {
		_, body := r.get(t, strconv.Itoa(i), "/lookup/x")
		is.Equal(body, "west")
	}
	r.setView(t, doc, nil, east)
	status, body := r.get(t, "a", "/lookup/x")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "region"))

	doc = lookupDocument()
	doc.Routes[0].AllowedRegions, doc.Routes[0].Public = []string{"west", "east"}, false
	doc.Organisations = []catalog.Organisation{{Name: "o", Keys: []string{"k"}, AllowedRegions: []string{"east"}}}
	r.setView(t, doc, nil, west, east)
	for i := range 20 {
		req, err := http.NewRequest(http.MethodGet, r.server.URL+"/lookup/x", nil)
		is.NoErr(err)
		req.Host = "h.example"
		req.Header.Set("X-Request-Id", strconv.Itoa(i))
		req.Header.Set("Authorization", "Token k")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		body := make([]byte, 4)
		_, err = resp.Body.Read(body)
		is.True(err == nil || resp.ContentLength == 4)
		resp.Body.Close()
		is.Equal(string(body), "east")
	}
}

// Guards against requests that ran and whose client is told that they did not: an endpoint answers
// with a status of that meaning but does not guarantee it.
func TestStatusThatClaimsNotRunIsNotRelayed(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		is := is.New(t)
		r := newTestForwarder(t, 100)
		r.setView(t, lookupDocument(), nil, endpointAt("e", "z", startNamedEndpoint(t, "e", status)))
		got, _ := r.get(t, "a", "/receipt/x")
		is.Equal(got, http.StatusBadGateway)
		got, body := r.get(t, "b", "/lookup/x")
		is.Equal(got, status) // a request that may run again
		is.Equal(body, "e")
	}
}

// Guards against a cold endpoint that gets its usual share of the requests.
func TestColdEndpointGetsItsRate(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 100)
	cold, warm := endpointAt("cold", "z", startNamedEndpoint(t, "cold", 200)), endpointAt("warm", "z", startNamedEndpoint(t, "warm", 200))
	cold.Cold = true
	r.setView(t, lookupDocument(), nil, cold, warm)
	counts := map[string]int{}
	const requests = 200
	began := time.Now()
	for i := range requests {
		_, body := r.get(t, strconv.Itoa(i), "/lookup/x")
		counts[body]++
	}
	const coldRate = 2.0
	is.Equal(counts["cold"]+counts["warm"], requests)
	is.True(float64(counts["cold"]) <= 1+coldRate*time.Since(began).Seconds())
	cold.Cold = false
	r.setView(t, lookupDocument(), nil, cold, warm)
	for i := range requests {
		_, body := r.get(t, "w"+strconv.Itoa(i), "/lookup/x")
		counts[body]++
	}
	is.True(counts["cold"] > requests/4)
}

// Guards against bodies that leave the regions of their route through a node that passes a
// connection on, and against nodes of evacuated zones on the way.
func TestConnectionsAreNotPassedOnByNodesOfOtherRegions(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 100)
	doc := lookupDocument()
	doc.Routes[0].AllowedRegions = []string{"east"}
	r.setView(t, doc, map[string]bool{"y": true}, endpointAt("near", "z", startNamedEndpoint(t, "near", 200)))
	asked := map[string]bool{}
	r.Pool.Dial = func(ctx context.Context, addr string, allowed func(string) bool) (net.Conn, upstream.Peer, error) {
		for _, zone := range []string{"z", "y", "w"} {
			asked[zone] = allowed(zone)
		}
		conn, err := upstream.DialTCP(ctx, addr)
		return conn, upstream.Peer{Addr: "node", Zone: "z"}, err
	}
	status, body := r.get(t, "a", "/lookup/x")
	is.Equal(status, 200)
	is.Equal(body, "near")
	is.Equal(asked, map[string]bool{"z": true, "y": false, "w": false})
}

// Guards against a node without links that tells others of endpoints that failed only for it, and
// against clients that wait although no node has links.
func TestRequestIsRefusedAtOnceWithoutAnyPath(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 0)
	r.setView(t, lookupDocument(), nil, endpointAt("a", "z", "10.0.0.1:1"), endpointAt("b", "z", "10.0.0.2:1"))
	r.Pool.Dial = func(context.Context, string, func(string) bool) (net.Conn, upstream.Peer, error) {
		return nil, upstream.Peer{}, links.ErrNoPath
	}
	r.OnNoResponse = func(*roster.Endpoint) { t.Error("an endpoint is blamed") }
	resp, err := r.send(t, "a", "/receipt/x")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // not run
	is.True(resp.Header.Get("Retry-After") != "")
	is.True(!r.Tracker.StateOf("a", time.Second).Suspect && !r.Tracker.StateOf("b", time.Second).Suspect)
}

// Guards against a node without links that goes through all endpoints, one after the other, for each
// request that it refuses.
func TestRequestWithoutPathTriesFewEndpoints(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 1000)
	var list []roster.Endpoint
	for i := range 40 {
		list = append(list, endpointAt(fmt.Sprint("e", i), "z", fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	r.setView(t, lookupDocument(), nil, list...)
	var dials atomic.Int64
	r.Pool.Dial = func(context.Context, string, func(string) bool) (net.Conn, upstream.Peer, error) {
		dials.Add(1)
		return nil, upstream.Peer{}, links.ErrNoPath
	}
	resp, err := r.send(t, "a", "/receipt/x")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(dials.Load() <= 2)
}
