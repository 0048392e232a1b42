package yamlcheck

import (
	"fmt"
	"strings"
)

// Position is a place in a document, counted from 1.
type Position struct{ Line, Column int }

// Source remembers where each value of a decoded document stands.
type Source struct {
	name      string
	positions map[string]Position
}

func newSource(name string) *Source {
	return &Source{name: name, positions: make(map[string]Position)}
}

// At returns the place of the value at path. A value that was not written has
// the place of the nearest value around it.
func (s *Source) At(path string) Position {
	for {
		if at, ok := s.positions[path]; ok {
			return at
		}
		if path == "" {
			return Position{}
		}
		path = parent(path)
	}
}

// parent returns the path of the value that holds the one at path.
func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Key returns the path of the value under key in the mapping at path.
func Key(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Index returns the path of element i of the sequence at path.
func Index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

// Checker collects the faults that a decoded document still has. A fault at a
// path that could not be decoded is left out: the value it speaks of is not
// what the author wrote.
type Checker struct {
	source   *Source
	broken   map[string]bool
	problems Problems
}

// NewChecker returns a checker that starts with the problems of decoding.
// source is nil for a document that was not decoded from text.
func NewChecker(source *Source, decoding Problems) *Checker {
	c := &Checker{source: source, broken: make(map[string]bool), problems: decoding}
	for i := range decoding {
		c.broken[decoding[i].Path] = true
	}
	return c
}

// Addf reports that the value at path is wrong and says what to write instead.
func (c *Checker) Addf(path, remedy, format string, args ...any) {
	if c.broken[path] {
		return
	}
	p := Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	if c.source != nil {
		at := c.source.At(path)
		p.File, p.Line, p.Column = c.source.name, at.Line, at.Column
	}
	c.problems = append(c.problems, p)
}

// Problems returns all faults by line.
func (c *Checker) Problems() Problems { return c.problems.Sorted() }
