package testkit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// logsDirVariable is the environment variable with the directory for complete logs.
const logsDirVariable = "CHERVILLOOM_TEST_LOGS"

// SaveLog writes the log lines of a process to a file below the directory in
// CHERVILLOOM_TEST_LOGS, with a subdirectory per test run. It does nothing if the
// variable is empty. Tests call it when they fail.
func SaveLog(t testing.TB, process string, lines []string) {
	t.Helper()
	root := os.Getenv(logsDirVariable)
	if root == "" {
		return
	}
	dir := filepath.Join(root, filepath.Base(filepath.Dir(t.TempDir()))) // unique per run of the test
	path := filepath.Join(dir, process+".log")
	err := os.MkdirAll(dir, 0o700)
	if err == nil {
		err = os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	}
	if err != nil {
		t.Logf("log of %s was not saved: %v", process, err)
		return
	}
	t.Logf("log of %s: %s", process, path)
}
