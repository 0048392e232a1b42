package cut

import (
	"bufio"
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

// waitTimeout bounds each wait for a condition. No test's verdict depends on how
// much of it is used.
const waitTimeout = 60 * time.Second

// failureLogLines is how many of a process's last lines are shown when a test fails.
const failureLogLines = 20

// process is one process of the program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended and its output is read

	mu        sync.Mutex
	lines     []string
	lineAdded chan struct{} // closed and replaced at each line
}

// startProcess runs the program with args. It is killed when the test ends.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), done: make(chan struct{}), lineAdded: make(chan struct{})}
	// Without this a test run that is killed would leave its processes behind.
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
			testkit.KeepLog(t, name, p.output())
		}
	})
	return p
}

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
	_ = p.cmd.Wait() // its code is read from ProcessState
}

// awaitLine waits for the first line of output that contains text.
func (p *process) awaitLine(t *testing.T, text string) string {
	t.Helper()
	found, ended := p.awaitLineOrExit(t, text)
	if ended {
		t.Fatalf("%s ended before it wrote %q:\n%s", p.name, text, p.tail())
	}
	return found
}

// awaitLineOrExit is line, but reports whether the process ended before.
func (p *process) awaitLineOrExit(t *testing.T, text string) (line string, ended bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		found, more := p.find(text)
		if found != "" {
			return found, false
		}
		select {
		case <-more:
		case <-p.done:
			return "", true
		case <-deadline:
			t.Fatalf("%s did not write %q", p.name, text)
		}
	}
}

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

func (p *process) output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.lines)
}

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines[max(0, len(p.lines)-failureLogLines):], "\n")
}

// kill ends the process at once, also a paused one, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// writeFile writes a file of the test's own and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitUntil polls a condition. It fails the test when the condition does not hold
// within patience; detail is asked then for what was seen last.
func waitUntil(t *testing.T, description string, condition func() bool, detail func() string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never came true: %s\n%s", description, detail())
		}
	}
}
