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

// writePEM writes the blocks to a file and returns its path.
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

// identityOfFiles makes a certificate of the secret's CA and reads it back.
func identityOfFiles(t *testing.T, vm fleet.VM, secret []byte) (Identity, error) {
	t.Helper()
	ca, caKey, err := deriveCA(secret)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := issue(vm, ca, caKey)
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

// Certificates from files and from a secret meet when their CA is the same.
func TestIdentityFromFiles(t *testing.T) {
	is := is.New(t)
	id, err := identityOfFiles(t, "b", testSecret)
	is.NoErr(err)
	a := startMesh(t, "a", nil)
	b := startMesh(t, "b", func(o *Options) { o.Identity = id })
	introduce(a, b)
	for from, to := range map[*Mesh]*Mesh{a: b, b: a} {
		_, err := from.Call(testContext(t), to.opts.Self.VM, "none", nil)
		var failed *CallError
		is.True(errors.As(err, &failed))
	}
	_, err = identityOfFiles(t, "", testSecret)
	is.True(err != nil) // names no VM
}

// A secret is replaced node by node: first all accept both, then they sign with
// the new one. At no step may two nodes refuse each other.
func TestSecretIsReplaced(t *testing.T) {
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
		introduce(a, b)
		for from, to := range map[*Mesh]*Mesh{a: b, b: a} {
			_, err := from.Call(testContext(t), to.opts.Self.VM, "none", nil)
			var failed *CallError
			if !errors.As(err, &failed) {
				t.Fatalf("%s refuses %s: %v", to.opts.Self, from.opts.Self, err)
			}
		}
	}
}

func TestUnusableIdentities(t *testing.T) {
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
	is.True(err != nil) // the certificate names another VM
}

// Waits stay within their bounds and can reach the greatest one, so a dead peer
// is dialled seldom and a living one soon.
func TestBackOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wait time.Duration
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			wait = backOff(wait, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			if wait < backOffBase || wait > backOffMax {
				t.Fatal("out of bounds: ", wait)
			}
		}
	})
	var wait time.Duration
	for range 10 {
		wait = backOff(wait, 0.999)
	}
	is.New(t).True(wait > backOffMax*9/10)
}
