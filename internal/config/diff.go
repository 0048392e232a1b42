package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Op says how a value changed.
type Op string

// The ways a value changes.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Op   Op     `json:"op"`
	Path string `json:"path"` // such as "organisations[clinic].weight"; list elements go by name
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch c.Op {
	case Added:
		return fmt.Sprintf("%s: added %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("%s: removed %s", c.Path, c.Old)
	}
	return fmt.Sprintf("%s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns what changes from a to b in the order of the document's fields.
// Elements of lists are matched by name, elements of lists of text by value; a
// mere change of order is a change too. A nil document counts as empty.
func Diff(a, b *Document) []Change {
	if a == nil {
		a = &Document{}
	}
	if b == nil {
		b = &Document{}
	}
	d := &differ{}
	d.structs("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(op Op, path, before, after string) {
	d.changes = append(d.changes, Change{Op: op, Path: path, Old: before, New: after})
}

func (d *differ) structs(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		key, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		if path != "" {
			key = path + "." + key
		}
		d.values(key, a.Field(i), b.Field(i))
	}
}

func (d *differ) values(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.structs(path, a, b)
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
		d.named(path, a, b)
	case a.Kind() == reflect.Slice:
		d.texts(path, a.Interface().([]string), b.Interface().([]string))
	case !a.Equal(b):
		d.add(Changed, path, show(a), show(b))
	}
}

// named compares lists of structs that have a Name.
func (d *differ) named(path string, a, b reflect.Value) {
	old, next := index(a), index(b)
	for _, name := range old.names {
		at := fmt.Sprintf("%s[%s]", path, name)
		if v, ok := next.value[name]; ok {
			d.structs(at, old.value[name], v)
		} else {
			d.add(Removed, at, show(old.value[name]), "")
		}
	}
	for _, name := range next.names {
		if _, ok := old.value[name]; !ok {
			d.add(Added, fmt.Sprintf("%s[%s]", path, name), "", show(next.value[name]))
		}
	}
	d.order(path, old.names, next.names)
}

type elements struct {
	names []string
	value map[string]reflect.Value
}

func index(list reflect.Value) elements {
	e := elements{value: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		name := list.Index(i).FieldByName("Name").String()
		e.names = append(e.names, name)
		e.value[name] = list.Index(i)
	}
	return e
}

func (d *differ) texts(path string, a, b []string) {
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
	d.order(path, a, b)
}

// order reports that the elements which both lists hold stand in another order.
func (d *differ) order(path string, a, b []string) {
	before, after := common(a, b), common(b, a)
	if !slices.Equal(before, after) {
		d.add(Changed, path, strings.Join(before, ", "), strings.Join(after, ", "))
	}
}

func common(list, other []string) []string {
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

// show returns a value as compact JSON, without the quotes of plain text.
func show(v reflect.Value) string {
	if v.Kind() == reflect.String {
		return v.String()
	}
	if d, ok := v.Interface().(Duration); ok {
		return time.Duration(d).String()
	}
	out, err := json.Marshal(v.Interface())
	if err != nil { // a number that JSON cannot write, in a document that was not checked
		return fmt.Sprint(v.Interface())
	}
	return string(out)
}
