// Package quarantine keeps requests that end the endpoints that run them away from
// further endpoints. Such a request comes again under another id, at any node; it is
// known by its fingerprint. Nodes tell each other with which requests an endpoint
// ended, a tally finds the one that all ends have in common, and from then on every
// node refuses it for a time.
package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// Fingerprint names a request wherever it comes: the same caller, method, host, target
// and body give the same one. It is empty for a request that is not known by one.
type Fingerprint string

// fingerprintBytes is the length before the encoding, in bytes: among the requests of a
// year, 4,200 a second, two have the same one with a chance of 1e-7.
const fingerprintBytes = 12

// fingerprintKey sets the fingerprints apart from other hashes of the same bytes. It is
// no secret: every node must come to the same fingerprint, also after a restart.
const fingerprintKey = "chervilloom request fingerprint 1"

// Of returns the fingerprint of a request. The body is the whole one, as it is sent to
// endpoints: both ways to serve hold it in memory up to the limit that is configured.
func Of(caller, method, host, target string, body []byte) Fingerprint {
	h := hmac.New(sha256.New, []byte(fingerprintKey))
	for _, part := range []string{caller, method, host, target} {
		// The length keeps "ab"+"c" apart from "a"+"bc".
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part)))) // a hash never fails
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Fingerprint(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// ParseFingerprint reads a fingerprint as logs and other nodes write it.
func ParseFingerprint(s string) (Fingerprint, error) {
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(raw) != fingerprintBytes {
		return "", fmt.Errorf("quarantine: %q is no fingerprint; copy it from a log line", s)
	}
	return Fingerprint(s), nil
}
