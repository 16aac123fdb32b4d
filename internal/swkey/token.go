package swkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

const (
	// tokenPrefix is the prefix of every issued key. Keys without it were chosen by callers.
	tokenPrefix = "swk1-"
	// macSize is the size of a key's message authentication code, in bytes.
	macSize = 16
	// maxNameSize bounds an issuer's name, in bytes.
	maxNameSize = 64
	// MaxKeySize bounds a key, issued or chosen by the caller, in bytes.
	MaxKeySize = 255
	// secretSize is the size of an issuer's secret, in bytes.
	secretSize = 32
)

// Issuer identifies one start of one VM's process.
type Issuer struct {
	Name string
	// Incarnation differs between any two starts under one name, and stays the same until the process ends.
	Incarnation uint64
}

// Token is a decoded issued key.
type Token struct {
	Issuer   Issuer
	Sequence uint64
	// Expires is the time on the issuer's clock from which no run begins under the key.
	Expires time.Duration
}

// IsIssued reports whether a key has the prefix of issued keys, as opposed to a key that a caller chose.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, tokenPrefix)
}

// Encode returns the token as a key, authenticated with the issuer's secret.
func (token Token) Encode(secret []byte) string {
	var storage [MaxKeySize]byte
	data := token.appendFields(storage[:0])
	data = append(data, computeMAC(secret, data)...)
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(data)
}

func (token Token) appendFields(data []byte) []byte {
	data = binary.BigEndian.AppendUint64(data, token.Issuer.Incarnation)
	data = binary.AppendUvarint(data, token.Sequence)
	data = binary.AppendUvarint(data, uint64(token.Expires/time.Millisecond))
	return append(data, token.Issuer.Name...)
}

func computeMAC(secret, data []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(data)
	return mac.Sum(nil)[:macSize]
}

// ParseToken decodes an issued key. It does not verify the key, which requires the issuer's secret. The error is a
// *swcode.Error with code KeyInvalid.
func ParseToken(key string) (Token, error) {
	fields, _, err := splitKey(key)
	if err != nil {
		return Token{}, err
	}
	if len(fields) < 8 {
		return Token{}, invalidKey("the key is too short")
	}
	token := Token{Issuer: Issuer{Incarnation: binary.BigEndian.Uint64(fields)}}
	fields = fields[8:]
	sequence, size := binary.Uvarint(fields)
	if size <= 0 {
		return Token{}, invalidKey("the key's sequence number is malformed")
	}
	fields = fields[size:]
	expires, size := binary.Uvarint(fields)
	if size <= 0 || expires > uint64(1<<63-1)/uint64(time.Millisecond) {
		return Token{}, invalidKey("the key's expiry is malformed")
	}
	name := fields[size:]
	if len(name) == 0 || len(name) > maxNameSize {
		return Token{}, invalidKey("the key's issuer name is malformed")
	}
	token.Sequence = sequence
	token.Expires = time.Duration(expires) * time.Millisecond
	token.Issuer.Name = string(name)
	return token, nil
}

// splitKey decodes a key and separates its fields from its message authentication code.
func splitKey(key string) (fields, mac []byte, err error) {
	if len(key) > MaxKeySize || !IsIssued(key) || strings.ContainsAny(key, "\r\n") {
		return nil, nil, invalidKey("the key does not have the form of an issued key")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(key[len(tokenPrefix):])
	if err != nil {
		return nil, nil, invalidKey("the key is not base64url")
	}
	if len(data) < macSize {
		return nil, nil, invalidKey("the key is too short")
	}
	return data[:len(data)-macSize], data[len(data)-macSize:], nil
}

// verify reports whether the key was authenticated with the secret.
func verify(key string, secret []byte) bool {
	fields, mac, err := splitKey(key)
	if err != nil {
		return false
	}
	return hmac.Equal(mac, computeMAC(secret, fields))
}

func invalidKey(message string) *swcode.Error {
	return &swcode.Error{
		Code:    swcode.KeyInvalid,
		Ran:     swcode.RanNo,
		Field:   "Key",
		Message: message,
		Fix:     "take a new key from POST /v1/keys",
	}
}
