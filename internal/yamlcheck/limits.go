package yamlcheck

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// The limits of a document's shape. The parser's time grows with the square of
// the depth, of the empty values and of the tags: half a megabyte of "[" or of
// empty keys holds it for minutes.
const (
	maxDepth = 32
	maxItems = 20_000 // keys and elements of lists together
	maxTags  = 100    // anchors, aliases and tags together; none is read
)

// shape counts what the parser is slow at, token by token.
type shape struct {
	line, inLine int // "- " and "? " on one line open a level each
	flow         int
	items, tags  int
}

// fault returns what is wrong once tk is counted, empty when nothing is.
func (s *shape) fault(tk *token.Token) (message, remedy string) {
	if tk.Position.Line != s.line {
		s.line, s.inLine = tk.Position.Line, 0
	}
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flow++
	case token.SequenceEndType, token.MappingEndType:
		s.flow--
	case token.SequenceEntryType, token.MappingKeyType:
		s.inLine++
		s.items++
	case token.MappingValueType, token.CollectEntryType:
		s.items++
	case token.AnchorType, token.AliasType, token.TagType:
		s.tags++
	}
	switch {
	case s.flow > maxDepth || s.inLine > maxDepth:
		return "lists and mappings are nested too deeply", fmt.Sprintf("write at most %d levels", maxDepth)
	case s.items > maxItems:
		return "there are too many keys and list elements", fmt.Sprintf("write at most %d", maxItems)
	case s.tags > maxTags:
		return "anchors, aliases and tags are not read", "write the values themselves"
	}
	return "", ""
}
