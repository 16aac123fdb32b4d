package swlabfleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

const (
	// certificateLife is how long certificates are valid.
	certificateLife = 24 * time.Hour
	// peerName is the DNS name in the certificate of every VM.
	peerName = "sycamorewall"
	// privateMode is the mode of key files.
	privateMode = 0o600
)

// authority issues the certificates of VMs into a directory.
type authority struct {
	directory   string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(directory string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key of CA")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "lab"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLife),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "make certificate of CA")
	}
	certificate, err := x509.ParseCertificate(data)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate of CA")
	}
	made := &authority{directory: directory, key: key, certificate: certificate, serial: 1}
	return made, made.write("ca.pem", "CERTIFICATE", data)
}

func (authority *authority) path(name string) string {
	return filepath.Join(authority.directory, name)
}

func (authority *authority) write(name, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return errors.Wrapf(os.WriteFile(authority.path(name), text, privateMode), "write %s", name)
}

// issue writes a certificate and key for a VM and returns the settings that name them.
func (authority *authority) issue(vm string) (swsetting.TLS, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return swsetting.TLS{}, errors.Wrap(err, "make key")
	}
	authority.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(authority.serial), Subject: pkix.Name{CommonName: vm}, DNSNames: []string{peerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateLife),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return swsetting.TLS{}, errors.Wrap(err, "make certificate")
	}
	keyData, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return swsetting.TLS{}, errors.Wrap(err, "encode key")
	}
	if err := authority.write(vm+".pem", "CERTIFICATE", data); err != nil {
		return swsetting.TLS{}, err
	}
	if err := authority.write(vm+"-key.pem", "PRIVATE KEY", keyData); err != nil {
		return swsetting.TLS{}, err
	}
	return swsetting.TLS{
		Certificate: authority.path(vm + ".pem"), Key: authority.path(vm + "-key.pem"), CA: authority.path("ca.pem"),
	}, nil
}
