package swfeed

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swpack"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// FollowRequest asks a VM for what has changed in the store.
type FollowRequest struct {
	_ struct{} `cbor:",toarray"`

	// Revisions holds, in the order of the kinds, the revisions that the asking VM has; zero asks for everything.
	Revisions []uint64
	// Wait is how long the asked VM may wait for a change.
	Wait time.Duration
}

// FollowReply answers a FollowRequest.
type FollowReply struct {
	_ struct{} `cbor:",toarray"`

	// Changes are in the order of the kinds; the entry of a kind without news is empty.
	Changes []KindChange
	// Overdue is how much later than the asked VM's watches should have ended the store last answered it.
	Overdue time.Duration
}

// KindChange is what changed in one kind.
type KindChange struct {
	_ struct{} `cbor:",toarray"`

	Whole bool
	// Revision is zero when there is no news.
	Revision uint64
	Objects  []Object
	// RegainedAgo is how long ago the store came back after an outage, or zero when it was not away.
	RegainedAgo time.Duration
}

// Object is an object of the store on its way between VMs.
type Object struct {
	_ struct{} `cbor:",toarray"`

	Name     string
	Revision uint64
	Value    []byte
	Deleted  bool
	// Packed tells that Value is compressed.
	Packed bool
}

const (
	// packFrom is the size in bytes from which values are compressed: a configuration, but not a server's entry.
	packFrom = 1 << 10
	// maxValue is the largest value that is taken from a peer, in bytes: the platform's bound.
	maxValue = 1 << 20
)

// encodeChange returns a change as it travels. packed returns the compressed value of an object, or nothing.
func encodeChange(change swfollow.Change, now time.Time, packed func(object *swplatform.Object) []byte) KindChange {
	encoded := KindChange{Whole: change.Full, Revision: change.Revision, Objects: make([]Object, len(change.Objects))}
	for i, object := range change.Objects {
		encoded.Objects[i] = Object{Name: object.Name, Revision: object.Revision, Deleted: object.Deleted}
		if object.Deleted {
			continue
		}
		encoded.Objects[i].Value = object.Value
		if small := packed(&object); small != nil {
			encoded.Objects[i].Value, encoded.Objects[i].Packed = small, true
		}
	}
	if !change.RecoveredAt.IsZero() {
		encoded.RegainedAgo = max(1, now.Sub(change.RecoveredAt))
	}
	return encoded
}

func (encoded *KindChange) decode(kind string, now time.Time) (swfollow.Change, error) {
	change := swfollow.Change{Full: encoded.Whole, Revision: encoded.Revision, Objects: make([]swplatform.Object, len(encoded.Objects))}
	for i, object := range encoded.Objects {
		if object.Packed {
			value, err := swpack.Decompress(object.Value, maxValue)
			if err != nil {
				return swfollow.Change{}, errors.Wrapf(err, "%s/%s", kind, object.Name)
			}
			object.Value = value
		}
		change.Objects[i] = swplatform.Object{
			Kind: kind, Name: object.Name, Version: object.Revision, Revision: object.Revision,
			Value: object.Value, Deleted: object.Deleted,
		}
	}
	if encoded.RegainedAgo > 0 {
		change.RecoveredAt = now.Add(-encoded.RegainedAgo)
	}
	return change, nil
}
