package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilloom/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxPlay bounds a case. All processes are ended then.
const maxPlay = 110 * time.Second

// lab holds what a case has started, and its record.
type lab struct {
	trouble bool
	store   *platformtest.Store
	dir     string // temporary
	keep    string // where the nodes' logs are kept; empty: nowhere

	mu     sync.Mutex
	record *os.File
	began  time.Time
	nodes  []*node
	broken []string
	closed bool
}

// errCannotRun ends a case that could not run.
var errCannotRun = errors.New("the case could not run")

// runCase plays a case and returns the exit code.
func runCase(recordPath string, play func(*lab)) (code int) {
	dir, err := os.MkdirTemp("", "chervilloom-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	l := &lab{
		trouble: os.Getenv("TROUBLE") != "0", store: platformtest.NewStore(), dir: dir, keep: os.Getenv("KEEP_LOGS"),
		record: file, began: time.Now(),
	}
	defer l.stopAll()
	watchdog := time.AfterFunc(maxPlay, func() {
		l.stopAll()
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitCannotRun)
	})
	defer watchdog.Stop()
	defer func() {
		if r := recover(); r != nil {
			l.logf("could not run: %v", r)
			code = exitCannotRun
		}
	}()
	l.logf("trouble: %v", l.trouble)
	play(l)
	if len(l.broken) > 0 {
		for _, b := range l.broken {
			l.logf("BROKEN %s", b)
		}
		return exitBroken
	}
	l.logf("HELD")
	return exitHeld
}

// logf adds a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(l.record, line)
}

// breaks records that a rule was broken.
func (l *lab) breaks(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// fail ends the case because it could not run.
func (l *lab) fail(format string, args ...any) {
	panic(fmt.Errorf("%w: %s", errCannotRun, fmt.Sprintf(format, args...)))
}

func (l *lab) must(err error) {
	if err != nil {
		l.fail("%v", err)
	}
}

// await waits until ok returns true.
func (l *lab) await(what string, limit time.Duration, ok func() bool) {
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			l.fail("%s did not happen within %v", what, limit)
		}
	}
}

// stopAll ends all processes that the case has started.
func (l *lab) stopAll() {
	l.mu.Lock()
	nodes := l.nodes
	l.nodes, l.closed = nil, true
	l.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
}

// settings are those of a small deployment, as DEPLOY.md shows them.
const settings = `node=%s
role=entry
machine_class=front
serves=front
ip=%s
zone=%s
region=r
zones.a=r
zones.b=r
zones.c=r
listen.front=%s
listen.ready=%s
port_range=%s,%s
seeds=
bootstrap=%v
counts_as_loss=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,gangs
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=130
bounds.recover_s=12
bounds.pass_ms=120
bounds.again_s=0
bounds.stall_ms=4000
bounds.require_fencing=false
bounds.ceiling_window_s=5
bounds.ceiling_over=1.1
platform.address=%s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=3.0
platform.append_per_s=300
platform.row_bytes=65536
platform.across=true
platform.history_s=20
`

// node is a process of the project's program.
type node struct {
	lab                   *lab
	name, zone, file, log string
	front, ready, peer    string
	metrics               string
	writeSettings         func(bootstrap bool)

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// ipsUsed counts the loopback addresses in use, one for each node.
var ipsUsed int

// startNode starts a node in a zone.
func (l *lab) startNode(name, zone string) *node {
	ipsUsed++
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&127, pid&255, 1+ipsUsed%250)
	var addrs []string
	var held []net.Listener
	for range 4 {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		l.must(err)
		held = append(held, ln)
		addrs = append(addrs, ln.Addr().String())
	}
	for _, ln := range held {
		l.must(ln.Close())
	}
	n := &node{lab: l, name: name, zone: zone, front: addrs[0], ready: addrs[1], peer: addrs[2]}
	_, port, err := net.SplitHostPort(n.peer)
	l.must(err)
	_, n.metrics, err = net.SplitHostPort(addrs[3])
	l.must(err)
	n.file = filepath.Join(l.dir, name+".conf")
	n.log = filepath.Join(l.dir, name+".log")
	if l.keep != "" {
		n.log = filepath.Join(l.keep, name+".log")
	}
	n.writeSettings = func(bootstrap bool) {
		text := fmt.Sprintf(settings, name, ip, zone, n.front, n.ready, port, port, bootstrap, l.store.Addr)
		l.must(os.WriteFile(n.file, []byte(text), 0o600))
	}
	n.writeSettings(true)
	n.start()
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	n.lab.must(err)
	defer out.Close()
	cmd := exec.Command("target/chervilloom", "entry", "--metrics", n.metrics)
	cmd.Env = append(os.Environ(), "CHERVILLOOM_SETTINGS="+n.file)
	cmd.Stdout, cmd.Stderr = out, out
	n.lab.must(cmd.Start())
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	n.lab.logf("node %s started, pid %d", n.name, cmd.Process.Pid)
}

// restart starts the process again after its end. The system has started before.
func (n *node) restart() {
	n.writeSettings(false)
	n.start()
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	n.lab.logf("node %s gets %v", n.name, s)
	_ = cmd.Process.Signal(s) // fails only if it has ended
}

// kill ends the process and waits for it.
func (n *node) kill() {
	n.mu.Lock()
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// isReady reports what the balancer would learn.
func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metric returns the value of one of the node's own metrics; 0 if it has none of that name.
func (n *node) metric(name string) float64 {
	host, _, err := net.SplitHostPort(n.front)
	n.lab.must(err)
	resp, err := http.Get("http://" + net.JoinHostPort(host, n.metrics) + "/metrics")
	n.lab.must(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	n.lab.must(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			n.lab.must(err)
			return v
		}
	}
	return 0
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(nodes ...*node) {
	for _, n := range nodes {
		l.await("node "+n.name+" is ready", 20*time.Second, n.isReady)
	}
}

// answer is what a client got for a request.
type answer struct {
	status int
	stamp  string
	body   string
	err    error // the answer ended early, or there was none
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d bytes, end %v", a.status, a.stamp, len(a.body), a.err)
}

// client sends each request on a new connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

// send sends a request to a node and reads the whole answer.
func (l *lab) send(n *node, method, path, id, body string, header map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	l.must(err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("X-Deadline-Ms", "9000")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	l.logf("client sends %s to %s: %s %s", id, n.name, method, path)
	resp, err := client.Do(req)
	if err != nil {
		l.logf("client got for %s: %v", id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a := answer{resp.StatusCode, resp.Header.Get("X-Server-Stamp"), string(text), err}
	l.logf("client got for %s: %v", id, a)
	return a
}
