package peer

import (
	"crypto/x509"
	"encoding/pem"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"chervilloom/internal/fleet"
)

// writePEM writes the PEM blocks to a temporary file and returns its path.
func writePEM(t *testing.T, name, kind string, der ...[]byte) string {
	t.Helper()
	var out []byte
	for _, b := range der {
		out = append(out, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b})...)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, out, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// identityFromIssuedFiles issues a certificate with the CA derived from the secret, writes
// it to files and loads it with IdentityFromFiles.
func identityFromIssuedFiles(t *testing.T, vm fleet.VM, secret []byte) (Identity, error) {
	t.Helper()
	ca, caKey, err := deriveCA(secret)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := issueCert(vm, ca, caKey)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	return IdentityFromFiles(
		writePEM(t, "cert.pem", "CERTIFICATE", cert.Certificate[0]),
		writePEM(t, "key.pem", "PRIVATE KEY", key),
		writePEM(t, "ca.pem", "CERTIFICATE", ca.Raw),
	)
}

// Nodes with a certificate from files and from a secret must accept each other if
// both were issued by the same CA.
func TestIdentityFromFiles(t *testing.T) {
	is := is.New(t)
	id, err := identityFromIssuedFiles(t, "b", testSecret)
	is.NoErr(err)
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) { o.Identity = id })
	exchangeAddrs(a, b)
	for from, to := range map[*Mesh]*Mesh{a: b, b: a} {
		_, err := from.Call(testContext(t), to.opts.Self.VM, "none", nil)
		var failed *CallError
		is.True(errors.As(err, &failed))
	}
	_, err = identityFromIssuedFiles(t, "", testSecret)
	is.True(err != nil) // no common name
}

// The secret is rotated node by node: first all nodes accept both secrets, then
// they switch to the new one. Two nodes must accept each other at every step.
func TestSecretRotation(t *testing.T) {
	is := is.New(t)
	old, fresh := testSecret, []byte("the next secret of these tests")
	identity := func(vm fleet.VM, secret []byte, accepted ...[]byte) Identity {
		id, err := IdentityFromSecret(vm, secret, accepted...)
		is.NoErr(err)
		return id
	}
	for _, step := range [][2]Identity{
		{identity("a", old, fresh), identity("b", old)},
		{identity("a", fresh, old), identity("b", old, fresh)},
		{identity("a", fresh), identity("b", fresh, old)},
	} {
		a := startMesh(t, "a", func(o *Options) { o.Identity = step[0] })
		b := startMesh(t, "b", func(o *Options) { o.Identity = step[1] })
		exchangeAddrs(a, b)
		for from, to := range map[*Mesh]*Mesh{a: b, b: a} {
			_, err := from.Call(testContext(t), to.opts.Self.VM, "none", nil)
			var failed *CallError
			if !errors.As(err, &failed) {
				t.Fatalf("%s rejects %s: %v", to.opts.Self, from.opts.Self, err)
			}
		}
	}
}

func TestInvalidIdentities(t *testing.T) {
	is := is.New(t)
	_, err := IdentityFromSecret("a", []byte("too short"))
	is.True(err != nil)
	_, err = IdentityFromSecret("", testSecret)
	is.True(err != nil)
	_, err = IdentityFromFiles("none", "none", "none")
	is.True(err != nil)
	id, err := IdentityFromSecret("a", testSecret)
	is.NoErr(err)
	o := Options{Listen: "127.0.0.1:0", Identity: id}
	o.Self.VM = "b"
	_, err = New(o)
	is.True(err != nil) // the certificate is for another VM
}

// The back-off must stay within its bounds and reach the maximum, so that a dead
// peer is dialled rarely and a restarted one soon.
func TestBackOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wait time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			wait = backOff(wait, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			if wait < backOffBase || wait > backOffMax {
				t.Fatal("back-off out of bounds: ", wait)
			}
		}
	})
	var wait time.Duration
	for range 10 {
		wait = backOff(wait, 0.999)
	}
	is.New(t).True(wait > backOffMax*9/10)
}
