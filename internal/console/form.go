package console

import (
	"fmt"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"

	"chervilloom/internal/config"
	"chervilloom/internal/yamlcheck"
)

// part is a top-level key of the document that has its own form.
type part struct {
	Key   string // key in the document
	Title string
	Help  string
}

// textPartKey selects the whole document as text instead of a part.
const textPartKey = "text"

var parts = []part{
	{"organisations", "Organisations", "Customers: their keys, their share of the capacity and their limits."},
	{"models", "Models", "Models with the versions and adapters that may be served."},
	{"groups", "Serving groups", "How many replicas of which model version, and on how many VMs each."},
	{"services", "Plain services", "Services beside the models, and which of their calls may run at most once."},
	{"objective", "Objective", "What a second of group downtime and a second of a stranded accelerator weigh against each other."},
	{"fence_checked", "Fence checks", "Engines that refuse an order with an old fence number. The others are waited for."},
	{"policy", "Policy", "How requests are routed and retried. Empty values stand for the defaults."},
}

func findPart(key string) (part, bool) {
	for _, p := range parts {
		if p.Key == key {
			return p, true
		}
	}
	return part{}, false
}

// fieldKind is the type of the form control of a field.
type fieldKind string

const (
	kindText   fieldKind = "text"
	kindNumber fieldKind = "number"
	kindLines  fieldKind = "lines"
	kindCheck  fieldKind = "check"
	kindSelect fieldKind = "select"
)

// field is a form control. Its name is the path of the value in the document, by
// which problems are matched to controls.
type field struct {
	Path     string
	Label    string
	Help     string
	Kind     fieldKind
	Value    string
	Options  []string
	Problems []yamlcheck.Problem
}

// section contains the fields of one list element, or of a part that is not a
// list.
type section struct {
	Legend string
	Remove string // name of the checkbox that removes the element; empty: no checkbox
	Fields []field
}

// form is the form of a part.
type form struct {
	Part     part
	Count    int // number of elements, including the empty one; 0 if the part is not a list
	Sections []section
}

// documentField returns the struct field of the document with the given key.
func documentField(key string) reflect.StructField {
	t := reflect.TypeFor[config.Document]()
	for i := range t.NumField() {
		if yamlKey(t.Field(i)) == key {
			return t.Field(i)
		}
	}
	panic("console: the document has no part " + key) // not reached: the keys come from parts
}

func yamlKey(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return key
}

// formValues returns the form values of a part of the document.
func formValues(key string, d *config.Document) url.Values {
	out := url.Values{}
	v := reflect.ValueOf(*d).FieldByIndex(documentField(key).Index)
	switch {
	case isNamedList(v.Type()):
		for i := range v.Len() {
			addStructValues(out, fmt.Sprintf("%s[%d]", key, i), v.Index(i))
		}
		out.Set("count", strconv.Itoa(v.Len()))
	case v.Kind() == reflect.Struct:
		addStructValues(out, key, v)
	default:
		out.Set(key, controlValue(v, true))
	}
	return out
}

func addStructValues(out url.Values, path string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		omit := strings.HasSuffix(f.Tag.Get("yaml"), ",omitempty")
		out.Set(path+"."+yamlKey(f), controlValue(v.Field(i), omit))
	}
}

// controlValue returns a value in the format of its form control.
func controlValue(v reflect.Value, omitZero bool) string {
	if v.Kind() == reflect.Slice {
		return strings.Join(v.Interface().([]string), "\n")
	}
	if v.Kind() == reflect.Bool {
		return map[bool]string{true: "on"}[v.Bool()]
	}
	if v.IsZero() && omitZero {
		return ""
	}
	if d, ok := v.Interface().(config.Duration); ok {
		b, _ := d.MarshalText() // never returns an error
		return string(b)
	}
	if v.Kind() == reflect.Float64 {
		return strconv.FormatFloat(v.Float(), 'g', -1, 64)
	}
	return fmt.Sprint(v.Interface())
}

// newForm returns the form of a part with its values, and with each problem next
// to its control.
func newForm(p part, values url.Values, problems yamlcheck.Problems) form {
	b := formBuilder{values: values, problems: problems}
	t := documentField(p.Key).Type
	switch {
	case isNamedList(t):
		n, _ := strconv.Atoi(values.Get("count"))
		out := form{Part: p, Count: n + 1}
		for i := range n + 1 {
			out.Sections = append(out.Sections, b.element(p, t.Elem(), i, i == n))
		}
		return out
	case t.Kind() == reflect.Struct:
		return form{Part: p, Sections: []section{{Legend: p.Title, Fields: b.fields(p.Key, p.Key, t)}}}
	}
	one := b.field(p.Key, p.Key, "One a line; * stands for all", t, "")
	one.Label = p.Title
	return form{Part: p, Sections: []section{{Legend: p.Title, Fields: []field{one}}}}
}

type formBuilder struct {
	values   url.Values
	problems yamlcheck.Problems
}

func (b *formBuilder) element(p part, t reflect.Type, i int, empty bool) section {
	path := fmt.Sprintf("%s[%d]", p.Key, i)
	s := section{Legend: b.values.Get(path + ".name"), Fields: b.fields(path, p.Key, t)}
	if empty {
		s.Legend = "Add one (leave empty for none)"
		return s
	}
	s.Remove = "remove:" + path
	return s
}

