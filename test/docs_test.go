package test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each test named in docs/PROOFS.md must exist. A renamed or deleted test would
// otherwise leave a documented guarantee without a test.
func TestProofsPageNamesTests(t *testing.T) {
	page, err := os.ReadFile("../docs/PROOFS.md")
	must(t, err)
	known := map[string]bool{}
	must(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range regexp.MustCompile(`(?m)^func (Test\w+)\(t \*testing\.T\)`).FindAllSubmatch(text, -1) {
			known[string(m[1])] = true
		}
		return err
	}))
	names := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(page), -1)
	if len(names) < 20 {
		t.Errorf("docs/PROOFS.md names only %d tests", len(names))
	}
	for _, n := range names {
		if !known[n] {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", n)
		}
	}
}
