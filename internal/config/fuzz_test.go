package config_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"chervilloom/internal/config"
)

// FuzzParse checks that no input makes the parser panic, and that a valid
// document is unchanged after marshalling and parsing.
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
			t.Fatalf("cannot marshal document: %v", err)
		}
		again, err := config.Parse("again.yaml", out)
		if err != nil {
			t.Fatalf("cannot parse marshalled document: %v\n%s", err, out)
		}
		if changes := config.Diff(d, again); len(changes) > 0 {
			t.Fatalf("document changed by marshalling and parsing: %v\n%s", changes, out)
		}
		twice, err := config.Marshal(again)
		if err != nil || !reflect.DeepEqual(twice, out) {
			t.Fatalf("marshalling is not deterministic: %v\n%s\n%s", err, out, twice)
		}
	})
}
