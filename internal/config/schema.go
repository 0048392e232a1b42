package config

import _ "embed"

// Schema is the JSON Schema of the configuration document, for editors and
// forms. It checks less than Parse does, which also checks references between
// the parts of a document. It is generated from the types by "go test -update".
//
//go:embed schema.json
var Schema []byte
