package swedit

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// ObjectStore is a store whose objects have revisions that increase, but not by one.
type ObjectStore interface {
	ReadObject(ctx context.Context, kind, name string) (swplatform.Object, error)
	CreateObject(ctx context.Context, kind, name string, value []byte) error
	ReplaceObject(ctx context.Context, kind, name string, at swplatform.Position, value []byte) error
	// Era returns the latest known era of the store.
	Era() uint64
}

// VersionedStore is a Store on top of an ObjectStore. It counts the versions of objects itself and stores each object's
// version next to its value.
type VersionedStore struct {
	store ObjectStore
	// kind is the kind of all objects, and prefix the prefix of their names.
	kind   string
	prefix string
}

var _ Store = (*VersionedStore)(nil)

// NewVersionedStore returns a store that keeps its objects under one kind and adds a prefix to their names.
func NewVersionedStore(store ObjectStore, kind, prefix string) *VersionedStore {
	return &VersionedStore{store: store, kind: kind, prefix: prefix}
}

// VersionedValue is the stored form of an object: its version and its value.
type VersionedValue struct {
	// Era is the store's era in which the version was written. A store that came back from an older copy may lose versions, which are
	// then given out again.
	Era     uint64 `json:",omitempty"`
	Version uint64
	Value   json.RawMessage
}

// Before reports whether the value was written before other.
func (versionedValue *VersionedValue) Before(other *VersionedValue) bool {
	if versionedValue.Era != other.Era {
		return versionedValue.Era < other.Era
	}
	return versionedValue.Version < other.Version
}

// Encode returns the stored form of an object.
func (versionedValue *VersionedValue) Encode() ([]byte, error) {
	encoded, err := json.Marshal(versionedValue)
	return encoded, errors.Wrap(err, "encode versioned object")
}

// DecodeVersionedValue decodes the stored form of an object.
func DecodeVersionedValue(value []byte) (VersionedValue, error) {
	var versionedValue VersionedValue
	if err := json.Unmarshal(value, &versionedValue); err != nil {
		return VersionedValue{}, errors.Wrap(err, "decode versioned object")
	}
	return versionedValue, nil
}

// Get reads one object.
func (store *VersionedStore) Get(ctx context.Context, kind, name string) (swplatform.Object, error) {
	object, err := store.read(ctx, name)
	object.Kind, object.Name = kind, name
	return object, err
}

// read returns an object with the version next to its value and with the store's revision.
func (store *VersionedStore) read(ctx context.Context, name string) (swplatform.Object, error) {
	object, err := store.store.ReadObject(ctx, store.kind, store.prefix+name)
	if err != nil {
		return swplatform.Object{}, err
	}
	versionedValue, err := DecodeVersionedValue(object.Value)
	if err != nil {
		return swplatform.Object{}, err
	}
	object.Version, object.Value = versionedValue.Version, versionedValue.Value
	return object, nil
}

// Create creates an object at version 1. It fails with swplatform.ErrConflict if the object exists.
func (store *VersionedStore) Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error) {
	versionedValue := VersionedValue{Era: store.store.Era(), Version: 1, Value: value}
	encoded, err := versionedValue.Encode()
	if err != nil {
		return swplatform.Object{}, err
	}
	if err := store.store.CreateObject(ctx, store.kind, store.prefix+name, encoded); err != nil {
		return swplatform.Object{}, err
	}
	return swplatform.Object{Kind: kind, Name: name, Version: 1, Value: value}, nil
}

// Update replaces an object that is at the given version. It fails with swplatform.ErrConflict if the object is at another
// version.
func (store *VersionedStore) Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error) {
	current, err := store.read(ctx, name)
	if err != nil {
		return swplatform.Object{}, err
	}
	if current.Version != version {
		return swplatform.Object{}, swplatform.ErrConflict
	}
	versionedValue := VersionedValue{Era: current.Position.Era, Version: version + 1, Value: value}
	encoded, err := versionedValue.Encode()
	if err != nil {
		return swplatform.Object{}, err
	}
	if err := store.store.ReplaceObject(ctx, store.kind, store.prefix+name, current.Position, encoded); err != nil {
		return swplatform.Object{}, err
	}
	return swplatform.Object{Kind: kind, Name: name, Version: version + 1, Value: value}, nil
}
