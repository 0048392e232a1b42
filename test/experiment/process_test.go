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
	patience  = 45 * time.Second
	pollEvery = 50 * time.Millisecond
)

// process is one process of the program under test.
type process struct {
	name  string
	cmd   *exec.Cmd
	lines chan string   // its first lines; later ones are dropped
	done  chan struct{} // closed when it has ended and its output is read
}

// startProcess runs the program with args and the text as its settings. It is
// killed when the experiment ends.
func startProcess(tb testing.TB, name, settings string, args ...string) *process {
	tb.Helper()
	program, err := build()
	must(tb, err)
	file := filepath.Join(tb.TempDir(), name+".yaml")
	must(tb, os.WriteFile(file, []byte(settings), 0o600))
	p := &process{
		name: name, cmd: exec.Command(program, append(args, "--settings", file)...),
		lines: make(chan string, 64), done: make(chan struct{}),
	}
	// Without this a run that is killed would leave its processes behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r, w, err := os.Pipe()
	must(tb, err)
	p.cmd.Stdout, p.cmd.Stderr = w, w
	must(tb, p.cmd.Start())
	must(tb, w.Close())
	go p.read(r)
	tb.Cleanup(p.kill)
	return p
}

func (p *process) read(r *os.File) {
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

// line waits for the first line of output that contains text.
func (p *process) line(tb testing.TB, text string) string {
	tb.Helper()
	deadline := time.After(patience)
	for {
		select {
		case l := <-p.lines:
			if strings.Contains(l, text) {
				return l
			}
		case <-p.done:
			tb.Fatalf("%s ended before it wrote %q", p.name, text)
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

// kill ends the process at once, also a paused one, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// until polls a condition; detail is asked for what was seen last when it does
// not hold within patience.
func until(tb testing.TB, what string, holds func() bool, detail func() string) {
	tb.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			tb.Fatalf("never came true: %s\n%s", what, detail())
		}
	}
}
