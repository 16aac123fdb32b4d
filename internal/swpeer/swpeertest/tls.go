// Package swpeertest creates certificates for tests of the transport between VMs.
package swpeertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// Authority is a CA that issues certificates for the VMs of a test.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns a CA with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := template("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	return &Authority{certificate: sign(t, template, template, key, key), key: key}
}

// TLS returns the mutual TLS configuration of a VM with the given name.
func (authority *Authority) TLS(t testing.TB, name string) *tls.Config {
	t.Helper()
	key := newKey(t)
	certificate := sign(t, template(name), authority.certificate, key, authority.key)
	pool := x509.NewCertPool()
	pool.AddCert(authority.certificate)
	return swpeer.NewMutualTLS(tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}, pool)
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{"sycamorewall"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t testing.TB, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}
