package test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilloom/internal/testkit"
	"chervilloom/platform/platformtest"
)

// entryFleet is a set of entry nodes that run as processes, with stand-ins for
// the platform, the engines and a plain service in the test process.
type entryFleet struct {
	t       *testing.T
	store   *platformtest.Store
	fleet   *platformtest.Fleet
	nodes   []*entryNode
	version int
	keys    []string
	// furtherRoutes are routes that the document has beside the usual ones, in JSON with a leading
	// comma.
	furtherRoutes string
	retryLimit    platformtest.RetryLimit
	// limits are the limits of client requests in the document, in JSON.
	limits string
	// furtherSettings are lines that each node's settings file has beside the usual ones.
	furtherSettings string
	// metrics is set if the nodes serve their metrics.
	metrics bool
}

// usualLimits are the limits of client requests.
const usualLimits = `{"max_body_bytes":65536}`

// usualRetryLimit is so wide that it doesn't bind.
var usualRetryLimit = platformtest.RetryLimit{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second}

// entryNode is the process of an entry node with its addresses for clients, readiness probes and
// other nodes.
type entryNode struct {
	*process
	front, ready, peers, metrics string
}

const entrySettings = `node=%s
zone=%s
zones.a=r
zones.b=r
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
bounds.retry_budget_ratio=%v
bounds.budget_slack=%v
bounds.budget_window_s=%v
bounds.ceiling_over=1.1
bounds.ceiling_window_s=5
platform.address=%s
`

const entryDocument = `{"version":%d,"routes":[
 {"name":"text","host":"h.example","prefix":"/text/","type":"stream","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":3,"resumable":true,"gap_aim_ms":1000},
 {"name":"receipt","host":"h.example","prefix":"/receipt/","type":"non_idempotent","timeout_ms":10000,"service":"plain","max_attempts":1},
 {"name":"lookup","host":"h.example","prefix":"/lookup/","type":"idempotent","timeout_ms":10000,"target_latency_ms":3000,"service":"plain","max_attempts":3}%s],
 "services":[{"name":"engines","engine":{"slots":8,"models":[{"name":"m","size":4,"share":1,"pace":1,"load_s":0.05,"warm_s":0.05}],
  "loads_per_s":100,"loads_at_once":6,"keeps":1,"form_ms":50}},{"name":"plain"},{"name":"slow"}],
 "limits":%s,"tenants":[{"name":"org","api_keys":[%s]}]}`

// startEntryFleet starts a fleet with one node in each of the given zones.
func startEntryFleet(t *testing.T, zones ...string) *entryFleet {
	t.Helper()
	return startEntryFleetOn(t, func(*platformtest.Store) {}, zones...)
}

// startEntryFleetOn starts a fleet on a store that is first passed to prepare.
func startEntryFleetOn(t *testing.T, prepare func(*platformtest.Store), zones ...string) *entryFleet {
	t.Helper()
	return startEntryFleetWith(t, "", prepare, zones...)
}

// startEntryFleetWith starts a fleet whose document has further routes.
func startEntryFleetWith(t *testing.T, furtherRoutes string, prepare func(*platformtest.Store), zones ...string) *entryFleet {
	t.Helper()
	return startEntryFleetWithin(t, usualRetryLimit, furtherRoutes, prepare, zones...)
}

// startEntryFleetWithin does the same with a limit of repeats.
func startEntryFleetWithin(t *testing.T, limit platformtest.RetryLimit, furtherRoutes string, prepare func(*platformtest.Store), zones ...string) *entryFleet {
	t.Helper()
	return (&entryFleet{furtherRoutes: furtherRoutes, retryLimit: limit}).start(t, prepare, zones...)
}

