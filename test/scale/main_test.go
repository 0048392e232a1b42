package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// workDir contains the program under test, built once by the first benchmark.
var (
	workDir   string
	buildOnce = sync.OnceValues(buildProgram)
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if workDir, err = os.MkdirTemp("", "chervilloom-scale-"); err != nil {
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
