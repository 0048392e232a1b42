// Package yamlcheck decodes YAML documents strictly and reports all errors of a
// document at once, each with its position and a remedy.
package yamlcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	File    string `json:"file,omitempty"`   // file name of the document; empty if it was not read from a file
	Line    int    `json:"line,omitempty"`   // from 1; 0: not known
	Column  int    `json:"column,omitempty"` // from 1; 0: not known
	Path    string `json:"path,omitempty"`   // such as "organisations[0].weight"; empty: the whole document
	Message string `json:"message"`          // what is wrong
	Remedy  string `json:"remedy"`           // what to write instead
}

// Error returns "file:line:column: path: message; remedy", without the parts
// that are empty.
func (p *Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		b.WriteByte(':')
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Path != "" {
		b.WriteString(p.Path)
		b.WriteString(": ")
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		b.WriteString("; ")
		b.WriteString(p.Remedy)
	}
	return b.String()
}

// Problems are all errors of one document and implement error.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i := range ps {
		lines[i] = ps[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil if ps is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Sorted returns a copy of the problems ordered by line, column and path.
func (ps Problems) Sorted() Problems {
	out := slices.Clone(ps)
	slices.SortStableFunc(out, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
	return out
}
