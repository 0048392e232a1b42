package settings_test

import (
	"encoding"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chervilloom/internal/config"
	"chervilloom/internal/settings"
)

const docsDir = "../../docs"

func readDoc(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(docsDir, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(docsDir, "examples", "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples found: %v", err)
	}
	for _, path := range paths {
		name := filepath.Base(path)
		t.Run(name, func(t *testing.T) {
			text := []byte(readDoc(t, filepath.Join("examples", name)))
			var err error
			if strings.HasPrefix(name, "settings") {
				_, err = settings.Parse(name, text)
			} else {
				_, err = config.Parse(name, text)
			}
			is.New(t).NoErr(err)
		})
	}
}

var exampleBlock = regexp.MustCompile("(?s)<!-- (examples/[^ ]+) -->\n```yaml\n(.*?)```")

func TestDocumentationShowsExamples(t *testing.T) {
	is := is.New(t)
	found := exampleBlock.FindAllStringSubmatch(readDoc(t, "CONFIGURATION.md"), -1)
	is.Equal(len(found), 3)
	for _, m := range found {
		is.Equal(m[2], readDoc(t, m[1]))
	}
}

// keysOfStruct returns the paths of all keys of a struct, with "[]" for list
// elements.
func keysOfStruct(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		out = append(out, keysOfType(prefix+key, f.Type)...)
	}
	return out
}

func keysOfType(path string, t reflect.Type) []string {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct {
		path, t = path+"[]", t.Elem()
	}
	if t.Kind() != reflect.Struct || reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return []string{strings.TrimSuffix(path, "[]")}
	}
	return keysOfStruct(path+".", t)
}

func TestDocumentationListsAllKeys(t *testing.T) {
	is := is.New(t)
	want := map[string]bool{}
	for _, k := range append(keysOfStruct("", reflect.TypeFor[settings.Settings]()), keysOfStruct("", reflect.TypeFor[config.Document]())...) {
		want[k] = true
	}
	is.True(len(want) > 50)
	row := regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| ")
	documented := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(readDoc(t, "CONFIGURATION.md"), -1) {
		is.True(!documented[m[1]]) // once
		documented[m[1]] = true
	}
	for k := range want {
		if !documented[k] {
			t.Errorf("key %s is not documented", k)
		}
	}
	for k := range documented {
		if !want[k] {
			t.Errorf("documented key %s does not exist", k)
		}
	}
}