func (b *formBuilder) fields(path, group string, t reflect.Type) []field {
	var out []field
	for i := range t.NumField() {
		f := t.Field(i)
		key := yamlKey(f)
		out = append(out, b.field(path+"."+key, group+"."+key, fieldHelp[group+"."+key], f.Type, f.Tag.Get("jsonschema")))
	}
	return out
}

func (b *formBuilder) field(path, id, help string, t reflect.Type, schema string) field {
	label := id[strings.LastIndexByte(id, '.')+1:]
	f := field{
		Path: path, Label: strings.ReplaceAll(strings.ToUpper(label[:1])+label[1:], "_", " "),
		Help: help, Kind: kindText, Value: b.values.Get(path),
	}
	switch t.Kind() {
	case reflect.Slice:
		f.Kind = kindLines
	case reflect.Bool:
		f.Kind = kindCheck
	case reflect.Int, reflect.Float64:
		f.Kind = kindNumber
	}
	if f.Options = enumOptions(schema); f.Options != nil {
		f.Kind = kindSelect
	}
	for _, p := range b.problems {
		if p.Path == path || strings.HasPrefix(p.Path, path+"[") {
			f.Problems = append(f.Problems, p)
		}
	}
	return f
}

// enumOptions returns the enum values of a schema tag, preceded by the empty value,
// or nil if it has none.
func enumOptions(schema string) []string {
	var out []string
	for word := range strings.SplitSeq(schema, ",") {
		if v, ok := strings.CutPrefix(word, "enum="); ok {
			out = append(out, v)
		}
	}
	if out != nil {
		out = append([]string{""}, out...)
	}
	return out
}

// compactElements drops the elements that are empty or marked for removal and
// renumbers the rest, so that their indexes match the written document.
func compactElements(p part, sent url.Values) url.Values {
	t := documentField(p.Key).Type
	if !isNamedList(t) {
		return sent
	}
	out := url.Values{}
	kept := 0
	n, _ := strconv.Atoi(sent.Get("count"))
	for i := range min(n, maxElements) {
		from, to := fmt.Sprintf("%s[%d]", p.Key, i), fmt.Sprintf("%s[%d]", p.Key, kept)
		if sent.Get("remove:"+from) != "" || isBlankElement(sent, from, t.Elem()) {
			continue
		}
		for j := range t.Elem().NumField() {
			key := yamlKey(t.Elem().Field(j))
			out.Set(to+"."+key, sent.Get(from+"."+key))
		}
		kept++
	}
	out.Set("count", strconv.Itoa(kept))
	return out
}

// maxElements bounds the number of elements that are read from a form.
const maxElements = 10000

func isBlankElement(sent url.Values, path string, t reflect.Type) bool {
	for i := range t.NumField() {
		if strings.TrimSpace(sent.Get(path+"."+yamlKey(t.Field(i)))) != "" {
			return false
		}
	}
	return true
}

// applyPart returns document d as YAML with the values of the part replaced. A
// number that cannot be parsed is written unchanged, so that the document check
// reports it with the other problems.
func applyPart(p part, values url.Values, d *config.Document) (string, error) {
	var out yaml.MapSlice
	v := reflect.ValueOf(*d)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		key := yamlKey(f)
		if key == p.Key {
			if item := yamlPart(p.Key, f.Type, values); item != nil {
				out = append(out, yaml.MapItem{Key: key, Value: item})
			}
			continue
		}
		if v.Field(i).IsZero() && strings.HasSuffix(f.Tag.Get("yaml"), ",omitempty") {
			continue
		}
		out = append(out, yaml.MapItem{Key: key, Value: v.Field(i).Interface()})
	}
	text, err := yaml.Marshal(out)
	return string(text), err
}

// yamlPart returns the part as YAML values, or nil if it is empty.
func yamlPart(path string, t reflect.Type, values url.Values) any {
	switch {
	case isNamedList(t):
		list := []yaml.MapSlice{}
		n, _ := strconv.Atoi(values.Get("count"))
		for i := range n {
			list = append(list, yamlStruct(fmt.Sprintf("%s[%d]", path, i), t.Elem(), values))
		}
		return list
	case t.Kind() == reflect.Struct:
		if m := yamlStruct(path, t, values); len(m) > 0 {
			return m
		}
		return nil
	}
	return yamlValue(t, values.Get(path))
}

func yamlStruct(path string, t reflect.Type, values url.Values) yaml.MapSlice {
	var out yaml.MapSlice
	for i := range t.NumField() {
		f := t.Field(i)
		if v := yamlValue(f.Type, values.Get(path+"."+yamlKey(f))); v != nil {
			out = append(out, yaml.MapItem{Key: yamlKey(f), Value: v})
		}
	}
	return out
}

func yamlValue(t reflect.Type, sent string) any {
	sent = strings.TrimSpace(sent)
	switch {
	case t.Kind() == reflect.Bool:
		return sent != ""
	case sent == "":
		return nil
	case t.Kind() == reflect.Slice:
		return splitLines(sent)
	case t.Kind() == reflect.Int:
		if n, err := strconv.ParseInt(sent, 10, 64); err == nil {
			return n
		}
	case t.Kind() == reflect.Float64:
		if n, err := strconv.ParseFloat(sent, 64); err == nil {
			return n
		}
	}
	return sent
}

func splitLines(s string) []string {
	var out []string
	for line := range strings.Lines(s) {
		if line = strings.TrimSpace(line); line != "" {
			out = append(out, line)
		}
	}
	return out
}
