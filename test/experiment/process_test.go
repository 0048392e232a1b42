package experiment

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	waitTimeout  = 45 * time.Second
	pollInterval = 50 * time.Millisecond
)

// process is a process of the program under test.
type process struct {
	name  string
	cmd   *exec.Cmd
	lines chan string   // buffered output; lines that exceed the buffer are dropped
	done  chan struct{} // closed when the process has exited and its output is read
}

// startProcess runs the program with args and the given settings. It is killed
// when the experiment ends.
func startProcess(tb testing.TB, name, settings string, args ...string) *process {
	tb.Helper()
	program, err := buildOnce()
	must(tb, err)
	file := filepath.Join(tb.TempDir(), name+".yaml")
	must(tb, os.WriteFile(file, []byte(settings), 0o600))
	p := &process{
		name: name, cmd: exec.Command(program, append(args, "--settings", file)...),
		lines: make(chan string, 64), done: make(chan struct{}),
	}
	// Kills the process if the run itself is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	must(tb, err)
	p.cmd.Stdout, p.cmd.Stderr = w, w
	must(tb, p.cmd.Start())
	must(tb, w.Close())
	go p.readOutput(r)
	tb.Cleanup(p.kill)
	return p
}

// readOutput reads the output and waits for the process to exit.
func (p *process) readOutput(r *os.File) {
	defer close(p.done)
	defer r.Close()
	for s := bufio.NewScanner(r); s.Scan(); {
		select {
		case p.lines <- s.Text():
		default:
		}
	}
	_ = p.cmd.Wait()
}

// awaitLine waits for an output line that contains text and returns it.
func (p *process) awaitLine(tb testing.TB, text string) string {
	tb.Helper()
	deadline := time.After(waitTimeout)
	for {
		select {
		case l := <-p.lines:
			if strings.Contains(l, text) {
				return l
			}
		case <-p.done:
			tb.Fatalf("%s exited before writing %q", p.name, text)
		case <-deadline:
			tb.Fatalf("%s did not write %q", p.name, text)
		}
	}
}

func (p *process) pause(tb testing.TB) {
	tb.Helper()
	must(tb, p.cmd.Process.Signal(syscall.SIGSTOP))
}

func (p *process) resume(tb testing.TB) {
	tb.Helper()
	must(tb, p.cmd.Process.Signal(syscall.SIGCONT))
}

// kill kills the process, including a paused one, and waits for it to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// must fails the test if err is not nil.
func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// waitUntil polls a condition and fails the test if it isn't met within
// waitTimeout; detail then describes the last observed state.
func waitUntil(tb testing.TB, description string, condition func() bool, detail func() string) {
	tb.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met: %s\n%s", description, detail())
		}
	}
}
