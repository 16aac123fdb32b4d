package swedit

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const newText = "# Version: 41\npass # wanted\n"

// outcome is the result or the kind of error of an edit.
type outcome struct {
	Version, CurrentVersion uint64
	FoundByID, Unchanged    bool
	Error                   string
}

func apply(store *fakeStore, base uint64) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result, err := New(Config{Store: store}).Apply(ctx, Request{Text: newText, Base: base, By: "operator"})
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	var unavailable *UnavailableError
	kind := ""
	switch {
	case errors.As(err, &conflict):
		kind = "Race"
	case errors.As(err, &unknown):
		kind = "Unknown"
	case errors.As(err, &unavailable):
		kind = "Unavailable"
	case err != nil:
		kind = "Other"
	}
	return outcome{result.Version, result.CurrentVersion, result.FoundByID, result.Unchanged, kind}, err
}

func repeatFault(repeated fault) []fault {
	faults := make([]fault, 1000)
	for i := range faults {
		faults[i] = repeated
	}
	return faults
}

func TestApplyReportsTheOutcomeUnderFaults(t *testing.T) {
	tests := []struct {
		name          string
		reads, writes []fault
		base          uint64
		want          outcome
		// applied is how often the edit takes effect.
		applied int
	}{
		{name: "no faults", base: 41, want: outcome{Version: 42, CurrentVersion: 42}, applied: 1},
		{name: "slow store", reads: []fault{slow, slow}, writes: []fault{slow}, base: 41, want: outcome{Version: 42, CurrentVersion: 42}, applied: 1},
		{name: "store down for a while", reads: []fault{down, down, none, down}, writes: []fault{down}, base: 41, want: outcome{Version: 42, CurrentVersion: 42}, applied: 1},
		{name: "store down for all reads", reads: repeatFault(down), base: 41, want: outcome{Error: "Unavailable"}},
		{name: "store down for all writes", writes: repeatFault(down), base: 41, want: outcome{Error: "Unavailable"}},
		{name: "version edited is too old", base: 40, want: outcome{Error: "Race"}},
		{name: "version edited does not exist yet", base: 43, want: outcome{Error: "Race"}},
		{name: "object to be created exists", base: 0, want: outcome{Error: "Race"}},
		{name: "rival edit first", writes: []fault{rivalFirst}, base: 41, want: outcome{Error: "Race"}},
		{name: "response lost, write took effect", writes: []fault{lost}, base: 41, want: outcome{Version: 42, CurrentVersion: 42, FoundByID: true}, applied: 1},
		{name: "response lost, write had no effect", writes: []fault{dropped}, base: 41, want: outcome{Version: 42, CurrentVersion: 42}, applied: 1},
		{name: "response lost, write takes effect late", writes: []fault{delayed}, base: 41, want: outcome{Version: 42, CurrentVersion: 42, FoundByID: true}, applied: 1},
		{name: "response lost, rival edit follows", writes: []fault{lostRival}, base: 41, want: outcome{Version: 42, CurrentVersion: 43, FoundByID: true}, applied: 1},
		{name: "response lost without effect, rival edit in between", writes: []fault{dropped, rivalFirst}, base: 41, want: outcome{Error: "Race"}},
		{name: "response lost, more edits follow than are recorded", writes: []fault{lostMany}, base: 41, want: outcome{Error: "Unknown"}, applied: 1},
		{name: "response lost, unrecorded edit follows", writes: []fault{lostForged}, base: 41, want: outcome{Error: "Unknown"}},
		{name: "response lost and store down from then on", reads: append([]fault{none}, repeatFault(down)...), writes: []fault{lost}, base: 41, want: outcome{Error: "Unknown"}, applied: 1},
		{name: "response lost and retry rejected", writes: []fault{dropped, rejected}, base: 41, want: outcome{Error: "Unknown"}},
		{name: "rejected", writes: []fault{rejected}, base: 41, want: outcome{Error: "Other"}},
		{name: "read rejected", reads: []fault{rejected}, base: 41, want: outcome{Error: "Other"}},
		{name: "stale reads for a while", reads: []fault{stale, stale}, base: 41, want: outcome{Version: 42, CurrentVersion: 42}, applied: 1},
		{name: "response lost, then stale reads", reads: append([]fault{none}, repeatFault(stale)[:6]...), writes: []fault{lost}, base: 41, want: outcome{Version: 42, CurrentVersion: 42, FoundByID: true}, applied: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
				store.applyRivalEdit("previous")
				store.reads, store.writes = test.reads, test.writes
				got, err := apply(store, test.base)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("outcome with error %v (-want +got):\n%s", err, diff)
				}
				if diff := cmp.Diff(test.applied, store.applied[EditID(test.base, "operator", newText)]); diff != "" {
					t.Error("times that the edit took effect (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestRetryByAnotherProcessFindsTheFirstEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t, 41, Document{Text: "refuse # older\n"})
		store.writes = []fault{lostRival}
		store.reads = append([]fault{none}, repeatFault(down)...)
		if got, err := apply(store, 41); got.Error != "Unknown" {
			t.Fatalf("first outcome is %+v with error %v, want Unknown", got, err)
		}
		store.reads = nil
		got, err := apply(store, 41)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(outcome{Version: 42, CurrentVersion: 43, FoundByID: true}, got); diff != "" {
			t.Error("second outcome (-want +got):\n" + diff)
		}
	})
}

func TestConflictErrorHasTheRulesAndTheEditsSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
		for i := range 3 {
			store.applyRivalEdit(fmt.Sprintf("rival-%d", i))
		}
		_, err := apply(store, 41)
		var conflict *ConflictError
		if !errors.As(err, &conflict) {
			t.Fatalf("error is %v, want a conflict", err)
		}
		want := &ConflictError{
			Base: 41, Version: 43, Text: "refuse # rival-2\n",
			Edits: []Edit{{ID: "rival-2", By: "rival", Base: 42}, {ID: "rival-1", By: "rival", Base: 41}},
		}
		if diff := cmp.Diff(want, conflict); diff != "" {
			t.Error("conflict (-want +got):\n" + diff)
		}
	})
}

func TestSameRulesAreNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t, 44, Document{Text: "# Version: 44\npass # wanted\n"})
		got, err := apply(store, 41)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(outcome{Version: 44, CurrentVersion: 44, Unchanged: true}, got); diff != "" {
			t.Error("outcome (-want +got):\n" + diff)
		}
	})
}

func TestMalformedObjectIsReplacedByAnEditOfItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t, 41, Document{})
		store.value = []byte(`"not a document"`)
		if got, err := apply(store, 40); got.Error != "Race" {
			t.Errorf("outcome on another version is %+v with error %v, want Race", got, err)
		}
		got, err := apply(store, 41)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(outcome{Version: 42, CurrentVersion: 42}, got); diff != "" {
			t.Error("outcome (-want +got):\n" + diff)
		}
	})
}

func TestFirstRulesAreCreatedOnce(t *testing.T) {
	tests := map[fault]outcome{
		none:      {Version: 8, CurrentVersion: 8},
		lost:      {Version: 8, CurrentVersion: 8, FoundByID: true},
		lostRival: {Version: 8, CurrentVersion: 9, FoundByID: true},
	}
	for fault, want := range tests {
		t.Run("fault "+string(fault), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(t, 7, Document{})
				store.value = nil
				store.writes = append(store.writes, fault)
				got, err := apply(store, 0)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Error("outcome (-want +got):\n" + diff)
				}
			})
		})
	}
}

func TestStoredDocumentHasItsVersionAndTheEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t, 41, Document{Edits: make([]Edit, MaxEdits)})
		if _, err := apply(store, 41); err != nil {
			t.Fatal(err)
		}
		got, err := DecodeDocument(store.value)
		if err != nil {
			t.Fatal(err)
		}
		edits := make([]Edit, MaxEdits)
		edits[0] = Edit{ID: EditID(41, "operator", newText), By: "operator", At: time.Now(), Base: 41}
		want := Document{Text: "# Version: 42\npass # wanted\n", Edits: edits}
		if diff := cmp.Diff(want, got, cmpopts.EquateApproxTime(0)); diff != "" {
			t.Error("document (-want +got):\n" + diff)
		}
	})
}

func TestReportedOutcomeIsTrueUnderAnyFaults(t *testing.T) {
	faults := []fault{none, down, lost, dropped, delayed, slow, stale, rejected, lostRival, rivalFirst, lostMany, lostForged}
	rapid.Check(t, func(rt *rapid.T) {
		reads := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 6).Draw(rt, "Reads")
		writes := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 6).Draw(rt, "Writes")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
			store.applyRivalEdit("previous")
			store.reads, store.writes = reads, writes
			failure = checkOutcome(store)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// checkOutcome applies an edit and returns what is wrong with the reported outcome, or an empty string.
func checkOutcome(store *fakeStore) string {
	got, err := apply(store, 41)
	id := EditID(41, "operator", newText)
	applied := store.applied[id]
	switch {
	case applied > 1:
		return fmt.Sprintf("the edit took effect %d times", applied)
	case got.Error == "" && applied != 1:
		return fmt.Sprintf("outcome is %+v, but the edit had no effect", got)
	case got.Error != "" && got.Error != "Unknown" && applied != 0:
		return fmt.Sprintf("error is %v, but the edit took effect", err)
	case got.Error == "Unknown" || store.pending == nil:
		return ""
	}
	store.pending()
	if store.applied[id] != applied {
		return fmt.Sprintf("the edit took effect after the outcome was reported: %+v, %v", got, err)
	}
	return ""
}

func TestOnlyOneOfConcurrentEditsTakesEffect(t *testing.T) {
	faults := []fault{none, none, down, lost, dropped, slow, stale}
	rapid.Check(t, func(rt *rapid.T) {
		reads := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 20).Draw(rt, "Reads")
		writes := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 20).Draw(rt, "Writes")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
			store.applyRivalEdit("previous")
			store.reads, store.writes = reads, writes
			failure = checkConcurrentEdits(store, 4)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// checkConcurrentEdits applies edits of version 41 by several operators at once and returns what is wrong with the reported
// outcomes, or an empty string.
func checkConcurrentEdits(store *fakeStore, operators int) string {
	group := swgroup.New(context.Background())
	errs := make([]error, operators)
	texts := make([]string, operators)
	for i := range operators {
		texts[i] = fmt.Sprintf("pass Kind=k%d # operator %d\n", i, i)
		group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, time.Hour)
			defer cancel()
			_, errs[i] = New(Config{Store: store}).Apply(ctx, Request{Text: texts[i], Base: 41, By: "operator"})
		})
	}
	group.Wait()
	winners := 0
	for i := range operators {
		applied := store.applied[EditID(41, "operator", texts[i])]
		var conflict *ConflictError
		if (errs[i] == nil) != (applied == 1) || errs[i] != nil && !errors.As(errs[i], &conflict) {
			return fmt.Sprintf("operator %d got error %v, and the edit took effect %d times", i, errs[i], applied)
		}
		winners += applied
	}
	if winners != 1 || store.version != 42 {
		return fmt.Sprintf("%d edits took effect, and the version is %d", winners, store.version)
	}
	return ""
}
