package experiment

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	// The go command caches test results until an import of the test changes.
	// The program under test is built by a separate command; this import makes
	// the cache depend on its code.
	_ "chervilloom/internal/node"
	"chervilloom/internal/testkit"
)

// workDir contains the program under test, built once by the first experiment.
var (
	workDir   string
	buildOnce = sync.OnceValues(buildProgram)
)

func TestMain(m *testing.M) {
	os.Exit(testkit.RunExclusively(func() int { return run(m) }))
}

func run(m *testing.M) int {
	var err error
	if workDir, err = os.MkdirTemp("", "chervilloom-experiment-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(workDir)
	return m.Run()
}

func buildProgram() (string, error) {
	path := filepath.Join(workDir, "chervilloom")
	out, err := exec.Command("go", "build", "-o", path, "chervilloom/cmd/chervilloom").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the program failed: %w\n%s", err, out)
	}
	return path, nil
}
