// Package swquarantine keeps requests that crash backend servers from reaching more of them. It weighs evidence of
// crashes by fingerprint, spreads it to all VMs, and decides which requests run freely, which try one shard first, and
// which are refused.
package swquarantine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies the canonical body of a request: its kind, its index, and its query texts with runs of white
// space made one space. Caller, limits, timeouts and identifiers do not count.
func Fingerprint(kind, index string, query ...string) uint64 {
	digest := xxhash.New()
	write(digest, kind)
	write(digest, index)
	for _, text := range query {
		write(digest, strings.Join(strings.Fields(text), " "))
	}
	return digest.Sum64()
}

// write adds a text and its length, so that texts do not run into each other. Writes to a digest do not fail.
func write(digest *xxhash.Digest, text string) {
	var length [20]byte
	_, _ = digest.Write(strconv.AppendInt(length[:0], int64(len(text)), 10))
	_, _ = digest.WriteString(":")
	_, _ = digest.WriteString(text)
}

// Format writes a fingerprint as sixteen hexadecimal digits, the form that rules and status use.
func FormatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}
