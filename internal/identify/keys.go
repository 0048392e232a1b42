package identify

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"chervilloom/internal/config"
	"chervilloom/internal/outcome"
)

// Keys finds the organisation of a key by the key's SHA-256.
type Keys map[[sha256.Size]byte]*config.Organisation

// keyTable is the Keys of one configuration document.
type keyTable struct {
	doc  *config.Document
	keys Keys
}

func newKeyTable(doc *config.Document) *keyTable {
	return &keyTable{doc: doc, keys: NewKeys(doc)}
}

// NewKeys returns the keys of the document. A hash that is not one is left
// out: no key has it.
func NewKeys(doc *config.Document) Keys {
	keys := make(Keys)
	for i := range doc.Organisations {
		org := &doc.Organisations[i]
		for _, s := range org.KeyHashes {
			var h [sha256.Size]byte
			if n, err := hex.Decode(h[:], []byte(s)); err == nil && n == len(h) {
				keys[h] = org
			}
		}
	}
	return keys
}

const bearer = "Bearer "

// authorise looks the key's hash up. The time of the lookup depends on the
// hash alone, from which nothing can be told of other keys.
func authorise(h http.Header, keys Keys) (*config.Organisation, *outcome.Error) {
	v := h.Get("Authorization")
	if len(v) <= len(bearer) || !strings.EqualFold(v[:len(bearer)], bearer) {
		return nil, refuse(outcome.Unauthorised, "the request carries no key",
			`send the organisation's key in the header "Authorization: Bearer KEY"`)
	}
	org := keys[sha256.Sum256([]byte(v[len(bearer):]))]
	if org == nil {
		return nil, refuse(outcome.Unauthorised, "the key is not known",
			"check the key; a new one is in force seconds after the configuration was accepted")
	}
	return org, nil
}
