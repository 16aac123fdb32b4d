package swplatform

import (
	"cmp"
	"encoding/json"

	"github.com/rs/zerolog"
)

// Position is a point in the history of the platform's store. A store that came back from an older copy of itself begins a new era: it
// gives out some revisions of the former era again, for other changes, so revisions are comparable within one era only.
type Position struct {
	_ struct{} `cbor:",toarray"`

	// Era counts how often the store has come back from a copy; zero if it does not say.
	Era uint64
	// Revision counts the writes of the whole store.
	Revision uint64
}

// Compare returns a negative number if the position is before other, a positive one if it is after it, and zero if both are equal.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Revision, other.Revision))
}

// Before reports whether the position is before other.
func (position Position) Before(other Position) bool {
	return position.Compare(other) < 0
}

// IsZero reports whether the position is before the first one of any store.
func (position Position) IsZero() bool {
	return position.Era == 0 && position.Revision == 0
}

// MarshalJSON encodes a position as a revision of the object API, which has no eras.
func (position Position) MarshalJSON() ([]byte, error) {
	return json.Marshal(position.Revision)
}

// UnmarshalJSON decodes a revision of the object API, which has no eras.
func (position *Position) UnmarshalJSON(data []byte) error {
	position.Era = 0
	return json.Unmarshal(data, &position.Revision)
}

// MarshalZerologObject adds the position to a log line.
func (position Position) MarshalZerologObject(event *zerolog.Event) {
	event.Uint64("Era", position.Era).Uint64("Revision", position.Revision)
}
