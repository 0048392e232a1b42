package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against fingerprints that differ between nodes or restarts, and against equal ones for
// requests with another caller, another target, a body that differs by a byte, or the same bytes
// divided differently over the parts.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	is := is.New(t)
	f := Of("org", "POST", "h.example", "/a/b?c", []byte("body"))
	is.Equal(f, Fingerprint("lqcb3JfcC1PBaU6w"))
	back, err := ParseFingerprint(string(f))
	is.NoErr(err)
	is.Equal(back, f)
	others := []Fingerprint{
		Of("other", "POST", "h.example", "/a/b?c", []byte("body")),
		Of("org", "PUT", "h.example", "/a/b?c", []byte("body")),
		Of("org", "POST", "i.example", "/a/b?c", []byte("body")),
		Of("org", "POST", "h.example", "/a/b?d", []byte("body")),
		Of("org", "POST", "h.example", "/a/b?c", []byte("bodz")),
		Of("org", "POST", "h.example", "/a/b?", []byte("cbody")),
		Of("org", "POST", "h.example/", "a/b?c", []byte("body")),
		Of("", "POST", "h.example", "/a/b?c", nil),
	}
	seen := map[Fingerprint]bool{f: true}
	for _, o := range others {
		is.True(!seen[o])
		seen[o] = true
	}
	for _, bad := range []string{"", "x", string(f) + "A", "????????????????"} {
		_, err := ParseFingerprint(bad)
		is.True(err != nil)
	}
}

// BenchmarkFingerprint hashes a body of 8 KiB, larger than the prompts at the users' sites.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 8<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		Of("org", "POST", "h.example", "/a/b", body)
	}
}
