package swpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/quic-go/quic-go"
)

// resetKeyLabel separates the derived key from keys that are derived from the private key for other purposes.
const resetKeyLabel = "sycamorewall stateless reset"

// resetKey derives the QUIC stateless reset key from the VM's private key. A restarted process with the same address and private
// key has the same reset key, so it can reset the connections that peers had to the previous process, and they don't wait for a
// timeout. It returns nil if there is no certificate or its private key can't be encoded.
func resetKey(config *tls.Config) *quic.StatelessResetKey {
	if len(config.Certificates) == 0 {
		return nil
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(config.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	mac := hmac.New(sha256.New, encoded)
	mac.Write([]byte(resetKeyLabel))
	return (*quic.StatelessResetKey)(mac.Sum(nil))
}
