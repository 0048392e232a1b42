package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Op is the kind of a Change.
type Op string

// Kinds of changes.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Op   Op     `json:"op"`
	Path string `json:"path"` // such as "organisations[clinic].weight"; list elements are identified by name
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch c.Op {
	case Added:
		return fmt.Sprintf("%s: added %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("%s: removed %s", c.Path, c.Old)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the changes from a to b in the order of the document's fields.
// Elements of lists are matched by name, strings in lists by value; a different
// order alone is also a change. A nil document counts as empty.
func Diff(a, b *Document) []Change {
	if a == nil {
		a = &Document{}
	}
	if b == nil {
		b = &Document{}
	}
	d := &differ{}
	d.diffStructs("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(op Op, path, before, after string) {
	d.changes = append(d.changes, Change{Op: op, Path: path, Old: before, New: after})
}

func (d *differ) diffStructs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		if path != "" {
			key = path + "." + key
		}
		d.diffValues(key, a.Field(i), b.Field(i))
	}
}

func (d *differ) diffValues(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.diffStructs(path, a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.diffNamedElements(path, a, b)
	case a.Kind() == reflect.Slice:
		d.diffStrings(path, a.Interface().([]string), b.Interface().([]string))
	case !a.Equal(b):
		d.add(Changed, path, formatValue(a), formatValue(b))
	}
}

// diffNamedElements compares lists of structs that have a Name field.
func (d *differ) diffNamedElements(path string, a, b reflect.Value) {
	old, next := indexByName(a), indexByName(b)
	for _, name := range old.names {
		at := fmt.Sprintf("%s[%s]", path, name)
		if v, ok := next.value[name]; ok {
			d.diffStructs(at, old.value[name], v)
		} else {
			d.add(Removed, at, formatValue(old.value[name]), "")
		}
	}
	for _, name := range next.names {
		if _, ok := old.value[name]; !ok {
			d.add(Added, fmt.Sprintf("%s[%s]", path, name), "", formatValue(next.value[name]))
		}
	}
	d.diffOrder(path, old.names, next.names)
}

type namedElements struct {
	names []string
	value map[string]reflect.Value
}

func indexByName(list reflect.Value) namedElements {
	e := namedElements{value: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		name := list.Index(i).FieldByName("Name").String()
		e.names = append(e.names, name)
		e.value[name] = list.Index(i)
	}
	return e
}

func (d *differ) diffStrings(path string, a, b []string) {
	for _, s := range a {
		if !slices.Contains(b, s) {
			d.add(Removed, path, s, "")
		}
	}
	for _, s := range b {
		if !slices.Contains(a, s) {
			d.add(Added, path, "", s)
		}
	}
	d.diffOrder(path, a, b)
}

// diffOrder adds a change if the elements common to both lists are in a
// different order.
func (d *differ) diffOrder(path string, a, b []string) {
	before, after := intersect(a, b), intersect(b, a)
	if !slices.Equal(before, after) {
		d.add(Changed, path, strings.Join(before, ", "), strings.Join(after, ", "))
	}
}

func intersect(list, other []string) []string {
	in := make(map[string]bool, len(other))
	for _, s := range other {
		in[s] = true
	}
	var out []string
	for _, s := range list {
		if in[s] {
			out = append(out, s)
		}
	}
	return out
}

// formatValue returns a value as compact JSON, strings without quotes.
func formatValue(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return v.String()
	}
	if d, ok := v.Interface().(Duration); ok {
		return time.Duration(d).String()
	}
	out, err := json.Marshal(v.Interface())
	if err != nil { // NaN or infinity in a document that was not validated
		return fmt.Sprint(v.Interface())
	}
	return string(out)
}
