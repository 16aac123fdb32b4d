package swmember

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Topics of records.
const (
	// TopicMember holds the members; the key is the member's name.
	TopicMember = "Member"
	// TopicDocument announces the version of a platform object; the key is Kind/Name.
	TopicDocument = "Document"
	// TopicQuarantine spreads suspicion of a fingerprint; the key is the fingerprint.
	TopicQuarantine = "Quarantine"
	// TopicDraining spreads that a backend server takes no new work; the key is the server.
	TopicDraining = "Draining"
	// TopicSuccessor spreads which VM holds the keys of one that left; the key is the issuer's Name/Incarnation, the value
	// the successor's name.
	TopicSuccessor = "Successor"
)

const (
	// maxKey is the longest topic or key of a record in bytes.
	maxKey = 256
	// maxValue is the longest value of a record in bytes.
	maxValue = 2 << 10
	// recordOverhead is the size of a record beyond its texts, in bytes.
	recordOverhead = 24
)

// Record is one fact that gossip spreads to every VM. Of two records with the same topic and key the one with the
// higher version stands; of equal versions the one whose value is greater byte by byte.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Topic   string
	Key     string
	Version uint64
	Value   []byte
	// Expires is how much longer the record stands; zero is for ever.
	Expires time.Duration
}

// Supersedes reports whether record stands over other, which has the same topic and key.
func (record *Record) Supersedes(other *Record) bool {
	if record.Version != other.Version {
		return record.Version > other.Version
	}
	return bytes.Compare(record.Value, other.Value) > 0
}

// valid reports whether the record keeps to the bounds.
func (record *Record) valid() bool {
	return record.Topic != "" && len(record.Topic) <= maxKey &&
		record.Key != "" && len(record.Key) <= maxKey &&
		len(record.Value) <= maxValue && record.Expires >= 0
}

// size approximates the encoded size in bytes.
func (record *Record) size() int {
	return recordOverhead + len(record.Topic) + len(record.Key) + len(record.Value)
}

// id identifies the topic and key.
func (record *Record) id() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(record.Topic)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(record.Key)
	return digest.Sum64()
}

// sum identifies the whole content apart from the expiry.
func (record *Record) sum() uint64 {
	digest := xxhash.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], record.id())
	binary.BigEndian.PutUint64(numbers[8:], record.Version)
	_, _ = digest.Write(numbers[:])
	_, _ = digest.Write(record.Value)
	return digest.Sum64()
}
