package yamlcheck

import (
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Limits of a document's structure. The parser's run time grows with the square
// of the depth, of the number of empty values and of the number of tags: half a
// megabyte of "[" or of empty keys occupies it for minutes.
const (
	maxDepth = 32
	maxItems = 20_000 // total of keys and list elements
	maxTags  = 100    // total of anchors, aliases and tags, which are all rejected anyway
)

// structureCounter counts, token by token, the constructs that make the parser
// slow.
type structureCounter struct {
	line, lineDepth int // each "- " and "? " on one line opens a level
	flowDepth       int
	items, tags     int
}

// exceededLimit counts tk and returns the problem if a limit is exceeded, or
// empty strings.
func (s *structureCounter) exceededLimit(tk *token.Token) (message, remedy string) {
	if tk.Position.Line != s.line {
		s.line, s.lineDepth = tk.Position.Line, 0
	}
	switch tk.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flowDepth++
	case token.SequenceEndType, token.MappingEndType:
		s.flowDepth--
	case token.SequenceEntryType, token.MappingKeyType:
		s.lineDepth++
		s.items++
	case token.MappingValueType, token.CollectEntryType:
		s.items++
	case token.AnchorType, token.AliasType, token.TagType:
		s.tags++
	}
	switch {
	case s.flowDepth > maxDepth || s.lineDepth > maxDepth:
		return "lists and mappings are nested too deeply", fmt.Sprintf("write at most %d levels", maxDepth)
	case s.items > maxItems:
		return "there are too many keys and list elements", fmt.Sprintf("write at most %d", maxItems)
	case s.tags > maxTags:
		return "anchors, aliases and tags are not read", "write the values themselves"
	}
	return "", ""
}
