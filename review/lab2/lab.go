// Command lab2 runs the scripts of the independent review: it starts nodes with the command of the
// deploy file as processes of their own, with stand-ins for the platform's store, its engines and
// plain services on loopback, and plays one case.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilloom/platform/platformtest"
)

// settings are those of a small deployment, as the users' page on deployment shows them.
const settings = `node=%[1]s
role=entry
machine_class=front
serves=front
ip=%[2]s
zone=%[3]s
region=r
zones.a=r
zones.b=r
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
port_range=%[6]d,%[6]d
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
limits.link_mbps=1000.0
heartbeat_ms=1200
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
platform.address=%[7]s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
`

const document = `{"version":%d,"routes":[
 {"name":"text","host":"h.example","prefix":"/text/","type":"stream","timeout_ms":20000,"target_latency_ms":1000,
  "service":"engines","max_attempts":2,"resumable":true,"gap_aim_ms":1000},
 {"name":"receipt","host":"h.example","prefix":"/receipt/","type":"non_idempotent","timeout_ms":10000,"target_latency_ms":300,"service":"plain","max_attempts":1},
 {"name":"lookup","host":"h.example","prefix":"/lookup/","type":"idempotent","timeout_ms":10000,"target_latency_ms":300,"service":"plain","max_attempts":2}],
 "services":[{"name":"engines","engine":{"slots":26,"models":[{"name":"m","size":4,"share":1,"pace":1,"load_s":0.05,"warm_s":0.05}],
  "loads_per_s":100,"loads_at_once":6,"keeps":1,"form_ms":50}},{"name":"plain","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000},
 "tenants":[{"name":"org","api_keys":["k1"]}]}`

// lab is a small deployment.
type lab struct {
	root, temp string
	trouble    bool
	started    time.Time
	store      *platformtest.Store
	fleet      *platformtest.Fleet
	nodes      []*node

	mu       sync.Mutex
	record   *os.File
	problems []string
}

// node is one process of the product.
type node struct {
	name, front, ready string
	settings           string // file
	cmd                *exec.Cmd
}

var errSetup = errors.New("the case could not run")

func newLab(root, folder string, trouble bool) (*lab, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{root: root, temp: temp, trouble: trouble, started: time.Now(), record: f, store: platformtest.NewStore()}
	l.fleet = platformtest.NewFleet(l.store)
	l.note("trouble=%v", trouble)
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that the rule was broken.
func (l *lab) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.note("RULE BROKEN: %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, text)
}

// close ends all that was started.
func (l *lab) close() {
	for _, n := range l.nodes {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
	}
	for _, n := range l.nodes {
		_ = n.cmd.Wait()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.temp)
}

func (l *lab) writeDocument(version int) {
	l.store.PutRaw("op", "config", fmt.Appendf(nil, document, version))
}

// heartbeats lets all endpoints write their entries as servers do.
func (l *lab) heartbeats() {
	for range time.Tick(1200 * time.Millisecond) {
		l.fleet.RegisterAll()
	}
}

// freePorts returns n free ports on an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// command returns the command of the deploy file.
func (l *lab) command() ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(l.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// startNode starts a node of the product.
func (l *lab) startNode(name, zone string) (*node, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, 10+len(l.nodes))
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.temp, name+".conf")
	text := fmt.Sprintf(settings, name, ip, zone, ports[0], ports[1], ports[2], l.store.Addr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	n := &node{name: name, settings: file, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	if err := l.start(n); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, nil
}

// start starts a node's process with the command of the deploy file.
func (l *lab) start(n *node) error {
	args, err := l.command()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(l.temp, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(filepath.Join(l.root, args[0]), args[1:]...)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = l.root, out, out
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.temp, "CHERVILLOOM_SETTINGS=" + n.settings}
	return n.cmd.Start()
}

// killAll kills all nodes at once and starts them again after a while, no longer as a new system.
func (l *lab) killAll(down time.Duration) error {
	for _, n := range l.nodes {
		_ = n.cmd.Process.Kill()
	}
	for _, n := range l.nodes {
		_ = n.cmd.Wait()
	}
	l.note("all nodes were killed")
	time.Sleep(down)
	for _, n := range l.nodes {
		raw, err := os.ReadFile(n.settings)
		if err != nil {
			return err
		}
		text := strings.Replace(string(raw), "bootstrap=true", "bootstrap=false", 1)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := l.start(n); err != nil {
			return err
		}
	}
	l.note("all nodes were started again")
	return nil
}

// awaitReady waits until a node counts as ready.
func (l *lab) awaitReady(n *node) error {
	client := http.Client{Timeout: time.Second}
	return eventually("node "+n.name+" is ready", 15*time.Second, func() bool {
		resp, err := client.Get("http://" + n.ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func eventually(what string, limit time.Duration, is func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if is() {
			return nil
		}
	}
	return fmt.Errorf("%w: not reached within %v: %s", errSetup, limit, what)
}

// parallel calls play for each of n indexes, by several workers.
func (l *lab) parallel(n, workers int, play func(i int)) {
	next := make(chan int)
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for i := range next {
				play(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	all.Wait()
}
