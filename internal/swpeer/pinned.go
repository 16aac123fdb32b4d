package swpeer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// Key identifies the private key of a VM's process: the SHA-256 of its public key.
type Key [sha256.Size]byte

// ErrUntrusted means that the other end's key belongs to no VM that is known.
var ErrUntrusted = errors.New("the key of the peer belongs to no known VM")

// SelfSigned makes a key and a certificate for a process under the name of its VM. They are never stored; peers trust the
// key that the VM publishes.
func SelfSigned(name string) (tls.Certificate, Key, error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, Key{}, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{peerServerName},
		// The time of day may be wrong by any amount; the published key alone decides.
		NotBefore:   time.Unix(0, 0),
		NotAfter:    time.Date(9999, time.January, 1, 0, 0, 0, 0, time.UTC),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		return tls.Certificate{}, Key{}, errors.Wrap(err, "make certificate")
	}
	parsed, err := x509.ParseCertificate(raw)
	if err != nil {
		return tls.Certificate{}, Key{}, errors.Wrap(err, "parse certificate")
	}
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: private, Leaf: parsed}, keyOf(parsed), nil
}

func keyOf(certificate *x509.Certificate) Key {
	return sha256.Sum256(certificate.RawSubjectPublicKeyInfo)
}

// PinnedTLS returns the TLS configuration for both ends in which a peer is who its key says. trusts tells whether a name and
// key belong to a known VM.
func PinnedTLS(certificate tls.Certificate, trusts func(name string, key Key) bool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		NextProtos:   []string{protocol},
		ServerName:   peerServerName,
		// The chain means nothing here: certificates sign themselves, and VerifyConnection checks the key.
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			if len(state.PeerCertificates) == 0 {
				return ErrUntrusted
			}
			peer := state.PeerCertificates[0]
			if !trusts(peer.Subject.CommonName, keyOf(peer)) {
				return errors.Wrap(ErrUntrusted, peer.Subject.CommonName)
			}
			return nil
		},
	}
}

// IsUntrusted reports whether a call failed because one end does not know the other's key.
func IsUntrusted(err error) bool {
	if errors.Is(err, ErrUntrusted) {
		return true
	}
	var transport *quic.TransportError
	return errors.As(err, &transport) && transport.ErrorCode == badCertificate
}

// badCertificate is the QUIC error of a TLS alert "bad certificate", which VerifyConnection leads to at the other end.
const badCertificate quic.TransportErrorCode = 0x100 + 42
