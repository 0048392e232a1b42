package config

import (
	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"

	"chervilloom/internal/yamlcheck"
)

// Parse reads and checks a configuration document. name stands for the file in
// the problems. The error is yamlcheck.Problems: every fault with its line.
func Parse(name string, data []byte) (*Document, error) {
	d := &Document{}
	source, problems := yamlcheck.Decode(name, data, d)
	c := checker{yamlcheck.NewChecker(source, problems)}
	c.document(d)
	if err := c.Problems().Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate checks a document that was not read from text. The error is
// yamlcheck.Problems without lines.
func (d *Document) Validate() error {
	c := checker{yamlcheck.NewChecker(nil, nil)}
	c.document(d)
	return c.Problems().Err()
}

// Marshal writes the document as YAML. Two documents that are equal give the
// same bytes: the canonical form.
func Marshal(d *Document) ([]byte, error) { return yaml.Marshal(d) }

// Hash returns the xxHash64 of a document's bytes.
func Hash(document []byte) uint64 { return xxhash.Sum64(document) }
