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

const docs = "../../docs"

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(docs, path))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestTheExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join(docs, "examples", "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, path := range paths {
		name := filepath.Base(path)
		t.Run(name, func(t *testing.T) {
			text := []byte(read(t, filepath.Join("examples", name)))
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

var block = regexp.MustCompile("(?s)<!-- (examples/[^ ]+) -->\n```yaml\n(.*?)```")

func TestThePageShowsTheExamples(t *testing.T) {
	is := is.New(t)
	found := block.FindAllStringSubmatch(read(t, "CONFIGURATION.md"), -1)
	is.Equal(len(found), 3)
	for _, m := range found {
		is.Equal(m[2], read(t, m[1]))
	}
}

// keys returns the paths of all keys of a struct, "[]" for the elements of lists.
func keys(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		out = append(out, keysOf(prefix+key, f.Type)...)
	}
	return out
}

func keysOf(path string, t reflect.Type) []string {
	if t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct {
		path, t = path+"[]", t.Elem()
	}
	if t.Kind() != reflect.Struct || reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return []string{strings.TrimSuffix(path, "[]")}
	}
	return keys(path+".", t)
}

func TestThePageTellsEveryKeyAndNoOther(t *testing.T) {
	is := is.New(t)
	want := map[string]bool{}
	for _, k := range append(keys("", reflect.TypeFor[settings.Settings]()), keys("", reflect.TypeFor[config.Document]())...) {
		want[k] = true
	}
	is.True(len(want) > 50)
	row := regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\| ")
	told := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(read(t, "CONFIGURATION.md"), -1) {
		is.True(!told[m[1]]) // once
		told[m[1]] = true
	}
	for k := range want {
		if !told[k] {
			t.Errorf("the page does not tell of %s", k)
		}
	}
	for k := range told {
		if !want[k] {
			t.Errorf("the page tells of %s, which no document has", k)
		}
	}
}
