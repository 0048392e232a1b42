package yamlcheck

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the maximum size of a document in bytes.
const MaxSize = 1 << 20

// Decode decodes the single YAML or JSON document in data into out, a pointer
// to a struct whose fields have yaml tags. It reports every unknown key, every
// duplicate key and every value of the wrong type. The other values are set
// nevertheless, so that a Checker can validate them as well.
//
// The library's own strict decoder stops at the first error. Therefore the
// library only parses the text, and the values are set here.
func Decode(name string, data []byte, out any) (*Source, Problems) {
	d := &decoder{source: newSource(name)}
	d.source.positions[""] = Position{Line: 1, Column: 1}
	if root := d.parse(data); root != nil {
		d.decodeValue("", root, reflect.ValueOf(out).Elem())
	}
	return d.source, d.problems.Sorted()
}

type decoder struct {
	source   *Source
	problems Problems
}

// parse returns the root of the only document in data, or nil after it has
// reported a problem.
func (d *decoder) parse(data []byte) ast.Node {
	if len(data) > MaxSize {
		d.addProblem("", Position{1, 1}, fmt.Sprintf("write at most %d bytes", MaxSize), "the document has %d bytes", len(data))
		return nil
	}
	// Documents are stored as JSON and CBOR, which replace or reject such
	// bytes, so that a document read back would differ from the validated one.
	if at, ok := invalidUTF8(data); !ok {
		d.addProblem("", at, "save the file as UTF-8", "a byte that is not UTF-8")
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	var counter structureCounter
	for _, tk := range tokens {
		if message, remedy := counter.exceededLimit(tk); message != "" {
			d.addProblem("", Position{tk.Position.Line, tk.Position.Column}, remedy, "%s", message)
			return nil
		}
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 1:
		return bodies[0]
	case 0:
		d.addProblem("", Position{1, 1}, "write at least the required keys", "the document is empty")
	default:
		d.addProblem("", nodePosition(bodies[1]), "write one document and no \"---\" after it", "the file holds more than one document")
	}
	return nil
}

// invalidUTF8 returns the position of the first byte that is not valid UTF-8;
// ok is true if there is none.
func invalidUTF8(data []byte) (at Position, ok bool) {
	at = Position{1, 1}
	for len(data) > 0 {
		r, size := utf8.DecodeRune(data)
		if r == utf8.RuneError && size == 1 {
			return at, false
		}
		at.Column++
		if r == '\n' {
			at = Position{at.Line + 1, 1}
		}
		data = data[size:]
	}
	return at, true
}

func (d *decoder) addSyntaxError(err error) {
	at, message := Position{1, 1}, err.Error()
	var se *yaml.SyntaxError
	if errors.As(err, &se) {
		message = se.Message
		if se.Token != nil && se.Token.Position != nil {
			at = Position{se.Token.Position.Line, se.Token.Position.Column}
		}
	}
	d.addProblem("", at, "write valid YAML", "not valid YAML: %s", message)
}

// addProblem reports a problem and marks the value as broken, which excludes it
// from the checks of a Checker.
func (d *decoder) addProblem(path string, at Position, remedy, format string, args ...any) {
	d.source.broken[path] = true
	d.problems = append(d.problems, Problem{
		File: d.source.name, Line: at.Line, Column: at.Column,
		Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// nodePosition returns the position at which a node begins. The token of a
// block mapping is its first colon, so the position of its first key is used
// instead.
func nodePosition(n ast.Node) Position {
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return Position{}
	}
	p := n.GetToken().Position
	return Position{p.Line, p.Column}
}

// decodeValue sets v from n, or reports a problem.
func (d *decoder) decodeValue(path string, n ast.Node, v reflect.Value) {
	at := nodePosition(n)
	if at.Line == 0 {
		at = d.source.At(path)
	}
	d.source.positions[path] = at
	switch n.(type) {
	case *ast.CommentGroupNode:
		d.addProblem(path, at, "write the value", "there is only a comment")
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.addProblem(path, at, "write the value itself", "anchors, aliases and tags are not read")
		return
	case *ast.NullNode:
		d.addProblem(path, at, "write a value or leave the key out", "the value is missing")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, n, at, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeMapping(path, n, at, v)
	case reflect.Slice:
		d.decodeSequence(path, n, at, v)
	default:
		d.decodeScalar(path, n, at, v)
	}
}

func (d *decoder) decodeText(path string, n ast.Node, at Position, u encoding.TextUnmarshaler) {
	s, ok := stringOf(n)
	if !ok {
		d.addProblem(path, at, "write text such as "+exampleOf(u), "%s where text is expected", kindOf(n))
		return
	}
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.addProblem(path, at, "write text such as "+exampleOf(u), "%q cannot be read: %v", s, err)
	}
}

// Exampler is implemented by text types that provide an example of their
// format.
type Exampler interface{ Example() string }

func exampleOf(u encoding.TextUnmarshaler) string {
	switch e := u.(type) {
	case Exampler:
		return e.Example()
	case *netip.Addr:
		return "10.0.0.1"
	case *netip.AddrPort:
		return "10.0.0.1:8080"
	}
	panic("yamlcheck: no example for " + reflect.TypeOf(u).String())
}

func (d *decoder) decodeMapping(path string, n ast.Node, at Position, v reflect.Value) {
	m, ok := n.(*ast.MappingNode)
	if !ok {
		d.addProblem(path, at, "write keys and values: "+listKeys(keysOf(v.Type())), "%s where a mapping is expected", kindOf(n))
		return
	}
	o := object{path: path, value: v, keys: keysOf(v.Type()), written: make(map[string]Position, len(m.Values))}
	for _, pair := range m.Values {
		d.decodePair(&o, pair)
	}
	for _, key := range o.suggested {
		if _, ok := o.written[key]; !ok {
			d.source.broken[Key(path, key)] = true
		}
	}
}

// object is the state of decoding one mapping.
type object struct {
	path    string
	value   reflect.Value       // destination struct
	keys    []string            // keys of the fields by index; empty for a field without one
	written map[string]Position // position of each key that is present
	// suggested are the keys suggested instead of unknown ones. If such a key
	// is absent, its value counts as broken and not as missing.
	suggested []string
}

func (d *decoder) decodePair(o *object, pair *ast.MappingValueNode) {
	at := nodePosition(pair.Key)
	key, ok := stringOf(pair.Key)
	if !ok {
		d.addProblem(Key(o.path, "?"), at, "write one of "+listKeys(o.keys), "a key that is not text")
		return
	}
	path := Key(o.path, key)
	if first, isDuplicate := o.written[key]; isDuplicate {
		d.addProblem(path, at, "leave one of them out", "the key was written before, at line %d", first.Line)
		return
	}
	field := slices.Index(o.keys, key)
	if field < 0 || key == "" {
		remedy := "write one of " + listKeys(o.keys) + " instead or leave it out"
		if meant := nearestKey(key, o.keys); meant != "" {
			remedy = "write \"" + meant + "\" instead"
			o.suggested = append(o.suggested, meant)
		}
		d.addProblem(path, at, remedy, "unknown key %q", key)
		return
	}
	o.written[key] = at
	d.source.positions[path] = at
	d.decodeValue(path, pair.Value, o.value.Field(field))
}

func (d *decoder) decodeSequence(path string, n ast.Node, at Position, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(path, at, "write a list, each element on a line that starts with \"- \"", "%s where a list is expected", kindOf(n))
		return
	}
	out := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		d.decodeValue(Index(path, i), e, out.Index(i))
	}
	v.Set(out)
}

