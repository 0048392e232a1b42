package testkit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// logsVariable names the environment variable with the directory for whole logs.
const logsVariable = "CHERVILLOOM_TEST_LOGS"

// KeepLog writes the lines of a process of a failed test to a file of the directory that
// CHERVILLOOM_TEST_LOGS names; where it is empty, nothing is kept.
func KeepLog(t testing.TB, process string, lines []string) {
	t.Helper()
	root := os.Getenv(logsVariable)
	if root == "" {
		return
	}
	dir := filepath.Join(root, filepath.Base(filepath.Dir(t.TempDir()))) // one for each play of the test
	path := filepath.Join(dir, process+".log")
	err := os.MkdirAll(dir, 0o700)
	if err == nil {
		err = os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	}
	if err != nil {
		t.Logf("log of %s is not kept: %v", process, err)
		return
	}
	t.Logf("log of %s: %s", process, path)
}
