// Package swauthority implements the certificate authority that issues the certificates by which the VMs of a system
// authenticate each other.
package swauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"math/big"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// Certificates are valid whatever a VM's clock shows. Trust depends on read access to the stored authority and not on a
// date.
var (
	validFrom  = time.Unix(0, 0)
	validUntil = time.Date(9999, time.January, 1, 0, 0, 0, 0, time.UTC)
)

// Authority signs certificates. Construct it with New or Decode.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "sycamorewall authority"},
		NotBefore: validFrom, NotAfter: validUntil,
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	certificate, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// storedAuthority is the encoded form of an Authority.
type storedAuthority struct {
	// Certificate is in DER form, and Key in PKCS #8.
	Certificate []byte
	Key         []byte
}

// Encode returns the authority including its private key. Anyone who can read it can join the system.
func (authority *Authority) Encode() ([]byte, error) {
	key, err := x509.MarshalPKCS8PrivateKey(authority.key)
	if err != nil {
		return nil, errors.Wrap(err, "encode key of authority")
	}
	value, err := json.Marshal(storedAuthority{Certificate: authority.certificate.Raw, Key: key})
	return value, errors.Wrap(err, "encode authority")
}

// Decode decodes an authority that Encode returned.
func Decode(value []byte) (*Authority, error) {
	var stored storedAuthority
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Wrap(err, "decode authority")
	}
	certificate, err := x509.ParseCertificate(stored.Certificate)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of authority")
	}
	key, err := x509.ParsePKCS8PrivateKey(stored.Key)
	if err != nil {
		return nil, errors.Wrap(err, "parse key of authority")
	}
	private, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("key of authority is a %T, want *ecdsa.PrivateKey", key)
	}
	return &Authority{certificate: certificate, key: private}, nil
}

// Equal reports whether both are the same authority.
func (authority *Authority) Equal(other *Authority) bool {
	return authority.certificate.Equal(other.certificate)
}

// Certificate returns the authority's own certificate.
func (authority *Authority) Certificate() *x509.Certificate {
	return authority.certificate
}

// Issue returns a new key and certificate for a VM.
func (authority *Authority) Issue(name string) (tls.Certificate, error) {
	key, err := newKey()
	if err != nil {
		return tls.Certificate{}, err
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		return tls.Certificate{}, errors.Wrap(err, "generate serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, DNSNames: []string{swpeer.ServerName},
		NotBefore: validFrom, NotAfter: validUntil,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	certificate, err := sign(template, authority.certificate, key, authority.key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key, Leaf: certificate}, nil
}

// TLS returns the configuration for connections between VMs, as client and as server, with a new certificate for the VM of
// that name.
func (authority *Authority) TLS(name string) (*tls.Config, error) {
	certificate, err := authority.Issue(name)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return swpeer.NewMutualTLS(certificate, pool), nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "generate key")
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (*x509.Certificate, error) {
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	certificate, err := x509.ParseCertificate(raw)
	return certificate, errors.Wrap(err, "parse certificate")
}
