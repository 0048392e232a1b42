package identify

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"chervilloom/internal/config"
	"chervilloom/internal/outcome"
)

// Keys maps the SHA-256 of a key to its organisation.
type Keys map[[sha256.Size]byte]*config.Organisation

// keyTable contains the Keys of one configuration document.
type keyTable struct {
	doc  *config.Document
	keys Keys
}

func newKeyTable(doc *config.Document) *keyTable {
	return &keyTable{doc: doc, keys: NewKeys(doc)}
}

// NewKeys returns the keys of the document. Invalid hashes are omitted, because
// no key matches them.
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

const bearerPrefix = "Bearer "

// authorise returns the organisation whose key the header contains. The
// duration of the lookup depends only on the hash of the presented key, which
// reveals nothing about other keys.
func authorise(h http.Header, keys Keys) (*config.Organisation, *outcome.Error) {
	v := h.Get("Authorization")
	if len(v) <= len(bearerPrefix) || !strings.EqualFold(v[:len(bearerPrefix)], bearerPrefix) {
		return nil, refuse(outcome.Unauthorised, "the request carries no key",
			`send the organisation's key in the header "Authorization: Bearer KEY"`)
	}
	org := keys[sha256.Sum256([]byte(v[len(bearerPrefix):]))]
	if org == nil {
		return nil, refuse(outcome.Unauthorised, "the key is not known",
			"check the key; a new one is in force seconds after the configuration was accepted")
	}
	return org, nil
}
