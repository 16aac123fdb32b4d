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
	// tokenPrefix begins every issued key; a caller's own key begins otherwise.
	tokenPrefix = "swk1-"
	// macSize is the size of a key's authentication code in bytes.
	macSize = 16
	// maxNameSize is the size of the longest name of an issuer in bytes.
	maxNameSize = 64
	// MaxKeySize is the size of the longest key in bytes, issued or of the caller's own.
	MaxKeySize = 255
	// secretSize is the size of an issuer's secret in bytes.
	secretSize = 32
)

// Issuer identifies one start of one VM's process.
type Issuer struct {
	Name string
	// Incarnation differs between any two starts under one name, and stays the same while the process lives.
	Incarnation uint64
}

// Token is a decoded key.
type Token struct {
	Issuer   Issuer
	Sequence uint64
	// Expires is the issuer's clock time from which no run begins under the key.
	Expires time.Duration
}

// IsIssued reports whether a key has the form of issued keys, as opposed to a caller's own.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, tokenPrefix)
}

// Encode returns the key of the token, authenticated by the issuer's secret.
func (token Token) Encode(secret []byte) string {
	var storage [MaxKeySize]byte
	data := token.appendFields(storage[:0])
	data = append(data, authenticate(secret, data)...)
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(data)
}

func (token Token) appendFields(data []byte) []byte {
	data = binary.BigEndian.AppendUint64(data, token.Issuer.Incarnation)
	data = binary.AppendUvarint(data, token.Sequence)
	data = binary.AppendUvarint(data, uint64(token.Expires/time.Millisecond))
	return append(data, token.Issuer.Name...)
}

func authenticate(secret, data []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(data)
	return mac.Sum(nil)[:macSize]
}

// ParseToken decodes an issued key without authenticating it, which only the issuer can. The error is a *swcode.Error of
// code KeyInvalid.
func ParseToken(key string) (Token, error) {
	fields, _, err := split(key)
	if err != nil {
		return Token{}, err
	}
	if len(fields) < 8 {
		return Token{}, invalidKey("it is too short")
	}
	token := Token{Issuer: Issuer{Incarnation: binary.BigEndian.Uint64(fields)}}
	fields = fields[8:]
	sequence, size := binary.Uvarint(fields)
	if size <= 0 {
		return Token{}, invalidKey("its sequence number is damaged")
	}
	fields = fields[size:]
	expires, size := binary.Uvarint(fields)
	if size <= 0 || expires > uint64(1<<63-1)/uint64(time.Millisecond) {
		return Token{}, invalidKey("its expiry is damaged")
	}
	name := fields[size:]
	if len(name) == 0 || len(name) > maxNameSize {
		return Token{}, invalidKey("its issuer's name is damaged")
	}
	token.Sequence = sequence
	token.Expires = time.Duration(expires) * time.Millisecond
	token.Issuer.Name = string(name)
	return token, nil
}

// split separates a key's fields from its authentication code.
func split(key string) (fields, mac []byte, err error) {
	if len(key) > MaxKeySize || !IsIssued(key) || strings.ContainsAny(key, "\r\n") {
		return nil, nil, invalidKey("it has not the form of an issued key")
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(key[len(tokenPrefix):])
	if err != nil {
		return nil, nil, invalidKey("it is not base64url")
	}
	if len(data) < macSize {
		return nil, nil, invalidKey("it is too short")
	}
	return data[:len(data)-macSize], data[len(data)-macSize:], nil
}

// verify reports whether the key was authenticated with the secret.
func verify(key string, secret []byte) bool {
	fields, mac, err := split(key)
	if err != nil {
		return false
	}
	return hmac.Equal(mac, authenticate(secret, fields))
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
