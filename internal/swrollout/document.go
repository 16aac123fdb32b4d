package swrollout

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	// MaxValue is the largest value of a document in bytes.
	MaxDocumentSize = 1 << 20
	// maxDocuments bounds the documents that a store holds.
	maxDocuments = 1024
)

// Refusals of Store.Offer.
var (
	// ErrUnknownKind means that no check is registered for the document's kind.
	ErrUnknownKind = errors.New("unknown kind of document")
	// ErrTooLarge means that the value exceeds MaxValue.
	ErrTooLarge = errors.New("document too large")
	// ErrTooMany means that the store holds as many documents as it may.
	ErrTooMany = errors.New("too many documents")
	// ErrInvalid means that the check of the document's kind failed. The last good version stays in force.
	ErrInvalid = errors.New("invalid document")
)

// Document is one version of a platform object.
type Document struct {
	Kind string
	Name string
	// Version counts the writes of the object; a higher one replaces a lower one.
	Version uint64
	Value   []byte
}

// Key returns Kind/Name.
func (document *Document) Key() string {
	return document.Kind + "/" + document.Name
}

// announcement returns the record that tells other VMs of the document.
func (document *Document) announcement() swmember.Record {
	return swmember.Record{
		Topic:   swmember.TopicDocument,
		Key:     document.Key(),
		Version: document.Version,
		Value:   binary.BigEndian.AppendUint64(nil, xxhash.Sum64(document.Value)),
	}
}

// splitKey returns the kind and name that Key joined.
func splitKey(key string) (kind, name string, ok bool) {
	return strings.Cut(key, "/")
}

// Rejection tells why a version was not put in force.
type Rejection struct {
	Version uint64
	Reason  string
	At      time.Time
}

// DocumentStatus tells what is in force of one document, and what is not.
type DocumentStatus struct {
	Kind string
	Name string
	// Version is the version in force, or zero.
	Version uint64
	// Since is when it came into force on this VM.
	Since time.Time
	// Announced is the highest version that any VM is known to have in force.
	Announced uint64
	// Rejected is the last version that was not put in force, if it is higher than the one in force.
	Rejected *Rejection
}
