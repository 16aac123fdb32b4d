package swapp

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// TestInvalidOrDeletedRulesLeaveTheLastRulesInForce guards against a mistake in the store that lets requests pass which the last
// rules refuse. Each case delivers rules objects one after another.
func TestInvalidOrDeletedRulesLeaveTheLastRulesInForce(t *testing.T) {
	rules := func(version uint64, text string) swplatform.Object {
		document, err := (&swedit.Document{Text: text}).Encode()
		if err != nil {
			t.Fatal(err)
		}
		value, err := json.Marshal(swedit.VersionedValue{Version: version, Value: document})
		if err != nil {
			t.Fatal(err)
		}
		return swplatform.Object{Name: swfollow.PrefixRules + swedit.NameMain, Value: value}
	}
	deleted := rules(9, "pass # ana")
	deleted.Deleted = true
	for name, test := range map[string]struct {
		objects []swplatform.Object
		version uint64
		synced  bool
	}{
		"no objects":                 {nil, 0, true},
		"object of another name":     {[]swplatform.Object{{Name: swfollow.PrefixRules + "other", Value: []byte("7")}}, 0, true},
		"invalid text on a new VM":   {[]swplatform.Object{rules(1, "let it be # ana")}, 0, false},
		"invalid object on a new VM": {[]swplatform.Object{{Name: swfollow.PrefixRules + swedit.NameMain, Value: []byte("7")}}, 0, false},
		"valid":                      {[]swplatform.Object{rules(3, "pass # ana")}, 3, true},
		"invalid after valid":        {[]swplatform.Object{rules(3, "pass # ana"), rules(4, "let it be # ana")}, 3, true},
		"deleted after valid":        {[]swplatform.Object{rules(3, "pass # ana"), deleted}, 3, true},
		"valid after invalid":        {[]swplatform.Object{rules(4, "let it be # ana"), rules(5, "pass # ana")}, 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			activeRules := newActiveRules()
			if test.objects == nil {
				receiveRules(activeRules, swfollow.Change{Full: true}, nil, zerolog.Nop())
			}
			for _, object := range test.objects {
				receiveRules(activeRules, swfollow.Change{Objects: []swplatform.Object{object}}, nil, zerolog.Nop())
			}
			_, version, _ := activeRules.Current()
			if diff := cmp.Diff([]any{test.version, test.synced}, []any{version, activeRules.synced.Load()}); diff != "" {
				t.Error("version and synced (-want +got):\n" + diff)
			}
		})
	}
}
