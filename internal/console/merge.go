package console

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"chervilloom/internal/config"
)

// side selects whose value is used where two operators changed the same one.
type side string

const (
	sideMine   side = "mine"
	sideTheirs side = "theirs"
)

// mergeConflict is a value that both operators changed differently.
type mergeConflict struct {
	Path   string // as in config.Change
	Base   string
	Mine   string
	Theirs string
	Choice side // empty: unresolved
}

// mergeResult is the outcome of a three-way merge.
type mergeResult struct {
	Document *config.Document // complete only if no conflict is unresolved
	Clashes  []mergeConflict
}

// hasUnresolved reports whether a conflict is unresolved.
func (r *mergeResult) hasUnresolved() bool {
	return slices.ContainsFunc(r.Clashes, func(c mergeConflict) bool { return c.Choice == "" })
}

// merge applies the changes from base to own to current. List elements are
// matched by name, as in config.Diff. If both sides changed the same path,
// choice selects the side; without a choice the conflict stays unresolved.
func merge(base, own, current *config.Document, choice func(path string) side) mergeResult {
	m := &merger{choice: choice}
	out := &config.Document{}
	m.mergeStruct("", reflect.ValueOf(*base), reflect.ValueOf(*own), reflect.ValueOf(*current), reflect.ValueOf(out).Elem())
	return mergeResult{Document: out, Clashes: m.conflicts}
}

type merger struct {
	choice    func(path string) side
	conflicts []mergeConflict
}

func (m *merger) mergeStruct(path string, base, own, cur, out reflect.Value) {
	for i := range out.NumField() {
		key, _, _ := strings.Cut(out.Type().Field(i).Tag.Get("yaml"), ",")
		if path != "" {
			key = path + "." + key
		}
		m.mergeValue(key, base.Field(i), own.Field(i), cur.Field(i), out.Field(i))
	}
}

func (m *merger) mergeValue(path string, base, own, cur, out reflect.Value) {
	switch {
	case out.Kind() == reflect.Struct:
		m.mergeStruct(path, base, own, cur, out)
	case isNamedList(out.Type()):
		m.mergeNamedList(path, base, own, cur, out)
	default:
		out.Set(m.pickSide(path, base, own, cur))
	}
}

func isNamedList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// pickSide returns the value of the side that changed it, or of the chosen side
// if both did.
func (m *merger) pickSide(path string, base, own, cur reflect.Value) reflect.Value {
	switch {
	case isEqual(own, cur), isEqual(own, base):
		return cur
	case isEqual(cur, base):
		return own
	}
	c := mergeConflict{Path: path, Base: formatValue(base), Mine: formatValue(own), Theirs: formatValue(cur), Choice: m.choice(path)}
	m.conflicts = append(m.conflicts, c)
	if c.Choice == sideMine {
		return own
	}
	return cur
}

// isEqual compares two values. An absent element equals only another absent one,
// and a nil list equals an empty one.
func isEqual(a, b reflect.Value) bool {
	if !a.IsValid() || !b.IsValid() {
		return a.IsValid() == b.IsValid()
	}
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// mergeNamedList merges lists of structs with a Name field.
func (m *merger) mergeNamedList(path string, base, own, cur, out reflect.Value) {
	b, o, c := indexByName(base), indexByName(own), indexByName(cur)
	merged := reflect.MakeSlice(out.Type(), 0, cur.Len())
	for _, name := range m.mergeOrder(path, b.names, o.names, c.names) {
		at := fmt.Sprintf("%s[%s]", path, name)
		bv, ov, cv := b.byName[name], o.byName[name], c.byName[name]
		if bv.IsValid() && ov.IsValid() && cv.IsValid() {
			element := reflect.New(out.Type().Elem()).Elem()
			m.mergeStruct(at, bv, ov, cv, element)
			merged = reflect.Append(merged, element)
			continue
		}
		// One side added or removed the element: it is kept or dropped as a whole.
		if v := m.pickSide(at, bv, ov, cv); v.IsValid() {
			merged = reflect.Append(merged, v)
		}
	}
	if merged.Len() > 0 {
		out.Set(merged)
	}
}

type namedElements struct {
	names  []string
	byName map[string]reflect.Value
}

func indexByName(list reflect.Value) namedElements {
	e := namedElements{byName: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		name := list.Index(i).FieldByName("Name").String()
		e.names = append(e.names, name)
		e.byName[name] = list.Index(i)
	}
	return e
}

// mergeOrder returns every name of own and cur once, in the order of the side that
// reordered the list. If both did, it is a conflict like that of any other value.
func (m *merger) mergeOrder(path string, base, own, cur []string) []string {
	first, second := cur, own
	if isReordered(base, own) && isReordered(own, cur) {
		first, second = own, cur
		if isReordered(base, cur) {
			c := mergeConflict{
				Path: path, Base: strings.Join(base, ", "), Mine: strings.Join(own, ", "),
				Theirs: strings.Join(cur, ", "), Choice: m.choice(path),
			}
			m.conflicts = append(m.conflicts, c)
			if c.Choice != sideMine {
				first, second = cur, own
			}
		}
	}
	return interleave(first, second)
}

// isReordered reports whether a and b list their common names in different orders.
func isReordered(a, b []string) bool { return !slices.Equal(sharedNames(a, b), sharedNames(b, a)) }

func sharedNames(list, other []string) []string {
	var out []string
	for _, name := range list {
		if slices.Contains(other, name) {
			out = append(out, name)
		}
	}
	return out
}

// interleave returns first with the names that only second has inserted, each
// after its predecessor in second.
func interleave(first, second []string) []string {
	out := slices.Clone(first)
	for i, name := range second {
		if slices.Contains(out, name) {
			continue
		}
		at := 0
		if i > 0 {
			at = slices.Index(out, second[i-1]) + 1
		}
		out = slices.Insert(out, at, name)
	}
	return out
}

// formatValue returns a value as YAML for display.
func formatValue(v reflect.Value) string {
	if !v.IsValid() {
		return "(not there)"
	}
	out, err := yaml.Marshal(v.Interface())
	if err != nil { // not expected: values are strings, numbers, booleans and lists of them
		return fmt.Sprint(v.Interface())
	}
	return strings.TrimSpace(string(out))
}
