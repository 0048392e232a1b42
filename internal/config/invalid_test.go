package config_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// TestInvalidDocuments compares the problems of each invalid document, with
// lines and remedies, to its golden file. Run "go test -update" to rewrite the
// golden files and review the changes.
func TestInvalidDocuments(t *testing.T) {
	paths, err := filepath.Glob("testdata/wrong/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no test documents found: %v", err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/wrong"), goldie.WithNameSuffix(".golden"))
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Parse(filepath.Base(path), readFile(t, path))
			problems, ok := err.(yamlcheck.Problems)
			is.True(ok)
			for _, p := range problems {
				is.True(p.Line > 0)
				is.True(p.Column > 0)
				is.True(p.Remedy != "")
			}
			golden.Assert(t, name, []byte(problems.Error()+"\n"))
		})
	}
}
