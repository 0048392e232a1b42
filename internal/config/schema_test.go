package config_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/invopop/jsonschema"
	"github.com/matryer/is"

	"chervilloom/internal/config"
)

// schemaFile is the schema that the package embeds.
const schemaFile = "schema.json"

// isUpdating reports whether golden files are to be rewritten, as requested by
// goldie's -update flag.
func isUpdating() bool {
	f := flag.Lookup("update")
	return f != nil && f.Value.String() == "true"
}

// generateSchema returns the schema generated from the types and their
// comments.
func generateSchema() ([]byte, error) {
	r := &jsonschema.Reflector{
		FieldNameTag:               "yaml",
		RequiredFromJSONSchemaTags: true,
		Anonymous:                  true,
		Mapper: func(t reflect.Type) *jsonschema.Schema {
			if t != reflect.TypeFor[config.Duration]() {
				return nil
			}
			return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`}
		},
	}
	if err := r.AddGoComments("chervilloom/internal/config", "."); err != nil {
		return nil, err
	}
	out, err := json.MarshalIndent(r.Reflect(&config.Document{}), "", "  ")
	return append(out, '\n'), err
}

func TestSchemaMatchesTypes(t *testing.T) {
	is := is.New(t)
	want, err := generateSchema()
	is.NoErr(err)
	if isUpdating() {
		is.NoErr(os.WriteFile(schemaFile, want, 0o644))
	}
	have, err := os.ReadFile(schemaFile)
	is.NoErr(err)
	if !bytes.Equal(have, want) {
		t.Fatal("schema.json does not match the types; run go test ./internal/config -update and review the changes")
	}
}

// property is one property of the schema and its path in a document.
type property struct {
	path     []any // keys and indexes from the root
	required bool
	schema   *jsonschema.Schema
}

func (p property) String() string { return fmt.Sprint(p.path) }

// properties returns the properties of the schema that are present in doc.
func properties(t *testing.T, root *jsonschema.Schema, at *jsonschema.Schema, path []any, doc any) []property {
	t.Helper()
	if name, ok := strings.CutPrefix(at.Ref, "#/$defs/"); ok {
		at = root.Definitions[name]
	}
	var out []property
	switch v := doc.(type) {
	case []any:
		for i, e := range v {
			out = append(out, properties(t, root, at.Items, append(path[:len(path):len(path)], i), e)...)
		}
	case map[string]any:
		for pair := at.Properties.Oldest(); pair != nil; pair = pair.Next() {
			sub := append(path[:len(path):len(path)], pair.Key)
			value, ok := v[pair.Key]
			if !ok {
				continue
			}
			required := false
			for _, r := range at.Required {
				required = required || r == pair.Key
			}
			out = append(out, property{path: sub, required: required, schema: pair.Value})
			out = append(out, properties(t, root, pair.Value, sub, value)...)
		}
	}
	return out
}

// fullDocument returns an example that contains every key, as decoded JSON.
func fullDocument(t *testing.T) map[string]any {
	t.Helper()
	d, err := config.Parse("full.yaml", readFile(t, "testdata/valid/full.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	var out map[string]any
	if err := json.Unmarshal(text, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// editedDocument returns a full document after edit has changed the mapping
// that contains the property.
func editedDocument(t *testing.T, p property, edit func(holder map[string]any, key string)) []byte {
	t.Helper()
	root := fullDocument(t)
	var at any = root
	for _, step := range p.path[:len(p.path)-1] {
		switch s := step.(type) {
		case int:
			at = at.([]any)[s]
		case string:
			at = at.(map[string]any)[s]
		}
	}
	edit(at.(map[string]any), p.path[len(p.path)-1].(string))
	text, err := json.Marshal(root)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// referenced contains the properties that other parts of the full document
// refer to, though the schema does not require them. Without them the document
// is invalid.
var referenced = map[string]bool{"[models]": true, "[models 0 adapters]": true}

// TestSchemaAgreesWithParser checks on a document with every key that the
// schema and the parser require the same properties, and that the bounds and
// enum values of the schema are those of the parser.
func TestSchemaAgreesWithParser(t *testing.T) {
	var root jsonschema.Schema
	if err := json.Unmarshal(config.Schema, &root); err != nil {
		t.Fatal(err)
	}
	list := properties(t, &root, &root, nil, fullDocument(t))
	if len(list) < 50 {
		t.Fatalf("only %d properties found", len(list))
	}
	accepts := func(p property, edit func(map[string]any, string)) bool {
		_, err := config.Parse("edited.yaml", editedDocument(t, p, edit))
		return err == nil
	}
	for _, p := range list {
		t.Run(p.String(), func(t *testing.T) {
			is := is.New(t)
			if !referenced[p.String()] {
				without := accepts(p, func(m map[string]any, key string) { delete(m, key) })
				is.Equal(without, !p.required)
			}
			set := func(v any) bool { return accepts(p, func(m map[string]any, key string) { m[key] = v }) }
			if p.schema.Minimum != "" {
				least, err := p.schema.Minimum.Int64()
				is.NoErr(err)
				is.True(!set(least - 1))
				if p.path[len(p.path)-1] != "max" { // "min" in the full document is larger
					is.True(set(least))
				}
			}
			if p.schema.Maximum != "" {
				most, err := p.schema.Maximum.Int64()
				is.NoErr(err)
				is.True(!set(most + 1))
				is.True(set(most))
			}
			for _, choice := range p.schema.Enum {
				is.True(set(choice))
			}
			if p.schema.Pattern != "" || len(p.schema.Enum) > 0 {
				is.True(!set("?"))
			}
			if p.schema.UniqueItems {
				is.True(!set([]any{"POST /x", "POST /x"}))
				is.True(!set([]any{"x", "x"}))
			}
			is.True(!set(map[string]any{"unknown": 1}))
		})
	}
}
