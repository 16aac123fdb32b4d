package swlabusers

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/platform"
)

// TestOperatorsEditTheGatewaysRules makes, changes and races edits of the rules at the stand-in of the users' store, whose
// revisions grow in uneven steps.
func TestOperatorsEditTheGatewaysRules(t *testing.T) {
	store, err := StartStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	client, err := swplatform.New(swplatform.Config{URL: "http://" + store.Address()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	rules := swedit.NewCountedStore(platform.NewStore(client), swfollow.KindShared, swfollow.PrefixRules)
	editor := swedit.New(swedit.Config{Store: rules})
	apply := func(base uint64, text string) (uint64, error) {
		result, err := editor.Apply(t.Context(), swedit.Request{Base: base, By: "ana", Text: text})
		return result.Version, err
	}
	for version, text := range []string{"pass # one\n", "refuse # two\n", "pass Kind=a # three\n"} {
		got, err := apply(uint64(version), text)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(uint64(version+1), got); diff != "" {
			t.Error("version (-want +got):\n" + diff)
		}
		if err := store.Put("other", "object", text); err != nil {
			t.Fatal(err)
		}
	}
	var race *swedit.RaceError
	if _, err := apply(1, "refuse Kind=b # four\n"); !errors.As(err, &race) || race.Version != 3 {
		t.Errorf("an edit of version 1 ended with %v, want a race with version 3", err)
	}
	object, err := rules.Get(t.Context(), swedit.KindRules, swedit.NameMain)
	if err != nil {
		t.Fatal(err)
	}
	document, err := swedit.DecodeDocument(object.Value)
	if err != nil || !strings.Contains(document.Text, "three") || len(document.Edits) != 3 {
		t.Errorf("the rules are %+v, %v; want those of the third edit", document, err)
	}
}
