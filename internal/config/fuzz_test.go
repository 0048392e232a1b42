package config_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"chervilloom/internal/config"
)

// FuzzParse checks that no text makes the parser panic, and that a document
// that was read is the same after it was written and read again.
func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/valid/*.yaml", "testdata/wrong/*.yaml"} {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			f.Fatalf("no seeds in %s: %v", pattern, err)
		}
		for _, p := range paths {
			data, err := os.ReadFile(p)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := config.Parse("fuzz.yaml", data)
		if err != nil {
			return
		}
		out, err := config.Marshal(d)
		if err != nil {
			t.Fatalf("cannot be written: %v", err)
		}
		again, err := config.Parse("again.yaml", out)
		if err != nil {
			t.Fatalf("cannot be read again: %v\n%s", err, out)
		}
		if changes := config.Diff(d, again); len(changes) > 0 {
			t.Fatalf("changed by writing and reading: %v\n%s", changes, out)
		}
		twice, err := config.Marshal(again)
		if err != nil || !reflect.DeepEqual(twice, out) {
			t.Fatalf("written differently the second time: %v\n%s\n%s", err, out, twice)
		}
	})
}
