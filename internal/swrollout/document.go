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
	// MaxDocumentSize bounds the value of a document, in bytes.
	MaxDocumentSize = 1 << 20
	// maxDocuments bounds the documents that a store holds.
	maxDocuments = 1024
)

// Errors of Store.Apply.
var (
	// ErrUnknownKind means that the document's kind is not registered.
	ErrUnknownKind = errors.New("unknown kind of document")
	// ErrTooLarge means that the value exceeds MaxDocumentSize.
	ErrTooLarge = errors.New("document too large")
	// ErrTooMany means that the store holds the maximum number of documents.
	ErrTooMany = errors.New("too many documents")
	// ErrInvalid means that the validation of the document's kind failed. The last valid version stays in force.
	ErrInvalid = errors.New("invalid document")
)

// Document is one version of a platform object.
type Document struct {
	Kind string
	Name string
	// Version counts the writes of the object; a higher version replaces a lower one.
	Version uint64
	Value   []byte
}

// Key returns Kind/Name.
func (document *Document) Key() string {
	return document.Kind + "/" + document.Name
}

// announcement returns the record that announces the document to other VMs. Its value is a hash of the document's value.
func (document *Document) announcement() swmember.Record {
	return swmember.Record{
		Topic:   swmember.TopicDocument,
		Key:     document.Key(),
		Version: document.Version,
		Value:   binary.BigEndian.AppendUint64(nil, xxhash.Sum64(document.Value)),
	}
}

// splitKey splits a Key into kind and name.
func splitKey(key string) (kind, name string, ok bool) {
	return strings.Cut(key, "/")
}

// Rejection records why a version was not put in force.
type Rejection struct {
	Version uint64
	Reason  string
	At      time.Time
}

// DocumentStatus is the status of one document on this VM.
type DocumentStatus struct {
	Kind string
	Name string
	// Version is the version in force; it is zero when there is none.
	Version uint64
	// Since is when that version came into force on this VM.
	Since time.Time
	// Announced is the highest version that any VM is known to have in force.
	Announced uint64
	// Rejected is the highest version that was rejected, if it is higher than the one in force.
	Rejected *Rejection
}
