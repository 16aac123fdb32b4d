package swmember

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Topics of records.
const (
	// TopicMember holds the state of the members; the key is the member's name.
	TopicMember = "Member"
	// TopicDocument announces the version of a platform object that is in force on some VM; the key is Kind/Name.
	TopicDocument = "Document"
	// TopicQuarantine holds the evidence against a request fingerprint; the key is the fingerprint.
	TopicQuarantine = "Quarantine"
	// TopicDraining announces that a backend server accepts no new work; the key is the server.
	TopicDraining = "Draining"
	// TopicSuccessor names the VM that took over the keys of a VM that left; the key is the issuer's Name/Incarnation, the
	// value the successor's name.
	TopicSuccessor = "Successor"
)

const (
	// maxKeySize bounds the topic and the key of a record, in bytes.
	maxKeySize = 256
	// maxValueSize bounds the value of a record, in bytes.
	maxValueSize = 2 << 10
	// recordOverhead approximates the encoded size of a record beyond topic, key and value, in bytes.
	recordOverhead = 24
)

// Record is a versioned value that gossip replicates to every VM. Of two records with the same topic and key, the one with
// the higher version wins; of equal versions, the one whose value is lexicographically greater.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Topic   string
	Key     string
	Version uint64
	Value   []byte
	// Expires is the remaining lifetime of the record; zero means that it does not expire.
	Expires time.Duration
}

// Supersedes reports whether record replaces other, which has the same topic and key.
func (record *Record) Supersedes(other *Record) bool {
	if record.Version != other.Version {
		return record.Version > other.Version
	}
	return bytes.Compare(record.Value, other.Value) > 0
}

// valid reports whether the record is within the size bounds.
func (record *Record) valid() bool {
	return record.Topic != "" && len(record.Topic) <= maxKeySize &&
		record.Key != "" && len(record.Key) <= maxKeySize &&
		len(record.Value) <= maxValueSize && record.Expires >= 0
}

// size returns the approximate encoded size in bytes.
func (record *Record) size() int {
	return recordOverhead + len(record.Topic) + len(record.Key) + len(record.Value)
}

// id returns a hash of the topic and key.
func (record *Record) id() uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(record.Topic)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(record.Key)
	return digest.Sum64()
}

// sum returns a checksum of the topic, key, version and value. The expiry is left out because it differs between VMs.
func (record *Record) sum() uint64 {
	digest := xxhash.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], record.id())
	binary.BigEndian.PutUint64(numbers[8:], record.Version)
	_, _ = digest.Write(numbers[:])
	_, _ = digest.Write(record.Value)
	return digest.Sum64()
}