func (d *decoder) decodeScalar(path string, n ast.Node, at Position, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		s, ok := stringOf(n)
		if !ok {
			d.addProblem(path, at, "write text, in quotes when it looks like a number", "%s where text is expected", kindOf(n))
			return
		}
		v.SetString(s)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.addProblem(path, at, "write true or false", "%s where true or false is expected", kindOf(n))
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64:
		i, ok := intOf(n)
		if !ok || v.OverflowInt(i) {
			d.addProblem(path, at, "write a whole number", "%s where a whole number is expected", kindOf(n))
			return
		}
		v.SetInt(i)
	case reflect.Float64:
		f, ok := floatOf(n)
		if !ok {
			d.addProblem(path, at, "write a number", "%s where a number is expected", kindOf(n))
			return
		}
		v.SetFloat(f)
	default:
		// A field of an unsupported kind is a programming error, which the
		// first test that decodes such a document detects.
		panic("yamlcheck: no rule for " + v.Type().String())
	}
}

// stringOf returns the value of a scalar that YAML parses as a string.
func stringOf(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	}
	return "", false
}

func intOf(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch x := i.Value.(type) {
	case int64:
		return x, true
	case uint64:
		return int64(x), x <= math.MaxInt64
	}
	return 0, false
}

func floatOf(n ast.Node) (float64, bool) {
	if f, ok := n.(*ast.FloatNode); ok {
		return f.Value, !math.IsInf(f.Value, 0) && !math.IsNaN(f.Value)
	}
	i, ok := intOf(n)
	return float64(i), ok
}

// kindOf describes the kind of value in the document, for problem messages.
func kindOf(n ast.Node) string {
	switch x := n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.BoolNode:
		return fmt.Sprintf("the truth value %v", x.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "the number " + n.GetToken().Value
	case *ast.StringNode:
		return fmt.Sprintf("the text %q", x.Value)
	case *ast.LiteralNode:
		return "a block of text"
	}
	return "something else"
}

// keyOf returns the key of a field, or "" if the field is not part of the
// document.
func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if key == "-" {
		return ""
	}
	return key
}

// keysOf returns the keys of the struct's fields, indexed by field.
func keysOf(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = keyOf(t.Field(i))
	}
	return keys
}

func listKeys(keys []string) string {
	written := slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return k == "" })
	return strings.Join(written, ", ")
}
