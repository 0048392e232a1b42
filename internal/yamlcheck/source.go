package yamlcheck

import (
	"fmt"
	"strings"
)

// Position is a line and column in a document, counted from 1.
type Position struct{ Line, Column int }

// Source contains the position of each value of a decoded document, and the
// values that could not be decoded.
type Source struct {
	name      string
	positions map[string]Position
	broken    map[string]bool
}

func newSource(name string) *Source {
	return &Source{name: name, positions: make(map[string]Position), broken: make(map[string]bool)}
}

// isUnusable reports whether the value at path, or a value that contains it,
// could not be decoded.
func (s *Source) isUnusable(path string) bool {
	for path != "" {
		if s.broken[path] {
			return true
		}
		path = parentPath(path)
	}
	return s.broken[""]
}

// At returns the position of the value at path. The position of an absent value
// is that of the innermost value around it.
func (s *Source) At(path string) Position {
	for {
		if at, ok := s.positions[path]; ok {
			return at
		}
		if path == "" {
			return Position{}
		}
		path = parentPath(path)
	}
}

// parentPath returns the path of the value that contains the one at path.
func parentPath(path string) string {
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

// Checker collects the problems of a decoded document. Problems of values that
// could not be decoded are omitted, because such a value is not what the author
// wrote.
type Checker struct {
	source   *Source
	problems Problems
}

// NewChecker returns a checker with the problems found in decoding. source is
// nil for a document that was not decoded from text.
func NewChecker(source *Source, decoding Problems) *Checker {
	return &Checker{source: source, problems: decoding}
}

// Addf reports a problem with the value at path. remedy is what to write
// instead.
func (c *Checker) Addf(path, remedy, format string, args ...any) {
	p := Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	if c.source != nil {
		if c.source.isUnusable(path) {
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

// Problems returns all problems ordered by position.
func (c *Checker) Problems() Problems { return c.problems.Sorted() }
