package config

import _ "embed"

// Schema is the JSON Schema of the configuration document, for editors and
// forms. It says less than Parse: references between the parts of a document
// are beyond it. It is generated from the types by "go test -update".
//
//go:embed schema.json
var Schema []byte
