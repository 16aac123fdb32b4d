package swapp

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// newRules returns the object of rules that were written in an era, as the store holds it at a position.
func newRules(t *testing.T, writtenIn, version uint64, position swplatform.Position) swplatform.Object {
	t.Helper()
	document, err := (&swedit.Document{Text: "pass # ana"}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	versionedValue := swedit.VersionedValue{Era: writtenIn, Version: version, Value: document}
	value, err := versionedValue.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return swplatform.Object{Name: rulesObject, Position: position, Value: value}
}

// TestRulesInForceSurviveTheStoresReturnFromAnOlderCopy guards against requests that pass although the rules in force refuse them, because
// the store holds former rules again, and against an edit after the return that is taken for a former one.
func TestRulesInForceSurviveTheStoresReturnFromAnOlderCopy(t *testing.T) {
	before, after := swplatform.Position{Era: 1, Revision: 9}, swplatform.Position{Era: 2, Revision: 4}
	for name, test := range map[string]struct {
		// stored is what the store holds after its return.
		stored []swplatform.Object
		want   uint64
		lost   int
	}{
		"former rules":                   {[]swplatform.Object{newRules(t, 1, 3, after)}, 5, 1},
		"rules without an era":           {[]swplatform.Object{newRules(t, 0, 9, after)}, 5, 1},
		"none":                           {nil, 5, 1},
		"the same":                       {[]swplatform.Object{newRules(t, 1, 5, after)}, 5, 0},
		"an edit after the return":       {[]swplatform.Object{newRules(t, 2, 4, after)}, 4, 0},
		"created anew after the return":  {[]swplatform.Object{newRules(t, 2, 1, after)}, 1, 0},
		"bytes that cannot be read":      {[]swplatform.Object{{Name: rulesObject, Position: after, Value: []byte("7")}}, 5, 1},
		"former rules in the same era":   {[]swplatform.Object{newRules(t, 1, 3, swplatform.Position{Era: 1, Revision: 10})}, 3, 0},
		"written again by another VM":    {[]swplatform.Object{newRules(t, 1, 3, after), newRules(t, 1, 5, after)}, 5, 1},
		"former rules, then a new edit":  {[]swplatform.Object{newRules(t, 1, 3, after), newRules(t, 2, 4, after)}, 4, 1},
		"lost once more after an edit":   {[]swplatform.Object{newRules(t, 2, 4, after), newRules(t, 1, 3, swplatform.Position{Era: 3, Revision: 2})}, 4, 1},
		"edit after the second return":   {[]swplatform.Object{newRules(t, 3, 4, swplatform.Position{Era: 3, Revision: 2})}, 4, 0},
		"older edit after second return": {[]swplatform.Object{newRules(t, 2, 4, after), newRules(t, 2, 3, swplatform.Position{Era: 3, Revision: 2})}, 4, 1},
	} {
		t.Run(name, func(t *testing.T) {
			rules, lost := newActiveRules(), 0
			receive := func(objects ...swplatform.Object) {
				change := swfollow.Change{Full: true, Position: after, Objects: objects}
				receiveRules(rules, change, func(swplatform.Object) { lost++ }, zerolog.Nop())
			}
			receive(newRules(t, 1, 5, before))
			if test.stored == nil {
				receive()
			}
			for _, object := range test.stored {
				receive(object)
			}
			_, version, _ := rules.Current()
			if diff := cmp.Diff([]any{test.want, test.lost}, []any{version, lost}); diff != "" {
				t.Error("version in force and how often it was lost (-want +got):\n" + diff)
			}
		})
	}
}

// fakeRuleStore fails the first writes with the given errors and counts the others.
type fakeRuleStore struct {
	failures []error
	creates  int
	replaces int
}

func (store *fakeRuleStore) fail() error {
	if len(store.failures) == 0 {
		return nil
	}
	err := store.failures[0]
	store.failures = store.failures[1:]
	return err
}

func (store *fakeRuleStore) CreateObject(context.Context, string, string, []byte) error {
	store.creates++
	return store.fail()
}

func (store *fakeRuleStore) ReplaceObject(context.Context, string, string, swplatform.Position, []byte) error {
	store.replaces++
	return store.fail()
}

func TestLostRulesAreWrittenAgain(t *testing.T) {
	unavailable, conflict := &swplatform.Error{Reason: swplatform.ErrUnavailable}, &swplatform.Error{Reason: swplatform.ErrConflict}
	position := swplatform.Position{Era: 2, Revision: 4}
	none := swplatform.Object{Name: rulesObject, Position: position, Deleted: true}
	for name, test := range map[string]struct {
		stored   swplatform.Object
		failures []error
		follower bool
		want     [2]int
	}{
		"none stored":            {none, nil, false, [2]int{1, 0}},
		"former rules stored":    {newRules(t, 1, 3, position), nil, false, [2]int{0, 1}},
		"store away":             {none, []error{unavailable, unavailable}, false, [2]int{3, 0}},
		"another VM was earlier": {none, []error{conflict}, false, [2]int{1, 0}},
		"not the leader":         {none, nil, true, [2]int{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := swgroup.New(t.Context())
				defer group.Stop()
				rules, store := newActiveRules(), &fakeRuleStore{failures: test.failures}
				receiveRules(rules, swfollow.Change{Objects: []swplatform.Object{newRules(t, 1, 5, swplatform.Position{Era: 1, Revision: 9})}}, nil, zerolog.Nop())
				restorer := &ruleRestorer{
					store: store, rules: rules, group: group, log: zerolog.Nop(), isLeader: func() bool { return !test.follower },
				}
				restorer.restore(test.stored)
				time.Sleep(30 * time.Second)
				synctest.Wait()
				if diff := cmp.Diff(test.want, [2]int{store.creates, store.replaces}); diff != "" {
					t.Error("creates and replaces (-want +got):\n" + diff)
				}
			})
		})
	}
}
