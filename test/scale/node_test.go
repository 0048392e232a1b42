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

// nodeProcs is the cores a node may use at once: entry VMs are small.
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

// node is an entry node's process.
type node struct {
	vm, zone                       string
	caller, operatorAddr, peerAddr string
	began                          time.Time
	cmd                            *exec.Cmd
	done                           chan struct{} // closed when the process has ended
}

func startNode(b *testing.B, vm, zone, platform string) *node {
	b.Helper()
	program, err := build()
	must(b, err)
	file := filepath.Join(b.TempDir(), vm+".yaml")
	must(b, os.WriteFile(file, fmt.Appendf(nil, nodeSettings, vm, zone, platform, operatorHash), 0o600))
	n := &node{vm: vm, zone: zone, began: time.Now(), done: make(chan struct{})}
	n.cmd = exec.Command(program, "serve", "--settings", file)
	n.cmd.Env = append(os.Environ(), nodeProcs)
	// Without this a run that is killed would leave its processes behind.
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
	b.Fatalf("%s ended before it listened", n.vm)
}

// stop ends the node gracefully and returns how long it lived.
func (n *node) stop(b *testing.B) time.Duration {
	b.Helper()
	must(b, n.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-n.done:
	case <-time.After(patience):
		b.Fatalf("%s did not end", n.vm)
	}
	return time.Since(n.began)
}

func (n *node) client() *operator.Client {
	return operator.NewClient("http://"+n.operatorAddr, operatorToken)
}

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}
