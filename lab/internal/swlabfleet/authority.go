package swlabfleet

import (
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swauthority"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// privateFileMode is the mode of files that only their owner may read.
const privateFileMode = 0o600

// authority is a certificate authority that writes the certificates of VMs into a directory.
type authority struct {
	directory string
	*swauthority.Authority
}

func newAuthority(directory string) (*authority, error) {
	ca, err := swauthority.New()
	if err != nil {
		return nil, err
	}
	authority := &authority{directory: directory, Authority: ca}
	return authority, authority.write("ca.pem", "CERTIFICATE", ca.Certificate().Raw)
}

func (authority *authority) path(name string) string {
	return filepath.Join(authority.directory, name)
}

func (authority *authority) write(name, kind string, data []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	return errors.Wrapf(os.WriteFile(authority.path(name), text, privateFileMode), "write %s", name)
}

// issue writes a certificate and a key for a VM, and returns the TLS settings with their paths.
func (authority *authority) issue(vm string) (swsetting.TLS, error) {
	certificate, err := authority.Issue(vm)
	if err != nil {
		return swsetting.TLS{}, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return swsetting.TLS{}, errors.Wrap(err, "encode key")
	}
	if err := authority.write(vm+".pem", "CERTIFICATE", certificate.Certificate[0]); err != nil {
		return swsetting.TLS{}, err
	}
	if err := authority.write(vm+"-key.pem", "PRIVATE KEY", key); err != nil {
		return swsetting.TLS{}, err
	}
	return swsetting.TLS{
		Certificate: authority.path(vm + ".pem"), Key: authority.path(vm + "-key.pem"), CA: authority.path("ca.pem"),
	}, nil
}
