// Package swedit changes the rules at the platform: conditional updates with edit IDs, and watching a version come into
// force in every data centre.
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
	// MaxEdits is the number of edits that a Document remembers.
	MaxEdits = 32
	// editIDSize is the size of an edit ID in bytes, before it is written in hexadecimal digits.
	editIDSize = 16
)

// Document is the value of the object that holds the rules.
type Document struct {
	// Text is the rule file.
	Text string
	// Edits holds the last MaxEdits edits, newest first.
	Edits []Edit
}

// Edit is one accepted change of the rules.
type Edit struct {
	ID string
	// By names the operator.
	By string
	// At is the operator's time of asking.
	At time.Time
	// Base is the version that the operator edited; the edit made the version after it.
	Base uint64 `json:",omitempty"`
}

// DecodeDocument reads the value of the rules object.
func DecodeDocument(value []byte) (Document, error) {
	var document Document
	if err := json.Unmarshal(value, &document); err != nil {
		return Document{}, errors.Wrap(err, "decode rules object")
	}
	return document, nil
}

// Encode returns the value of the rules object.
func (document *Document) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(document); err != nil {
		return nil, errors.Wrap(err, "encode rules object")
	}
	return buffer.Bytes(), nil
}

// withEdit returns the document that an edit makes of this one.
func (document *Document) withEdit(text string, edit Edit) *Document {
	edits := append([]Edit{edit}, document.Edits...)
	return &Document{Text: text, Edits: edits[:min(len(edits), MaxEdits)]}
}

// position returns the place of an edit, from zero for the newest, or -1.
func (document *Document) position(id string) int {
	return slices.IndexFunc(document.Edits, func(edit Edit) bool { return edit.ID == id })
}

// EditID names the edit that turns version base into text on behalf of by. The same edit asked for again, also by another
// process, has the same ID, so that a repeat finds what came of the first.
func EditID(base uint64, by, text string) string {
	hash := sha256.New()
	for _, part := range []string{strconv.FormatUint(base, 10), by, StripHeader(text)} {
		hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return hex.EncodeToString(hash.Sum(nil)[:editIDSize])
}
