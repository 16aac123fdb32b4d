// Package swedit edits the rules in the platform's store. Edits are conditional updates with IDs that make retries
// idempotent. A Tracker follows the rollout of a version to all data centres.
package swedit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// KindRules is the kind of the object that holds the rules.
	KindRules = "Rules"
	// NameMain is the name of the object that holds the rules.
	NameMain = "main"
	// MaxEdits bounds the edits that a Document records.
	MaxEdits = 32
	// editIDSize is the number of bytes in an edit ID, which is written in hexadecimal digits.
	editIDSize = 16
)

// Document is the value of the object that holds the rules.
type Document struct {
	// Text is the rule file.
	Text string
	// Edits holds the last MaxEdits edits, newest first.
	Edits []Edit
}

// Edit records an accepted change of the rules.
type Edit struct {
	ID string
	// By is the name of the operator.
	By string
	// At is the time of the operator's request, by the operator's clock.
	At time.Time
	// Base is the version that the operator edited, or zero if the edit created the object. The edit's own version is the next
	// one.
	Base uint64 `json:",omitempty"`
}

// DecodeDocument decodes the value of the rules object.
func DecodeDocument(value []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(value, &document); err != nil {
		return Document{}, errors.Wrap(err, "decode rules object")
	}
	return document, nil
}

// Encode encodes the document as the value of the rules object.
func (document *Document) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(document); err != nil {
		return nil, errors.Wrap(err, "encode rules object")
	}
	return buffer.Bytes(), nil
}

// withEdit returns a document with a new text and the edit that made it. The oldest edits beyond MaxEdits are dropped.
func (document *Document) withEdit(text string, edit Edit) *Document {
	edits := append([]Edit{edit}, document.Edits...)
	return &Document{Text: text, Edits: edits[:min(len(edits), MaxEdits)]}
}

// editIndex returns the index of an edit, which is zero for the newest one, or -1 if the document does not record it.
func (document *Document) editIndex(id string) int {
	return slices.IndexFunc(document.Edits, func(edit Edit) bool { return edit.ID == id })
}

// EditID returns the ID of the edit that changes version base to text for the operator by. It is a hash of these three, so a
// retry has the same ID, also in another process, and can find the result of the first attempt.
func EditID(base uint64, by, text string) string {
	hash := sha256.New()
	for _, part := range []string{strconv.FormatUint(base, 10), by, StripHeader(text)} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:editIDSize])
}
