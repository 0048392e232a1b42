package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
)

// startLargeEndpoint starts an endpoint whose answers have the given number of bytes.
func startLargeEndpoint(t *testing.T, size int) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a node whose memory is exhausted by clients that stop reading or that send large
// bodies slowly: what is held for them is bounded, and other requests are served meanwhile.
func TestStalledClientsHoldBoundedMemory(t *testing.T) {
	is := is.New(t)
	const clients, responseSize, maxHeld = 200, 1 << 20, 8 << 20
	r := newTestForwarder(t, 1000)
	r.Memory.Limit = maxHeld
	r.setView(t, lookupDocument(), nil, endpointAt("e", "z", startLargeEndpoint(t, responseSize)))
	const socketBuffer = 4 << 10 // the kernel's buffers must not take whole responses
	server := httptest.NewUnstartedServer(r.Forwarder)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		is.NoErr(c.(*net.TCPConn).SetWriteBuffer(socketBuffer))
		return ctx
	}
	server.Start()
	defer server.Close()
	for i := range clients {
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		is.NoErr(err)
		defer conn.Close() // before server.Close, which waits for the requests
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(socketBuffer))
		_, err = fmt.Fprintf(conn, "GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %d\r\n\r\n", i)
		is.NoErr(err)
	}
	testkit.Eventually(t, "the memory for bodies is in use", func() bool { return r.Memory.Held() > maxHeld/2 })
	for range 200 {
		is.True(r.Memory.Held() <= maxHeld)
		time.Sleep(time.Millisecond) // not a proof: the bound holds at every moment
	}
	small := endpointAt("other", "z", startNamedEndpoint(t, "small", 200))
	r.setView(t, lookupDocument(), nil, small)
	testkit.Eventually(t, "a small answer is served", func() bool {
		status, body := r.get(t, "small", "/lookup/x")
		return status == http.StatusOK && body == "small"
	})
}

// Guards against request bodies that take more memory than the node has.
func TestLargeBodiesAreRefusedBeyondMemory(t *testing.T) {
	is := is.New(t)
	r := newTestForwarder(t, 1000)
	r.Memory.Limit = 1000
	r.setView(t, lookupDocument(), nil, endpointAt("e", "z", startNamedEndpoint(t, "e", 200)))
	post := func(body io.Reader) (int, string) {
		req, err := http.NewRequest(http.MethodPost, r.server.URL+"/receipt/x", body)
		is.NoErr(err)
		req.Host = "h.example"
		req.Header.Set("X-Request-Id", "a")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		text, err := bufio.NewReader(resp.Body).ReadString(0)
		is.True(err == io.EOF)
		return resp.StatusCode, text
	}
	big := strings.Repeat("x", 1001)
	status, text := post(strings.NewReader(big))
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, "not-run"))
	status, _ = post(io.MultiReader(strings.NewReader(big))) // without a length
	is.Equal(status, http.StatusServiceUnavailable)
	status, text = post(strings.NewReader("small"))
	is.Equal(status, http.StatusOK)
	is.Equal(text, "e")
	is.Equal(r.Memory.Held(), int64(0))
}
