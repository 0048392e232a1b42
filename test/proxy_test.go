package test

import (
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
)

// proxy is a TCP proxy whose link can be disconnected and reconnected.
type proxy struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

var proxies = toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())

// startProxy starts a proxy to upstream on its own port.
func startProxy(t *testing.T, name, upstream string) *proxy {
	t.Helper()
	p := toxiproxy.NewProxy(proxies, name, "127.0.0.1:0", upstream)
	must(t, p.Start())
	t.Cleanup(p.Stop)
	return &proxy{t: t, proxy: p}
}

func (p *proxy) addr() string { return p.proxy.Listen }

// disconnect closes all connections and refuses new ones.
func (p *proxy) disconnect() { p.proxy.Stop() }

// reconnect accepts connections again on the same address.
func (p *proxy) reconnect() {
	p.t.Helper()
	must(p.t, p.proxy.Start())
}
