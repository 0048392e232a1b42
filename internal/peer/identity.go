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

// MinSecretBytes is the least length of a deployment secret.
const MinSecretBytes = 16

const (
	caInfo    = "chervilloom peer ca v1"
	resetInfo = "chervilloom peer stateless reset v1 "
	caName    = "chervilloom peer CA"
)

// Identity is what a node shows its peers and what it accepts from them. The
// certificate's common name is the VM.
type Identity struct {
	vm    fleet.VM
	cert  tls.Certificate
	roots *x509.CertPool
	reset quic.StatelessResetKey
}

// VM returns the VM that the certificate names.
func (id Identity) VM() fleet.VM { return id.vm }

// IdentityFromSecret makes an ephemeral key and has it signed by the CA whose
// key follows from the deployment's secret: every holder of the secret can make
// and check certificates, nobody else can. Peers that hold one of the secrets
// in accepted are let in as well, which lets a secret be replaced without a
// moment in which nodes refuse each other.
func IdentityFromSecret(vm fleet.VM, secret []byte, accepted ...[]byte) (Identity, error) {
	if vm == "" {
		return Identity{}, errors.New("peer: the VM's name is empty; set it in the node's settings")
	}
	ca, caKey, err := deriveCA(secret)
	if err != nil {
		return Identity{}, err
	}
	cert, err := issue(vm, ca, caKey)
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
	reset, err := deriveReset(secret, vm)
	if err != nil {
		return Identity{}, err
	}
	return Identity{vm: vm, cert: cert, roots: roots, reset: reset}, nil
}

// IdentityFromFiles reads a PEM certificate with its key and the CA that signs
// the certificates of all nodes. The CA must sign for nothing else: whoever
// holds a certificate of it is a peer.
func IdentityFromFiles(certFile, keyFile, caFile string) (Identity, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return Identity{}, fmt.Errorf("peer: certificate and key can't be read; check the paths and that they belong together: %w", err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return Identity{}, fmt.Errorf("peer: CA can't be read; check its path: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return Identity{}, fmt.Errorf("peer: %s holds no PEM certificate; give the CA's certificate", caFile)
	}
	vm := fleet.VM(cert.Leaf.Subject.CommonName)
	if vm == "" {
		return Identity{}, fmt.Errorf("peer: %s has no common name; issue it with the VM's name", certFile)
	}
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return Identity{}, fmt.Errorf("peer: the key can't be encoded; use ed25519 or ECDSA: %w", err)
	}
	reset, err := deriveReset(key, vm)
	if err != nil {
		return Identity{}, err
	}
	return Identity{vm: vm, cert: cert, roots: roots, reset: reset}, nil
}

// deriveCA returns the CA that follows from the secret, the same on every node.
func deriveCA(secret []byte) (*x509.Certificate, ed25519.PrivateKey, error) {
	if len(secret) < MinSecretBytes {
		return nil, nil, fmt.Errorf("peer: the deployment secret has %d bytes; give at least %d random ones", len(secret), MinSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, caInfo, ed25519.SeedSize)
	if err != nil {
		return nil, nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	tmpl := template(caName)
	tmpl.IsCA, tmpl.BasicConstraintsValid = true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(der)
	return ca, key, err
}

func issue(vm fleet.VM, ca *x509.Certificate, caKey ed25519.PrivateKey) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	tmpl := template(string(vm))
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, public, caKey)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// template has a validity without practical end. Whoever can make a certificate
// can make another, so an end would protect nothing, and a VM whose wall clock
// is wrong would be shut out.
func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC),
		NotAfter:     time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
	}
}

// deriveReset returns the key by which a restarted node tells its peers that it
// knows their old connections no more. It differs by VM: with one key for all,
// anyone who sees a connection id could have another node make the reset token
// for it.
func deriveReset(secret []byte, vm fleet.VM) (quic.StatelessResetKey, error) {
	var k quic.StatelessResetKey
	b, err := hkdf.Key(sha256.New, secret, nil, resetInfo+string(vm), len(k))
	copy(k[:], b)
	return k, err
}

// serverTLS is for connections that peers dial.
func (id Identity) serverTLS() *tls.Config {
	c := id.baseTLS(lanes[:]...)
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

var errSameVM = errors.New("peer: the other process has this VM's name; give every VM its own, and leave this node's address out of its seeds")

// clientTLS is for a connection to the VM, or to any other when vm is empty.
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

// baseTLS leaves the check of names to VerifyConnection: a VM's name need not
// be a DNS name, and addresses are given by IP. verify checks the chain.
func (id Identity) baseTLS(protocols ...string) *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{id.cert},
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
	}
}

func (id Identity) verify(s tls.ConnectionState, use x509.ExtKeyUsage) (fleet.VM, error) {
	if len(s.PeerCertificates) == 0 {
		return "", errors.New("peer: the other side shows no certificate; give it the deployment's secret or a certificate")
	}
	leaf := s.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: id.roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{use},
	})
	if err != nil {
		return "", fmt.Errorf("peer: the certificate of %q is not of this deployment; give all nodes one secret or one CA: %w", leaf.Subject.CommonName, err)
	}
	return fleet.VM(leaf.Subject.CommonName), nil
}
