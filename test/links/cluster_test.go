package links

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chervilloom/internal/clock"
	"chervilloom/internal/entry"
	"chervilloom/internal/formation"
	"chervilloom/internal/testkit"
	"chervilloom/platform"
	"chervilloom/platform/platformtest"
)

const waitTimeout = 20 * time.Second

const settings = `node=%s
zone=%s
zones.a=r
zones.b=r
zones.c=r
ip=%s
listen.front=%s
listen.ready=%s
port_range=%s,%s
bootstrap=true
heartbeat_ms=1200
bounds.strict_revoke=true
bounds.revoke_ms=3000
bounds.config_ms=2000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.stall_ms=4000
bounds.retry_budget_ratio=0.2
bounds.budget_slack=1000
bounds.budget_window_s=10
bounds.ceiling_over=1.1
bounds.ceiling_window_s=5
platform.address=%s
`

const document = `{"version":%d,"routes":[
 {"name":"text","host":"h.example","prefix":"/text/","type":"stream","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":3,"resumable":true,"gap_aim_ms":1000},
 {"name":"receipt","host":"h.example","prefix":"/receipt/","type":"non_idempotent","timeout_ms":10000,"service":"plain","max_attempts":1},
 {"name":"lookup","host":"h.example","prefix":"/lookup/","type":"idempotent","timeout_ms":10000,"target_latency_ms":300,"service":"plain","max_attempts":3}],
 "services":[{"name":"engines","engine":{"slots":8,"models":[{"name":"m","size":4,"share":1,"pace":1,"load_s":0.05,"warm_s":0.05}],
  "loads_per_s":100,"loads_at_once":6,"keeps":1,"form_ms":50}},{"name":"plain"}],
 "limits":{"max_body_bytes":65536},"tenants":[{"name":"org","api_keys":["k1"]}]}`

// cluster is a set of nodes with stand-ins for the platform, the engines and a plain service.
type cluster struct {
	t     *testing.T
	store *platformtest.Store
	fleet *platformtest.Fleet
	nodes []*node

	version int // of the operator's document
}

// node is a node that runs in the test's process.
type node struct {
	vm, zone, front, ready string
	links                  *link
	stop                   context.CancelFunc
	done                   chan struct{}
}

// startCluster starts a cluster with one node in each of the given zones.
func startCluster(t *testing.T, zones ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, store: platformtest.NewStore()}
	t.Cleanup(c.store.Close)
	c.fleet = platformtest.NewFleet(c.store)
	t.Cleanup(c.fleet.Close)
	for i := range 18 {
		c.fleet.AddEngine(fmt.Sprintf("i-e%d", i), "engines", []string{"a", "b"}[i/9], fmt.Sprintf("d%d", i/9))
	}
	for i, zone := range []string{"a", "b", "c"} {
		c.fleet.AddService(fmt.Sprintf("i-p%d", i), "plain", zone)
	}
	c.writeNextDocument()
	t.Cleanup(c.stopAll)
	for i, zone := range zones {
		c.startNode(fmt.Sprintf("front-%s-%d", zone, i), zone)
	}
	for i, n := range c.nodes {
		testkit.Eventually(t, "a node serves streams", func() bool {
			code, _, _ := c.call(n, "POST", "/text/x", fmt.Sprintf("first%d", i))
			return code == http.StatusOK
		})
	}
	testkit.Eventually(t, "four groups serve", func() bool { return len(c.fleet.OpenHeads("m")) == 4 })
	return c
}

// writeNextDocument writes the operator's document with a higher version.
func (c *cluster) writeNextDocument() {
	c.version += 3
	c.store.PutRaw("op", "config", fmt.Appendf(nil, document, c.version))
}

// ips counts the loopback addresses given to nodes.
var ips atomic.Uint32

func loopbackIP() string {
	pid, n := os.Getpid(), ips.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&127, pid&255, 1+n%250)
}

// startNode starts a node and adds it to the cluster.
func (c *cluster) startNode(vm, zone string) *node {
	c.t.Helper()
	started := make(chan struct{})
	defer close(started)
	ip := loopbackIP()
	var addrs []string
	for range 3 {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			c.t.Fatal(err)
		}
		defer ln.Close() // deferred so that the addresses differ
		addrs = append(addrs, ln.Addr().String())
	}
	_, port, _ := net.SplitHostPort(addrs[2])
	file := filepath.Join(c.t.TempDir(), vm+".conf")
	text := fmt.Sprintf(settings, vm, zone, ip, addrs[0], addrs[1], port, port, c.store.Addr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	set, err := platform.ReadSettings(file)
	if err != nil {
		c.t.Fatal(err)
	}
	n := &node{vm: vm, zone: zone, front: addrs[0], ready: addrs[1], links: newLink(c.t), done: make(chan struct{})}
	log := c.openLog(vm)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.done)
		<-started // the addresses are free again
		if err := n.run(ctx, set, log); err != nil {
			log.Error("node failed", "err", err)
		}
	}()
	c.nodes = append(c.nodes, n)
	return n
}

// stopAll shuts all nodes down and waits for them.
func (c *cluster) stopAll() {
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

func (n *node) run(ctx context.Context, set *entry.Settings, log *slog.Logger) error {
	return entry.New(entry.Options{
		Settings: set, Store: platform.NewStore(set.Store), NewEngines: newEngines,
		Codec: platform.Codec{}, Clock: clock.Boot{}, Log: log, Registry: prometheus.NewRegistry(), DialEndpoint: n.links.dial,
	}).Run(ctx)
}

func newEngines(dial func(ctx context.Context, network, addr string) (net.Conn, error)) formation.Engines {
	return platform.NewEngines(dial)
}

// openLog returns a node's log, which is kept if the test fails and LINKS_TEST_LOGS names a folder.
func (c *cluster) openLog(vm string) *slog.Logger {
	dir := os.Getenv("LINKS_TEST_LOGS")
	if dir == "" {
		return slog.New(slog.DiscardHandler)
	}
	f, err := os.Create(filepath.Join(dir, strings.ReplaceAll(c.t.Name(), "/", "_")+"-"+vm+".log"))
	if err != nil {
		c.t.Fatal(err)
	}
	return slog.New(slog.NewJSONHandler(f, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// call sends a request and returns the status and the body of the response. A stream has ten
// events.
func (c *cluster) call(n *node, method, path, id string) (int, string, error) {
	return c.do(n, method, path, id, 10)
}

// stream requests a stream of the given number of events.
func (c *cluster) stream(n *node, id string, events int) (int, string, error) {
	return c.do(n, "POST", "/text/x", id, events)
}

func (c *cluster) do(n *node, method, path, id string, events int) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Counts", fmt.Sprintf("100,%d", 7*events)) // seven tokens an event
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// tally counts the first attempts of clients at one group of nodes.
type tally struct {
	mu           sync.Mutex
	sent, served int
	failures     map[string]int
}

func (y *tally) record(path string, code int, err error) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.sent++
	if err == nil && code == http.StatusOK {
		y.served++
		return
	}
	if y.failures == nil {
		y.failures = map[string]int{}
	}
	y.failures[fmt.Sprintf("%s %d %v", path, code, err)]++
}
