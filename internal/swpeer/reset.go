package swpeer

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"

	"github.com/quic-go/quic-go"
)

// resetLabel separates this use of the private key from others.
const resetLabel = "sycamorewall stateless reset"

// resetKey derives the key of stateless resets from the VM's private key, so that a process that starts again under the
// same address and key can tell peers at once that their connections to the earlier one are over. It returns nil where
// the key cannot be encoded.
func resetKey(config *tls.Config) *quic.StatelessResetKey {
	if len(config.Certificates) == 0 {
		return nil
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(config.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	code := hmac.New(sha256.New, encoded)
	code.Write([]byte(resetLabel))
	return (*quic.StatelessResetKey)(code.Sum(nil))
}
