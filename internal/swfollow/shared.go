package swfollow

import (
	"strings"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// KindShared is the kind of the store's objects that VMs and operators of this product write. What an object is for stands
// first in its name, so that one watch brings all of them.
const KindShared = "sycamorewall"

// The first parts of the names of shared objects.
const (
	PrefixVM     = "vm."
	PrefixRecord = "record."
	PrefixRules  = "rules."
)

// Named returns the part of a change that concerns objects whose names begin with a prefix.
func (change Change) WithPrefix(prefix string) Change {
	var objects []swplatform.Object
	for _, object := range change.Objects {
		if strings.HasPrefix(object.Name, prefix) {
			objects = append(objects, object)
		}
	}
	change.Objects = objects
	return change
}