// start starts a fleet with one node in each of the given zones, on a store that is first passed to
// prepare.
func (f *entryFleet) start(t *testing.T, prepare func(*platformtest.Store), zones ...string) *entryFleet {
	t.Helper()
	f.t, f.store, f.keys = t, platformtest.NewStore(), []string{`"k1"`, `"k2"`}
	f.limits = cmp.Or(f.limits, usualLimits)
	t.Cleanup(f.store.Close)
	prepare(f.store)
	f.fleet = platformtest.NewFleet(f.store)
	t.Cleanup(f.fleet.Close)
	for i := range 9 {
		f.fleet.AddEngine(fmt.Sprintf("i-e%d", i), "engines", "a", "d0")
	}
	f.fleet.AddService("i-p0", "plain", "a")
	f.fleet.AddService("i-p1", "plain", "b")
	f.writeNextDocument()
	for i, zone := range zones {
		f.startNode(fmt.Sprintf("front-%s-%d", zone, i), zone)
	}
	for _, n := range f.nodes {
		testkit.Eventually(t, "a node is ready", func() bool { return f.isReady(n) })
		n.awaitLine(t, "share of the retry slack known") // before that, a node retries by the ratio alone
	}
	testkit.Eventually(t, "two groups serve", func() bool { return len(f.fleet.OpenHeads("m")) == 2 })
	for i, n := range f.nodes {
		testkit.Eventually(t, "a node serves streams", func() bool {
			code, _ := f.status(n, "POST", "/text/x", fmt.Sprintf("first%d", i), textHeader(7))
			return code == http.StatusOK
		})
	}
	return f
}

// writeNextDocument writes the operator's document with a higher version.
func (f *entryFleet) writeNextDocument() {
	f.version += 3
	f.rewriteDocument()
}

// rewriteDocument writes the operator's document again in its current version.
func (f *entryFleet) rewriteDocument() {
	f.store.PutRaw("op", "config", fmt.Appendf(nil, entryDocument, f.version, f.furtherRoutes, f.limits, strings.Join(f.keys, ",")))
}

// nodesStarted counts the nodes started by this process, to assign addresses.
var nodesStarted atomic.Uint32

// loopbackIP returns a loopback address that no other node uses, including
// those of a concurrent test run. On a shared address, another run could bind a
// port between its selection here and the node's listen call.
func loopbackIP() string {
	pid, n := os.Getpid(), nodesStarted.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&127, pid&255, 1+n%250)
}

// freeAddrs returns n distinct free addresses on ip.
func freeAddrs(t *testing.T, ip string, n int) []string {
	t.Helper()
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		must(t, err)
		defer ln.Close() // deferred so that the addresses differ
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs
}

// startNode starts an entry node and adds it to the fleet. Its log is checked
// when the test ends.
func (f *entryFleet) startNode(vm, zone string) {
	f.t.Helper()
	n, file := f.prepareNode(vm, zone)
	args := []string{"entry", "--settings", file, "--verbose"}
	if f.metrics {
		_, port, err := net.SplitHostPort(n.metrics)
		must(f.t, err)
		args = append(args, "--metrics", port)
	}
	n.process = startProcess(f.t, vm, args...)
	f.t.Cleanup(func() { checkLogs(f.t, n.process) })
	f.nodes = append(f.nodes, n)
}

// prepareNode chooses a node's addresses and writes its settings file.
func (f *entryFleet) prepareNode(vm, zone string) (n *entryNode, file string) {
	f.t.Helper()
	ip := loopbackIP()
	addrs := freeAddrs(f.t, ip, 4)
	n = &entryNode{front: addrs[0], ready: addrs[1], peers: addrs[2], metrics: addrs[3]}
	_, port, err := net.SplitHostPort(addrs[2])
	must(f.t, err)
	file = filepath.Join(f.t.TempDir(), vm+".conf")
	limit := f.retryLimit
	text := fmt.Sprintf(entrySettings, vm, zone, ip, n.front, n.ready, port, port, limit.Ratio, limit.Slack, limit.Window.Seconds(), f.store.Addr) + f.furtherSettings
	must(f.t, os.WriteFile(file, []byte(text), 0o600))
	return n, file
}

