package config

import (
	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"

	"chervilloom/internal/yamlcheck"
)

// Parse decodes and validates a configuration document. name is the file name
// used in problems. The error is yamlcheck.Problems, with the line of every
// problem.
func Parse(name string, data []byte) (*Document, error) {
	d := &Document{}
	source, problems := yamlcheck.Decode(name, data, d)
	c := checker{yamlcheck.NewChecker(source, problems)}
	c.checkDocument(d)
	if err := c.Problems().Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate checks a document that was not parsed from text. The error is
// yamlcheck.Problems without lines.
func (d *Document) Validate() error {
	c := checker{yamlcheck.NewChecker(nil, nil)}
	c.checkDocument(d)
	return c.Problems().Err()
}

// Marshal returns the canonical YAML form of the document: equal documents give
// equal bytes.
func Marshal(d *Document) ([]byte, error) { return yaml.Marshal(d) }

// Hash returns the xxHash64 of a document's bytes.
func Hash(document []byte) uint64 { return xxhash.Sum64(document) }
