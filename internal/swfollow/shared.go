package swfollow

import (
	"strings"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// KindShared is the kind of all objects in the platform's store that VMs and operators of this project write. They share one
// kind so that one watch covers them all; a prefix of the name gives an object's purpose.
const KindShared = "sycamorewall"

// Prefixes of the names of shared objects: VMs, records and rules.
const (
	PrefixVM     = "vm."
	PrefixRecord = "record."
	PrefixRules  = "rules."
)

// WithPrefix returns a copy of the change with only the objects whose names begin with prefix.
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
