package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilloom/internal/platform"
	standin "chervilloom/internal/standin/platform"
)

// newProxiedClient returns a stand-in platform and a client whose first connections go
// through a proxy with a fault, and the others directly. The fault isn't changed while
// connections are open, since the proxy doesn't synchronize access to it.
func newProxiedClient(t *testing.T, faulty int32, fault string) (*standin.Platform, *platform.Client) {
	t.Helper()
	p := standin.New(standin.Options{NoLimits: true})
	srv := httptest.NewServer(p)
	api := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	proxy := toxiproxy.NewProxy(api, "platform", "127.0.0.1:0", srv.Listener.Addr().String())
	if _, err := proxy.Toxics.AddToxicJson(strings.NewReader(fault)); err != nil {
		t.Fatal(err)
	}
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	var dials atomic.Int32
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if dials.Add(1) <= faulty {
			addr = proxy.Listen
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
	c := platform.NewClient(srv.URL, platform.WithDial(dial),
		platform.WithRequestTimeout(time.Second), platform.WithResolveTimeout(testTimeout))
	t.Cleanup(func() {
		c.Close()
		proxy.Stop()
		srv.Close()
	})
	return p, c
}

// The connection breaks after some bytes of the request or of the response, once or on
// several connections in a row. In each case the client reports the write as committed,
// and it is applied once.
func TestBrokenConnectionIsResolved(t *testing.T) {
	for _, direction := range []string{"upstream", "downstream"} {
		for _, bytes := range []int{0, 1, 60, 150, 250, 300} {
			for _, faulty := range []int32{1, 3} {
				for _, forget := range []bool{false, true} {
					name := fmt.Sprintf("%s at %d, %d connections, rows only %v", direction, bytes, faulty, forget)
					t.Run(name, func(t *testing.T) {
						is := is.New(t)
						p, c := newProxiedClient(t, faulty, fmt.Sprintf(
							`{"name":"cut","type":"limit_data","stream":%q,"toxicity":1,"attributes":{"bytes":%d}}`, direction, bytes))
						p.SetFaults(standin.Faults{NoLimits: true, ForgetAttempts: forget})
						res, err := c.Commit(t.Context(), put("k", "value", 0))
						is.NoErr(err)
						is.True(res.Committed)
						row, err := p.Get(t.Context(), "t", "k")
						is.NoErr(err)
						is.Equal(row.Version, uint64(1))
						is.Equal(string(row.Value), "value")
					})
				}
			}
		}
	}
}

// The write is applied, but the response never arrives on an open connection. The
// request times out, and the write is read back.
func TestWithheldResponseIsReadBack(t *testing.T) {
	is := is.New(t)
	p, c := newProxiedClient(t, 1, `{"name":"hold","type":"timeout","stream":"downstream","toxicity":1,"attributes":{"timeout":0}}`)
	res, err := c.Commit(t.Context(), put("k", "value", 0))
	is.NoErr(err)
	is.True(res.Committed)
	is.Equal(p.Stats().WrittenRows, uint64(1))
}
