// Package swquarantine protects backend servers from requests that crash them. It collects evidence of crashes by
// request fingerprint, shares it with all VMs, and decides which requests run unrestricted, which run at one shard
// first as a canary, and which are refused.
package swquarantine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash of the canonical form of a request: its kind, its index and its query texts, with each run
// of white space replaced by one space. The caller, limits, timeouts and identifiers are not part of it.
func Fingerprint(kind, index string, query ...string) uint64 {
	digest := xxhash.New()
	writeText(digest, kind)
	writeText(digest, index)
	for _, text := range query {
		writeText(digest, strings.Join(strings.Fields(text), " "))
	}
	return digest.Sum64()
}

// writeText writes a text with its length as prefix, so that adjacent texts stay distinct. Writes to a digest do not fail.
func writeText(digest *xxhash.Digest, text string) {
	var length [20]byte
	_, _ = digest.Write(strconv.AppendInt(length[:0], int64(len(text)), 10))
	_, _ = digest.WriteString(":")
	_, _ = digest.WriteString(text)
}

// FormatFingerprint formats a fingerprint as sixteen hexadecimal digits, as rules and the status do.
func FormatFingerprint(fingerprint uint64) string {
	return fmt.Sprintf("%016x", fingerprint)
}
