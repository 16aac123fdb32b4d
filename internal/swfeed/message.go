package swfeed

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swpack"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// FollowRequest polls a VM for changes of the store.
type FollowRequest struct {
	_ struct{} `cbor:",toarray"`

	// Positions holds the positions that the polling VM has, in the order of the kinds; the zero position requests all objects.
	Positions []swplatform.Position
	// Era is the latest era of the store that the polling VM knows.
	Era uint64
	// Wait is how long the polled VM may wait for a change.
	Wait time.Duration
}

// FollowReply answers a FollowRequest.
type FollowReply struct {
	_ struct{} `cbor:",toarray"`

	// Changes is in the order of the kinds; the entry of a kind without changes is empty.
	Changes []KindChange
	// Overdue is how late the store's next response to the polled VM is.
	Overdue time.Duration
}

// KindChange is a change of one kind.
type KindChange struct {
	_ struct{} `cbor:",toarray"`

	// Whole marks a complete listing: objects that it lacks are deleted.
	Whole bool
	// Position is zero when there is no change.
	Position swplatform.Position
	Objects  []Object
	// RegainedAgo is how long ago the store recovered from an outage; it is zero when there was none.
	RegainedAgo time.Duration
}

// Object is an object of the store as VMs send it to each other.
type Object struct {
	_ struct{} `cbor:",toarray"`

	Name     string
	Position swplatform.Position
	Value    []byte
	Deleted  bool
	// Packed reports whether Value is compressed.
	Packed bool
}

const (
	// minCompressedSize is the size in bytes from which values are compressed: configurations, but not servers' entries.
	minCompressedSize = 1 << 10
	// maxObjectSize bounds a decompressed value, in bytes. It is the platform's limit.
	maxObjectSize = 1 << 20
)

// encodeChange encodes a change for a peer. compress returns the compressed value of an object, or nil to send it uncompressed.
func encodeChange(change swfollow.Change, now time.Time, compress func(object *swplatform.Object) []byte) KindChange {
	encoded := KindChange{Whole: change.Full, Position: change.Position, Objects: make([]Object, len(change.Objects))}
	for i, object := range change.Objects {
		encoded.Objects[i] = Object{Name: object.Name, Position: object.Position, Deleted: object.Deleted}
		if object.Deleted {
			continue
		}
		encoded.Objects[i].Value = object.Value
		if compressed := compress(&object); compressed != nil {
			encoded.Objects[i].Value, encoded.Objects[i].Packed = compressed, true
		}
	}
	if !change.RecoveredAt.IsZero() {
		encoded.RegainedAgo = max(1, now.Sub(change.RecoveredAt))
	}
	return encoded
}

func (encoded *KindChange) decode(kind string, now time.Time) (swfollow.Change, error) {
	change := swfollow.Change{Full: encoded.Whole, Position: encoded.Position, Objects: make([]swplatform.Object, len(encoded.Objects))}
	for i, object := range encoded.Objects {
		if object.Packed {
			value, err := swpack.Decompress(object.Value, maxObjectSize)
			if err != nil {
				return swfollow.Change{}, errors.Wrapf(err, "decompress %s/%s", kind, object.Name)
			}
			object.Value = value
		}
		change.Objects[i] = swplatform.Object{
			Kind: kind, Name: object.Name, Position: object.Position, Value: object.Value, Deleted: object.Deleted,
		}
	}
	if encoded.RegainedAgo > 0 {
		change.RecoveredAt = now.Add(-encoded.RegainedAgo)
	}
	return change, nil
}
