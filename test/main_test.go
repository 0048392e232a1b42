package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The go command keeps a verdict until what a test imports changes. The program
	// under test is built by a command; this import has its code count as well.
	_ "chervilloom/internal/node"
	"chervilloom/internal/testkit"
)

// binary is the program under test, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(testkit.Exclusively(func() int { return run(m) }))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chervilloom-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "chervilloom")
	if out, err := exec.Command("go", "build", "-o", binary, "chervilloom/cmd/chervilloom").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "the program does not build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
