package console

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"chervilloom/internal/config"
)

// side says whose value stands where two operators changed the same one.
type side string

const (
	mine   side = "mine"
	theirs side = "theirs"
)

// clash is a value that both operators changed, each in another way.
type clash struct {
	Path   string // as in config.Change
	Base   string
	Mine   string
	Theirs string
	Choice side // empty: not decided
}

// mergeResult is the outcome of a three-way merge.
type mergeResult struct {
	Document *config.Document // complete only when no clash is open
	Clashes  []clash
}

// open reports whether a clash is not decided.
func (r *mergeResult) open() bool {
	return slices.ContainsFunc(r.Clashes, func(c clash) bool { return c.Choice == "" })
}

// merge applies what changed from base to own onto current. Elements of lists
// are matched by name as config.Diff does. Where both changed the same path the
// choice for that path decides; without one the clash stays open.
func merge(base, own, current *config.Document, choice func(path string) side) mergeResult {
	m := &merger{choice: choice}
	out := &config.Document{}
	m.structs("", reflect.ValueOf(*base), reflect.ValueOf(*own), reflect.ValueOf(*current), reflect.ValueOf(out).Elem())
	return mergeResult{Document: out, Clashes: m.clashes}
}

type merger struct {
	choice  func(path string) side
	clashes []clash
}

func (m *merger) structs(path string, base, own, cur, out reflect.Value) {
	for i := range out.NumField() {
		key, _, _ := strings.Cut(out.Type().Field(i).Tag.Get("yaml"), ",")
		if path != "" {
			key = path + "." + key
		}
		m.values(key, base.Field(i), own.Field(i), cur.Field(i), out.Field(i))
	}
}

func (m *merger) values(path string, base, own, cur, out reflect.Value) {
	switch {
	case out.Kind() == reflect.Struct:
		m.structs(path, base, own, cur, out)
	case isNamedList(out.Type()):
		m.named(path, base, own, cur, out)
	default:
		out.Set(m.pick(path, base, own, cur))
	}
}

func isNamedList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// pick returns the side that changed the value; when both did, the chosen one.
func (m *merger) pick(path string, base, own, cur reflect.Value) reflect.Value {
	switch {
	case same(own, cur), same(own, base):
		return cur
	case same(cur, base):
		return own
	}
	c := clash{Path: path, Base: text(base), Mine: text(own), Theirs: text(cur), Choice: m.choice(path)}
	m.clashes = append(m.clashes, c)
	if c.Choice == mine {
		return own
	}
	return cur
}

// same treats an absent element as equal to nothing but another absent one, and
// a nil list as equal to an empty one.
func same(a, b reflect.Value) bool {
	if !a.IsValid() || !b.IsValid() {
		return a.IsValid() == b.IsValid()
	}
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

// named merges lists of structs that have a Name.
func (m *merger) named(path string, base, own, cur, out reflect.Value) {
	b, o, c := index(base), index(own), index(cur)
	merged := reflect.MakeSlice(out.Type(), 0, cur.Len())
	for _, name := range m.order(path, b.names, o.names, c.names) {
		at := fmt.Sprintf("%s[%s]", path, name)
		bv, ov, cv := b.byName[name], o.byName[name], c.byName[name]
		if bv.IsValid() && ov.IsValid() && cv.IsValid() {
			element := reflect.New(out.Type().Elem()).Elem()
			m.structs(at, bv, ov, cv, element)
			merged = reflect.Append(merged, element)
			continue
		}
		// One side added or removed the element: it is taken or left whole.
		if v := m.pick(at, bv, ov, cv); v.IsValid() {
			merged = reflect.Append(merged, v)
		}
	}
	if merged.Len() > 0 {
		out.Set(merged)
	}
}

type elements struct {
	names  []string
	byName map[string]reflect.Value
}

func index(list reflect.Value) elements {
	e := elements{byName: make(map[string]reflect.Value, list.Len())}
	for i := range list.Len() {
		name := list.Index(i).FieldByName("Name").String()
		e.names = append(e.names, name)
		e.byName[name] = list.Index(i)
	}
	return e
}

// order returns every name of own and cur once. The order is that of the side
// which changed it; when both did, it is decided like any other value.
func (m *merger) order(path string, base, own, cur []string) []string {
	first, second := cur, own
	if reordered(base, own) && reordered(own, cur) {
		first, second = own, cur
		if reordered(base, cur) {
			c := clash{
				Path: path, Base: strings.Join(base, ", "), Mine: strings.Join(own, ", "),
				Theirs: strings.Join(cur, ", "), Choice: m.choice(path),
			}
			m.clashes = append(m.clashes, c)
			if c.Choice != mine {
				first, second = cur, own
			}
		}
	}
	return interleave(first, second)
}

// reordered reports whether the names that a and b share stand in another order.
func reordered(a, b []string) bool { return !slices.Equal(shared(a, b), shared(b, a)) }

func shared(list, other []string) []string {
	var out []string
	for _, name := range list {
		if slices.Contains(other, name) {
			out = append(out, name)
		}
	}
	return out
}

// interleave returns first with the names that only second holds, each behind
// the name that it follows there.
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

// text returns a value for a person.
func text(v reflect.Value) string {
	if !v.IsValid() {
		return "(not there)"
	}
	out, err := yaml.Marshal(v.Interface())
	if err != nil { // documents hold texts, numbers and lists of them
		return fmt.Sprint(v.Interface())
	}
	return strings.TrimSpace(string(out))
}
