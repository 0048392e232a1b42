package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"chervilloom/internal/operator"
)

// nodeProcs limits a node to two cores, because entry VMs are small.
const nodeProcs = "GOMAXPROCS=2"

const nodeSettings = `vm: %s
availability_zone: %s
ip: 127.0.0.1
listen: {caller: "127.0.0.1:0", operator: "127.0.0.1:0", peer: "127.0.0.1:0"}
platform: {url: "http://%s"}
peer: {secret: "scale secret, for loopback only: 0123456789"}
operators: [{name: scale, token_hash: "%s"}]
log: {format: json}
timing: {drain_notice: 100ms}
`

// node is the process of an entry node.
type node struct {
	vm, zone                       string
	caller, operatorAddr, peerAddr string
	startedAt                      time.Time
	cmd                            *exec.Cmd
	done                           chan struct{} // closed when the process has exited
}

// startNode starts a node and returns when it listens.
func startNode(b *testing.B, vm, zone, platform string) *node {
	b.Helper()
	program, err := buildOnce()
	must(b, err)
	file := filepath.Join(b.TempDir(), vm+".yaml")
	must(b, os.WriteFile(file, fmt.Appendf(nil, nodeSettings, vm, zone, platform, operatorHash), 0o600))
	n := &node{vm: vm, zone: zone, startedAt: time.Now(), done: make(chan struct{})}
	n.cmd = exec.Command(program, "serve", "--settings", file)
	n.cmd.Env = append(os.Environ(), nodeProcs)
	// Kills the process if the benchmark run itself is killed.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := n.cmd.StderrPipe()
	must(b, err)
	must(b, n.cmd.Start())
	b.Cleanup(func() {
		_ = n.cmd.Process.Kill()
		<-n.done
	})
	lines := bufio.NewScanner(out)
	n.readAddresses(b, lines)
	go func() {
		defer close(n.done)
		for lines.Scan() {
		}
		_ = n.cmd.Wait()
	}()
	return n
}

// readAddresses reads the node's addresses from its log.
func (n *node) readAddresses(b *testing.B, lines *bufio.Scanner) {
	b.Helper()
	for lines.Scan() {
		var l struct{ Msg, Caller, Operator, Peer string }
		if json.Unmarshal(lines.Bytes(), &l) == nil && l.Msg == "listening" {
			n.caller, n.operatorAddr, n.peerAddr = l.Caller, l.Operator, l.Peer
			return
		}
	}
	close(n.done)
	b.Fatalf("%s exited before listening", n.vm)
}

// stop shuts the node down gracefully and returns its lifetime.
func (n *node) stop(b *testing.B) time.Duration {
	b.Helper()
	must(b, n.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-n.done:
	case <-time.After(waitTimeout):
		b.Fatalf("%s did not exit", n.vm)
	}
	return time.Since(n.startedAt)
}

// client returns an operator client for the node.
func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operatorAddr, operatorToken)
}

// must fails the benchmark if err is not nil.
func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
