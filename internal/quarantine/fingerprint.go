// Package quarantine stops requests that crash the endpoints that run them from reaching further
// endpoints. Such a request returns under another ID, at any node, and is identified by its
// fingerprint. Nodes report to a few tallying nodes which requests a crashed endpoint was
// running; a tally finds the request that all these crashes have in common, and all nodes then
// refuse it for a time.
package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
)

// Fingerprint identifies a request across nodes and retries: the same caller, method, host,
// target and body give the same value. It is empty for a request that has none.
type Fingerprint string

// fingerprintBytes is the length before encoding, in bytes. Among the requests of a year at
// 4,200 a second, the probability of a collision is 1e-7.
const fingerprintBytes = 12

// fingerprintKey separates fingerprints from other hashes of the same bytes. It is not secret:
// every node must compute the same fingerprint, also after a restart.
const fingerprintKey = "chervilloom request fingerprint 1"

// Of returns the fingerprint of a request. body is the complete body as it is sent to endpoints, in any
// number of parts; both serving modes hold it in memory, up to the configured limit.
func Of(caller, method, host, target string, body ...[]byte) Fingerprint {
	h := hmac.New(sha256.New, []byte(fingerprintKey))
	for _, part := range []string{caller, method, host, target} {
		// The length prefix distinguishes "ab"+"c" from "a"+"bc".
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(part)))) // a hash write never fails
		_, _ = h.Write([]byte(part))
	}
	for _, part := range body {
		_, _ = h.Write(part)
	}
	return Fingerprint(base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// ParseFingerprint checks and returns a fingerprint in the form in which logs and messages
// contain it.
func ParseFingerprint(s string) (Fingerprint, error) {
	raw, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil || len(raw) != fingerprintBytes {
		return "", fmt.Errorf("quarantine: %q is not a fingerprint; copy it from a log line", s)
	}
	return Fingerprint(s), nil
}
