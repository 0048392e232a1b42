package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
)

// Part identifies a part of a prompt that many requests may share, such as a system prompt, by the
// ID that clients give it. It is the same for all callers, models and services.
type Part string

// maxPartBytes is the length from which a part is named by a hash of its ID, so that evidence fits
// into a packet.
const maxPartBytes = 20

// partKey separates the fingerprints of parts from those of requests.
const partKey = "chervilloom prompt part fingerprint 1"

// Parts returns the parts with the given IDs.
func Parts(ids []string) []Part {
	if len(ids) == 0 {
		return nil
	}
	parts := make([]Part, len(ids))
	for i, id := range ids {
		if len(id) > maxPartBytes {
			id = "#" + string(Part(id).Fingerprint())
		}
		parts[i] = Part(id)
	}
	return parts
}

// Fingerprint returns the fingerprint under which a verdict on the part is kept.
func (p Part) Fingerprint() Fingerprint {
	h := hmac.New(sha256.New, []byte(partKey))
	_, _ = h.Write([]byte(p)) // a hash write never fails
	return Fingerprint(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// PartRun is a part of a request that was running at an endpoint that crashed.
type PartRun struct {
	Part  Part `json:"i"`
	Depth int  `json:"d,omitempty"` // number of parts before it in the prompt
	PartSuccesses
}

// PartSuccesses are the successful runs of requests with a part at a node.
type PartSuccesses struct {
	Runs  int   `json:"s,omitempty"` // recent ones
	AgeMs int64 `json:"t,omitempty"` // time since the latest of them, in ms
}
