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

// TestMistakesAtTheStoreLeaveTheLastRulesInForce gives a VM objects of rules one after another.
func TestMistakesAtTheStoreLeaveTheLastRulesInForce(t *testing.T) {
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
		known   bool
	}{
		"none at all":            {nil, 0, true},
		"of another name":        {[]swplatform.Object{{Name: swfollow.PrefixRules + "other", Value: []byte("7")}}, 0, true},
		"unreadable on a new VM": {[]swplatform.Object{rules(1, "let it be # ana")}, 0, false},
		"no object on a new VM":  {[]swplatform.Object{{Name: swfollow.PrefixRules + swedit.NameMain, Value: []byte("7")}}, 0, false},
		"good ones":              {[]swplatform.Object{rules(3, "pass # ana")}, 3, true},
		"unreadable after good":  {[]swplatform.Object{rules(3, "pass # ana"), rules(4, "let it be # ana")}, 3, true},
		"deleted after good":     {[]swplatform.Object{rules(3, "pass # ana"), deleted}, 3, true},
		"good after unreadable":  {[]swplatform.Object{rules(4, "let it be # ana"), rules(5, "pass # ana")}, 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			book := newRuleBook()
			if test.objects == nil {
				receiveRules(book, swfollow.Change{Full: true}, zerolog.Nop())
			}
			for _, object := range test.objects {
				receiveRules(book, swfollow.Change{Objects: []swplatform.Object{object}}, zerolog.Nop())
			}
			_, version, _ := book.Current()
			if diff := cmp.Diff([]any{test.version, test.known}, []any{version, book.known.Load()}); diff != "" {
				t.Error("version and whether it is known (-want +got):\n" + diff)
			}
		})
	}
}
