package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"math/big"
	"os"
	"time"

	"github.com/quic-go/quic-go"

	"chervilloom/internal/fleet"
)

// MinSecretBytes is the minimum length of a deployment secret.
const MinSecretBytes = 16

const (
	caInfo    = "chervilloom peer ca v1"
	resetInfo = "chervilloom peer stateless reset v1 "
	caName    = "chervilloom peer CA"
)

// Identity holds the certificate that a node presents to its peers and the CAs
// that it trusts. The certificate's common name is the name of the VM.
type Identity struct {
	vm       fleet.VM
	cert     tls.Certificate
	roots    *x509.CertPool
	resetKey quic.StatelessResetKey
}

// VM returns the VM named in the certificate.
func (id Identity) VM() fleet.VM { return id.vm }

// IdentityFromSecret generates an ephemeral key and a certificate signed by the
// CA whose key is derived from the deployment secret. Only holders of the secret
// can issue and verify certificates. Peers with a secret in accepted are trusted
// too, so that the secret can be rotated without nodes rejecting each other.
func IdentityFromSecret(vm fleet.VM, secret []byte, accepted ...[]byte) (Identity, error) {
	if vm == "" {
		return Identity{}, errors.New("peer: the VM name is empty; set it in the node's settings")
	}
	ca, caKey, err := deriveCA(secret)
	if err != nil {
		return Identity{}, err
	}
	cert, err := issueCert(vm, ca, caKey)
	if err != nil {
		return Identity{}, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(ca)
	for _, s := range accepted {
		other, _, err := deriveCA(s)
		if err != nil {
			return Identity{}, err
		}
		roots.AddCert(other)
	}
	reset, err := deriveResetKey(secret, vm)
	if err != nil {
		return Identity{}, err
	}
	return Identity{vm: vm, cert: cert, roots: roots, resetKey: reset}, nil
}

// IdentityFromFiles reads a PEM certificate, its key and the certificate of the
// CA that issues the certificates of all nodes. The CA must not be used for any
// other purpose: every holder of a certificate issued by it is a trusted peer.
func IdentityFromFiles(certFile, keyFile, caFile string) (Identity, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return Identity{}, fmt.Errorf("peer: cannot load the certificate and key; check the paths and that they match: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return Identity{}, fmt.Errorf("peer: cannot read the CA certificate; check its path: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return Identity{}, fmt.Errorf("peer: %s contains no PEM certificate; set the path of the CA certificate", caFile)
	}
	vm := fleet.VM(cert.Leaf.Subject.CommonName)
	if vm == "" {
		return Identity{}, fmt.Errorf("peer: the certificate in %s has no common name; issue it with the VM's name", certFile)
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return Identity{}, fmt.Errorf("peer: cannot encode the private key; use ed25519 or ECDSA: %w", err)
	}
	reset, err := deriveResetKey(key, vm)
	if err != nil {
		return Identity{}, err
	}
	return Identity{vm: vm, cert: cert, roots: roots, resetKey: reset}, nil
}

// deriveCA returns the CA certificate and key derived from the secret. The key
// is the same on every node.
func deriveCA(secret []byte) (*x509.Certificate, ed25519.PrivateKey, error) {
	if len(secret) < MinSecretBytes {
		return nil, nil, fmt.Errorf("peer: the deployment secret has %d bytes; use at least %d random bytes", len(secret), MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, caInfo, ed25519.SeedSize)
	if err != nil {
		return nil, nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	tmpl := certTemplate(caName)
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	return ca, key, err
}

func issueCert(vm fleet.VM, ca *x509.Certificate, caKey ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	tmpl := certTemplate(string(vm))
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, public, caKey)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// certTemplate returns a certificate template that is valid until 2200. A shorter
// validity would not improve security, since every node can issue itself a new
// certificate, and it would lock out a VM whose wall clock is wrong.
func certTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:     time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

// deriveResetKey returns the QUIC stateless reset key, with which a restarted node
// resets connections that it has no state for. The key differs per VM: with a
// shared key, anyone who observes a connection ID could make another node
// generate the reset token for it.
func deriveResetKey(secret []byte, vm fleet.VM) (quic.StatelessResetKey, error) {
	var k quic.StatelessResetKey
	b, err := hkdf.Key(sha256.New, secret, nil, resetInfo+string(vm), len(k))
	copy(k[:], b)
	return k, err
}

// serverTLS returns the TLS configuration of connections that peers dial.
func (id Identity) serverTLS() *tls.Config {
	c := id.baseTLS(protocols[:]...)
	c.ClientAuth = tls.RequireAnyClientCert
	c.VerifyConnection = func(s tls.ConnectionState) error {
		vm, err := id.verify(s, x509.ExtKeyUsageClientAuth)
		if err == nil && vm == id.vm {
			return errSameVM
		}
		return err
	}
	return c
}

var errSameVM = errors.New("peer: the other process uses the name of this VM; give every VM a unique name and remove this node's own address from its seeds")

// clientTLS returns the TLS configuration for dialling the VM. If to is empty,
// any VM of the deployment is accepted.
func (id Identity) clientTLS(to fleet.VM, protocol string) *tls.Config {
	c := id.baseTLS(protocol)
	c.VerifyConnection = func(s tls.ConnectionState) error {
		vm, err := id.verify(s, x509.ExtKeyUsageServerAuth)
		if err == nil && vm != to && to != "" {
			return fmt.Errorf("peer: VM %q answers at the address of %q; correct the address", vm, to)
		}
		return err
	}
	return c
}

// baseTLS disables the standard verification, which needs a DNS name or IP in the
// certificate: a VM name need not be a DNS name. VerifyConnection checks the
// name and calls verify, which checks the chain.
func (id Identity) baseTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{id.cert},
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
	}
}

func (id Identity) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) (fleet.VM, error) {
	if len(s.PeerCertificates) == 0 {
		return "", errors.New("peer: the other side presented no certificate; configure the deployment secret or a certificate there")
	}
	leaf := s.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: id.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return "", fmt.Errorf("peer: the certificate of %q was not issued by a trusted CA; configure the same secret or CA on all nodes: %w", leaf.Subject.CommonName, err)
	}
	return fleet.VM(leaf.Subject.CommonName), nil
}
