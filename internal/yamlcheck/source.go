package yamlcheck

import (
	"fmt"
	"strings"
)

// Position is a place in a document, counted from 1.
type Position struct{ Line, Column int }

// Source remembers where each value of a decoded document stands, and which
// values could not be decoded.
type Source struct {
	name      string
	positions map[string]Position
	broken    map[string]bool
}

func newSource(name string) *Source {
	return &Source{name: name, positions: make(map[string]Position), broken: make(map[string]bool)}
}

// unusable reports whether the value at path, or one around it, could not be
// decoded.
func (s *Source) unusable(path string) bool {
	for path != "" {
		if s.broken[path] {
			return true
		}
		path = parent(path)
	}
	return s.broken[""]
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

// Checker collects the faults that a decoded document still has. A fault of a
// value that could not be decoded is left out: the value is not what the author
// wrote.
type Checker struct {
	source   *Source
	problems Problems
}

// NewChecker returns a checker that starts with the problems of decoding.
// source is nil for a document that was not decoded from text.
func NewChecker(source *Source, decoding Problems) *Checker {
	return &Checker{source: source, problems: decoding}
}

// Addf reports that the value at path is wrong and says what to write instead.
func (c *Checker) Addf(path, remedy, format string, args ...any) {
	p := Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	if c.source != nil {
		if c.source.unusable(path) {
			return
		}
		if _, written := c.source.positions[path]; !written {
			p.Message += " (not written)"
		}
		at := c.source.At(path)
		p.File, p.Line, p.Column = c.source.name, at.Line, at.Column
	}
	c.problems = append(c.problems, p)
}

// Problems returns all faults by line.
func (c *Checker) Problems() Problems { return c.problems.Sorted() }