// isReady reports whether the node's readiness check succeeds.
func (f *entryFleet) isReady(n *entryNode) bool {
	resp, err := http.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// request builds a client's request to a node.
func (f *entryFleet) request(ctx context.Context, n *entryNode, method, path, id, body string, header map[string]string) *http.Request {
	service := "plain"
	if strings.HasPrefix(path, "/text/") || strings.HasPrefix(path, "/batch/") {
		service = "engines"
	}
	f.fleet.RecordSent(service)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	must(f.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Token k1")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return req
}

// send sends a request to a node.
func (f *entryFleet) send(n *entryNode, method, path, id string, header map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	f.t.Cleanup(cancel)
	return http.DefaultClient.Do(f.request(ctx, n, method, path, id, "body", header))
}

// status sends a request and returns the status and the body of the response.
func (f *entryFleet) status(n *entryNode, method, path, id string, header map[string]string) (int, string) {
	f.t.Helper()
	resp, err := f.send(n, method, path, id, header)
	must(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must(f.t, err)
	return resp.StatusCode, string(body)
}

// textHeader returns the headers of a stream request with the given number of
// output tokens; an event contains seven tokens.
func textHeader(tokens int) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Counts": fmt.Sprintf("100,%d", tokens)}
}

// eventIDs returns the ids of all events in the body of a stream.
func eventIDs(body string) []string {
	var ids []string
	for s := bufio.NewScanner(strings.NewReader(body)); s.Scan(); {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// wantEventIDs returns the event ids of a complete stream of n events.
func wantEventIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint(i+1))
	}
	return ids
}

// Each node serves a stream, a receipt and a lookup without faults, and refuses
// an unknown key and an unknown route.
func TestEntryServesRequestsWithoutFaults(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a", "b")
	for i, n := range f.nodes {
		id := fmt.Sprintf("text%d", i)
		code, body := f.status(n, "POST", "/text/x", id, textHeader(70))
		is.Equal(code, 200)
		is.Equal(eventIDs(body), wantEventIDs(10))
		is.Equal(len(f.fleet.Runs(id)), 1)
		id = fmt.Sprintf("receipt%d", i)
		code, body = f.status(n, "POST", "/receipt/a%2Fb?c=%20", id, map[string]string{"X-Tenant": "forged"})
		is.Equal(code, 200)
		is.Equal(body, "POST /receipt/a%2Fb?c=%20 org body")
		is.Equal(len(f.fleet.Runs(id)), 1)
		code, _ = f.status(n, "GET", "/lookup/1", fmt.Sprintf("lookup%d", i), nil)
		is.Equal(code, 200)
		code, _ = f.status(n, "GET", "/lookup/1", "nokey", map[string]string{"Authorization": "Token unknown"})
		is.Equal(code, 401)
		code, _ = f.status(n, "GET", "/nowhere/1", "noroute", nil)
		is.Equal(code, 404)
		is.Equal(len(f.fleet.Runs("nokey"))+len(f.fleet.Runs("noroute")), 0)
	}
}

// A group member crashes while the group head streams: the head stops sending
// without closing the connection. The caller must get every event once, the
// rest from another group, and a new group must be formed from the survivors
// and the spare engine.
func TestEntryResumesStreamAndRepairsGroup(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a", "b")
	resp, err := f.send(f.nodes[0], "POST", "/text/x", "moved", textHeader(1400))
	is.NoErr(err)
	defer resp.Body.Close()
	testkit.Eventually(t, "the stream runs", func() bool { return len(f.fleet.Runs("moved")) == 1 })
	for _, head := range f.fleet.OpenHeads("m") {
		if head.ID != f.fleet.Runs("moved")[0] {
			continue
		}
		for _, id := range head.Members()[1:2] {
			f.fleet.Get(id).Kill()
		}
	}
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(eventIDs(string(body)), wantEventIDs(200))
	is.Equal(len(f.fleet.Runs("moved")), 2)
	testkit.Eventually(t, "two groups serve again", func() bool {
		open := f.fleet.OpenHeads("m")
		return len(open) == 2
	})
}

// A stream was interrupted between its last event and its end. The client,
// which has every event, resumes after the last one, and the engine has no more
// events. The node must forward the engine's own empty, signed response instead
// of a bare 200.
func TestEntryForwardsEmptyResumedStream(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a")
	header := textHeader(70)
	header["Last-Event-Id"] = "10"
	resp, err := f.send(f.nodes[0], "POST", "/text/x", "rest", header)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(len(body), 0)
	is.True(strings.HasPrefix(resp.Header.Get("X-Server-Stamp"), "stamp-of-"))
}

// An endpoint runs a receipt and its response is lost. The node must not run
// the receipt again, and must not report it as not run.
func TestEntryNeverRetriesNonIdempotentRequest(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a")
	for _, id := range []string{"i-p0", "i-p1"} {
		f.fleet.Get(id).SetHandler(func(w http.ResponseWriter, r *http.Request) {
			f.fleet.RecordRun(r.Header.Get("X-Request-Id"), id)
			panic(http.ErrAbortHandler)
		})
	}
	code, _ := f.status(f.nodes[0], "POST", "/receipt/1", "once", nil)
	is.Equal(code, 502)
	is.Equal(len(f.fleet.Runs("once")), 1)
	code, _ = f.status(f.nodes[0], "GET", "/lookup/1", "again", nil)
	is.Equal(code, 502)
	is.Equal(len(f.fleet.Runs("again")), 2) // a lookup may be retried at another endpoint
}

// An endpoint returns the response of another request, or one without its
// signature. Neither may reach the caller.
func TestEntryRejectsMismatchedResponses(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a")
	answers := []http.Header{
		{"X-Request-Id": {"another"}, "X-Server-Stamp": {"s"}},
		{"X-Request-Id": {"mine"}},
	}
	for _, h := range answers {
		for _, id := range []string{"i-p0", "i-p1"} {
			f.fleet.Get(id).SetHandler(func(w http.ResponseWriter, r *http.Request) {
				for k, v := range h {
					w.Header()[k] = v
				}
				io.WriteString(w, "not yours")
			})
		}
		code, body := f.status(f.nodes[0], "POST", "/receipt/1", "mine", nil)
		is.Equal(code, 502)
		is.True(!strings.Contains(body, "not yours"))
	}
}

// A key is revoked. Each node must refuse it soon afterwards. A node that has
// been unable to read the store for longer than the revocation bound can't
// verify any key, so it must refuse all of them as not run.
func TestEntryStopsServingARevokedKey(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a", "b")
	f.keys = f.keys[:1]
	f.writeNextDocument()
	k2 := map[string]string{"Authorization": "Token k2"}
	for i, n := range f.nodes {
		testkit.Eventually(t, "the key is refused", func() bool {
			code, _ := f.status(n, "GET", "/lookup/1", fmt.Sprintf("k2-%d", i), k2)
			return code == 401
		})
	}
	f.store.SetDown(true)
	for i, n := range f.nodes {
		testkit.Eventually(t, "requests with a valid key are refused", func() bool {
			code, _ := f.status(n, "GET", "/lookup/1", fmt.Sprintf("k1-%d", i), nil)
			return code == 503
		})
		is.True(!f.isReady(n))
	}
	f.store.SetDown(false)
	for i, n := range f.nodes {
		testkit.Eventually(t, "requests with a valid key are served again", func() bool {
			code, _ := f.status(n, "GET", "/lookup/1", fmt.Sprintf("k1b-%d", i), nil)
			return code == 200
		})
	}
}

// A node gets SIGTERM while it streams. It must become unready, finish the
// stream and exit with code 0, and the other node must take over its duty.
func TestEntryShutsDownGracefully(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a", "a")
	n := f.nodes[0]
	resp, err := f.send(n, "POST", "/text/x", "during", textHeader(700))
	is.NoErr(err)
	defer resp.Body.Close()
	testkit.Eventually(t, "the stream runs", func() bool { return len(f.fleet.Runs("during")) == 1 })
	must(t, n.cmd.Process.Signal(syscall.SIGTERM))
	testkit.Eventually(t, "the node is not ready", func() bool { return !f.isReady(n) })
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(eventIDs(string(body)), wantEventIDs(100))
	<-n.done
	is.Equal(n.cmd.ProcessState.ExitCode(), 0)
	f.fleet.Get(f.fleet.OpenHeads("m")[0].Members()[1]).Kill()
	testkit.Eventually(t, "the other node repairs the group", func() bool {
		open := f.fleet.OpenHeads("m")
		return len(open) == 2 && !open[0].HasDeadMember() && !open[1].HasDeadMember()
	})
}

// All nodes are killed and restarted while groups serve. The new nodes must
// read the existing state and keep the groups instead of forming new ones.
func TestEntryRestartKeepsExistingGroups(t *testing.T) {
	is := is.New(t)
	f := startEntryFleet(t, "a")
	before := map[string]bool{}
	for _, e := range f.fleet.OpenHeads("m") {
		before[e.ID] = true
	}
	f.nodes[0].kill()
	f.startNode("front-a-1", "a")
	n := f.nodes[1]
	testkit.Eventually(t, "the node is ready", func() bool { return f.isReady(n) })
	n.awaitLine(t, "duty begun")
	code, _ := f.status(n, "POST", "/text/x", "after", textHeader(70))
	is.Equal(code, 200)
	for _, e := range f.fleet.OpenHeads("m") {
		is.True(before[e.ID])
	}
}

// An entry node with invalid settings must exit with code 1 and log the reason.
func TestEntryReportsInvalidSettings(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "local.conf")
	must(t, os.WriteFile(file, []byte("node=x\nbounds.grace_s=soon\n"), 0o600))
	p := startProcess(t, "wrong", "entry", "--settings", file)
	<-p.done
	is.Equal(p.cmd.ProcessState.ExitCode(), 1)
	p.awaitLine(t, "zone is missing")
}
