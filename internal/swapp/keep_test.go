package swapp

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/platform"
)

func TestConfirmedConfigurationStaysUntilANewerOneArrives(t *testing.T) {
	config := func(version int) swplatform.Object {
		return swplatform.Object{Name: platform.ConfigName, Value: fmt.Appendf(nil, `{"version":%d}`, version)}
	}
	other := config(9)
	other.Name = "other"
	for name, test := range map[string]struct {
		held, arrived swplatform.Object
		want          bool
	}{
		"older":                {config(9), config(6), true},
		"newer":                {config(9), config(11), false},
		"same":                 {config(9), config(9), false},
		"none":                 {config(9), swplatform.Object{Name: platform.ConfigName, Deleted: true}, true},
		"invalid":              {config(9), swplatform.Object{Name: platform.ConfigName, Value: []byte("{")}, true},
		"held one invalid":     {swplatform.Object{Name: platform.ConfigName, Value: []byte("{")}, config(1), false},
		"object of a stranger": {other, swplatform.Object{Name: "other", Deleted: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, keepsConfig(&test.held, &test.arrived)); diff != "" {
				t.Error("kept (-want +got):\n" + diff)
			}
		})
	}
}
