package swedit

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// ObjectStore is a platform whose objects have revisions that grow in uneven steps.
type ObjectStore interface {
	ReadObject(ctx context.Context, kind, name string) (swplatform.Object, error)
	CreateObject(ctx context.Context, kind, name string, value []byte) error
	ReplaceObject(ctx context.Context, kind, name string, revision uint64, value []byte) error
}

// CountedStore counts the versions of objects itself, one after another, on a platform that does not: each object holds its
// version beside its value.
type VersionedStore struct {
	store ObjectStore
	// kind and prefix say where the objects stand.
	kind   string
	prefix string
}

var _ Store = (*VersionedStore)(nil)

// NewCountedStore returns a store whose objects are of one kind, their names behind a prefix.
func NewVersionedStore(store ObjectStore, kind, prefix string) *VersionedStore {
	return &VersionedStore{store: store, kind: kind, prefix: prefix}
}

// Counted is the value of an object that holds its version.
type VersionedValue struct {
	Version uint64
	Value   json.RawMessage
}

// encodeCounted returns the value of an object at a version.
func encodeCounted(version uint64, value []byte) ([]byte, error) {
	encoded, err := json.Marshal(VersionedValue{Version: version, Value: value})
	return encoded, errors.Wrap(err, "encode a counted object")
}

// DecodeCounted reads an object that holds its version.
func DecodeVersionedValue(value []byte) (VersionedValue, error) {
	var versionedValue VersionedValue
	if err := json.Unmarshal(value, &versionedValue); err != nil {
		return VersionedValue{}, errors.Wrap(err, "decode a counted object")
	}
	return versionedValue, nil
}

// Get reads one object.
func (store *VersionedStore) Get(ctx context.Context, kind, name string) (swplatform.Object, error) {
	object, err := store.read(ctx, name)
	object.Kind, object.Name = kind, name
	return object, err
}

// read returns an object with its counted version, and the platform's revision.
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

// Create makes an object at version 1; swplatform.ErrConflict tells that it exists.
func (store *VersionedStore) Create(ctx context.Context, kind, name string, value []byte) (swplatform.Object, error) {
	encoded, err := encodeCounted(1, value)
	if err != nil {
		return swplatform.Object{}, err
	}
	if err := store.store.CreateObject(ctx, store.kind, store.prefix+name, encoded); err != nil {
		return swplatform.Object{}, err
	}
	return swplatform.Object{Kind: kind, Name: name, Version: 1, Value: value}, nil
}

// Update replaces an object that is at a version; swplatform.ErrConflict tells that it is at another.
func (store *VersionedStore) Update(ctx context.Context, kind, name string, version uint64, value []byte) (swplatform.Object, error) {
	present, err := store.read(ctx, name)
	if err != nil {
		return swplatform.Object{}, err
	}
	if present.Version != version {
		return swplatform.Object{}, swplatform.ErrConflict
	}
	encoded, err := encodeCounted(version+1, value)
	if err != nil {
		return swplatform.Object{}, err
	}
	if err := store.store.ReplaceObject(ctx, store.kind, store.prefix+name, present.Revision, encoded); err != nil {
		return swplatform.Object{}, err
	}
	return swplatform.Object{Kind: kind, Name: name, Version: version + 1, Value: value}, nil
}
