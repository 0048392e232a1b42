package test

import (
	"bufio"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilloom/internal/testkit"
)

// waitTimeout bounds each wait for a condition. No result depends on how much
// of it elapses.
const waitTimeout = 60 * time.Second

// failureLogLines is how many of a process's last lines are logged when a test
// fails.
const failureLogLines = 20

// process is a process of the program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited and its output is read

	mu        sync.Mutex
	lines     []string
	lineAdded chan struct{} // closed and replaced when a line is added
}

// startProcess runs the program with args. It is killed when the test ends.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{}), lineAdded: make(chan struct{})}
	// Kills the process if the test run itself is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	must(t, err)
	p.cmd.Stdout, p.cmd.Stderr = w, w
	must(t, p.cmd.Start())
	must(t, w.Close())
	go p.readOutput(r)
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("last lines of %s:\n%s", name, p.tail())
			testkit.SaveLog(t, name, p.output())
		}
	})
	return p
}

// readOutput collects the output and waits for the process to exit.
func (p *process) readOutput(r io.ReadCloser) {
	defer close(p.done)
	defer r.Close()
	for s := bufio.NewScanner(r); s.Scan(); {
		p.mu.Lock()
		p.lines = append(p.lines, s.Text())
		close(p.lineAdded)
		p.lineAdded = make(chan struct{})
		p.mu.Unlock()
	}
	_ = p.cmd.Wait() // the exit code is read from ProcessState
}

// awaitLine waits for an output line that contains text and returns the first
// one.
func (p *process) awaitLine(t *testing.T, text string) string {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		found, more := p.find(text)
		if found != "" {
			return found
		}
		select {
		case <-more:
		case <-p.done:
			t.Fatalf("%s exited before writing %q:\n%s", p.name, text, p.tail())
		case <-deadline:
			t.Fatalf("%s did not write %q", p.name, text)
		}
	}
}

// find returns the first line that contains text, or a channel that is closed
// when a line is added.
func (p *process) find(text string) (string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			return line, nil
		}
	}
	return "", p.lineAdded
}

// lastLine returns the last line that contains text, or "".
func (p *process) lastLine(text string) string {
	lines := p.output()
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], text) {
			return lines[i]
		}
	}
	return ""
}

// hasLine reports whether a line contains all of the texts.
func (p *process) hasLine(texts ...string) bool {
	return slices.ContainsFunc(p.output(), func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	})
}

// output returns a copy of all lines.
func (p *process) output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}

// tail returns the last failureLogLines lines.
func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines[max(0, len(p.lines)-failureLogLines):], "\n")
}

// signal sends a signal unless the process has exited.
func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// kill kills the process, including a paused one, and waits for it to exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// awaitExit waits for the process to exit and returns its exit code.
func (p *process) awaitExit(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit", p.name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// writeFile writes a file to a temporary directory of the test and returns its
// path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitUntil polls a condition and fails the test if it isn't met within
// waitTimeout; detail then describes the last observed state.
func waitUntil(t *testing.T, description string, condition func() bool, detail func() string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s\n%s", description, detail())
		}
	}
}
