package test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	// The go command caches test results until an import of the test changes.
	// The program under test is built by a separate command; this import makes
	// the cache depend on its code.
	_ "chervilloom/internal/node"
	"chervilloom/internal/testkit"
)

// binary is the path of the program under test, built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(testkit.RunExclusively(func() int { return run(m) }))
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
		fmt.Fprintf(os.Stderr, "building the program failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
