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
	Version, Current   uint64
	Settled, Unchanged bool
	Error              string
}

func apply(store *fakeStore, base uint64) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	result, err := New(Config{Store: store}).Apply(ctx, Request{Text: newText, Base: base, By: "operator"})
	var race *ConflictError
	var unknown *OutcomeUnknownError
	var unavailable *UnavailableError
	kind := ""
	switch {
	case errors.As(err, &race):
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

func many(one fault) []fault {
	faults := make([]fault, 1000)
	for i := range faults {
		faults[i] = one
	}
	return faults
}

func TestApplyTellsWhatBecameOfTheEdit(t *testing.T) {
	tests := []struct {
		name          string
		reads, writes []fault
		base          uint64
		want          outcome
		// accepted is how often the edit took effect.
		accepted int
	}{
		{name: "calm", base: 41, want: outcome{Version: 42, Current: 42}, accepted: 1},
		{name: "slow store", reads: []fault{slow, slow}, writes: []fault{slow}, base: 41, want: outcome{Version: 42, Current: 42}, accepted: 1},
		{name: "store down for a while", reads: []fault{down, down, none, down}, writes: []fault{down}, base: 41, want: outcome{Version: 42, Current: 42}, accepted: 1},
		{name: "store down for reads all the time", reads: many(down), base: 41, want: outcome{Error: "Unavailable"}},
		{name: "store down for writes all the time", writes: many(down), base: 41, want: outcome{Error: "Unavailable"}},
		{name: "version edited is too old", base: 40, want: outcome{Error: "Race"}},
		{name: "version edited does not exist yet", base: 43, want: outcome{Error: "Race"}},
		{name: "object to be made exists", base: 0, want: outcome{Error: "Race"}},
		{name: "racing operator gets in first", writes: []fault{rivalFirst}, base: 41, want: outcome{Error: "Race"}},
		{name: "answer lost, write took effect", writes: []fault{lost}, base: 41, want: outcome{Version: 42, Current: 42, Settled: true}, accepted: 1},
		{name: "answer lost, write had no effect", writes: []fault{dropped}, base: 41, want: outcome{Version: 42, Current: 42}, accepted: 1},
		{name: "answer lost, write takes effect late", writes: []fault{delayed}, base: 41, want: outcome{Version: 42, Current: 42, Settled: true}, accepted: 1},
		{name: "answer lost, rival edit follows", writes: []fault{lostRival}, base: 41, want: outcome{Version: 42, Current: 43, Settled: true}, accepted: 1},
		{name: "answer lost without effect, rival edit in between", writes: []fault{dropped, rivalFirst}, base: 41, want: outcome{Error: "Race"}},
		{name: "answer lost, more edits follow than are remembered", writes: []fault{lostMany}, base: 41, want: outcome{Error: "Unknown"}, accepted: 1},
		{name: "answer lost, edit without a record follows", writes: []fault{lostForged}, base: 41, want: outcome{Error: "Unknown"}},
		{name: "answer lost and the store down ever after", reads: append([]fault{none}, many(down)...), writes: []fault{lost}, base: 41, want: outcome{Error: "Unknown"}, accepted: 1},
		{name: "answer lost and the retry rejected", writes: []fault{dropped, rejected}, base: 41, want: outcome{Error: "Unknown"}},
		{name: "rejected", writes: []fault{rejected}, base: 41, want: outcome{Error: "Other"}},
		{name: "read rejected", reads: []fault{rejected}, base: 41, want: outcome{Error: "Other"}},
		{name: "stale reads for a while", reads: []fault{stale, stale}, base: 41, want: outcome{Version: 42, Current: 42}, accepted: 1},
		{name: "answer lost, then stale reads", reads: append([]fault{none}, many(stale)[:6]...), writes: []fault{lost}, base: 41, want: outcome{Version: 42, Current: 42, Settled: true}, accepted: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
				store.rival("previous")
				store.reads, store.writes = test.reads, test.writes
				got, err := apply(store, test.base)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("outcome with error %v (-want +got):\n%s", err, diff)
				}
				if diff := cmp.Diff(test.accepted, store.accepted[EditID(test.base, "operator", newText)]); diff != "" {
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
		store.reads = append([]fault{none}, many(down)...)
		if got, err := apply(store, 41); got.Error != "Unknown" {
			t.Fatalf("first outcome is %+v with error %v, want Unknown", got, err)
		}
		store.reads = nil
		got, err := apply(store, 41)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(outcome{Version: 42, Current: 43, Settled: true}, got); diff != "" {
			t.Error("second outcome (-want +got):\n" + diff)
		}
	})
}

func TestRaceShowsTheRulesAndTheEditsSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
		for i := range 3 {
			store.rival(fmt.Sprintf("rival-%d", i))
		}
		_, err := apply(store, 41)
		var race *ConflictError
		if !errors.As(err, &race) {
			t.Fatalf("error is %v, want a race", err)
		}
		want := &ConflictError{
			Base: 41, Version: 43, Text: "refuse # rival-2\n",
			Edits: []Edit{{ID: "rival-2", By: "rival", Base: 42}, {ID: "rival-1", By: "rival", Base: 41}},
		}
		if diff := cmp.Diff(want, race); diff != "" {
			t.Error("race (-want +got):\n" + diff)
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
		if diff := cmp.Diff(outcome{Version: 44, Current: 44, Unchanged: true}, got); diff != "" {
			t.Error("outcome (-want +got):\n" + diff)
		}
	})
}

func TestBadObjectIsReplacedByAnEditOfItsVersion(t *testing.T) {
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
		if diff := cmp.Diff(outcome{Version: 42, Current: 42}, got); diff != "" {
			t.Error("outcome (-want +got):\n" + diff)
		}
	})
}

func TestFirstRulesAreCreatedOnce(t *testing.T) {
	tests := map[fault]outcome{
		none:      {Version: 8, Current: 8},
		lost:      {Version: 8, Current: 8, Settled: true},
		lostRival: {Version: 8, Current: 9, Settled: true},
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

func TestStoredTextNamesItsOwnVersionAndTheEdit(t *testing.T) {
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

func TestAnyFaultsLeaveTruthfulOutcomes(t *testing.T) {
	faults := []fault{none, down, lost, dropped, delayed, slow, stale, rejected, lostRival, rivalFirst, lostMany, lostForged}
	rapid.Check(t, func(rt *rapid.T) {
		reads := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 6).Draw(rt, "Reads")
		writes := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 6).Draw(rt, "Writes")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
			store.rival("previous")
			store.reads, store.writes = reads, writes
			failure = untruth(store)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// untruth applies an edit and says what is wrong about the outcome.
func untruth(store *fakeStore) string {
	got, err := apply(store, 41)
	id := EditID(41, "operator", newText)
	accepted := store.accepted[id]
	switch {
	case accepted > 1:
		return fmt.Sprintf("the edit took effect %d times", accepted)
	case got.Error == "" && accepted != 1:
		return fmt.Sprintf("outcome is %+v, but the edit had no effect", got)
	case got.Error != "" && got.Error != "Unknown" && accepted != 0:
		return fmt.Sprintf("error is %v, but the edit took effect", err)
	case got.Error == "Unknown" || store.pending == nil:
		return ""
	}
	store.pending()
	if store.accepted[id] != accepted {
		return fmt.Sprintf("the edit took effect after the outcome was told: %+v, %v", got, err)
	}
	return ""
}

func TestRacingOperatorsNeverUndoEachOther(t *testing.T) {
	faults := []fault{none, none, down, lost, dropped, slow, stale}
	rapid.Check(t, func(rt *rapid.T) {
		reads := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 20).Draw(rt, "Reads")
		writes := rapid.SliceOfN(rapid.SampledFrom(faults), 0, 20).Draw(rt, "Writes")
		var failure string
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore(t, 40, Document{Text: "refuse # older\n"})
			store.rival("previous")
			store.reads, store.writes = reads, writes
			failure = race(store, 4)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// race lets operators edit version 41 at once and says what is wrong about the outcomes.
func race(store *fakeStore, operators int) string {
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
		accepted := store.accepted[EditID(41, "operator", texts[i])]
		var race *ConflictError
		if (errs[i] == nil) != (accepted == 1) || errs[i] != nil && !errors.As(errs[i], &race) {
			return fmt.Sprintf("operator %d was told %v, and the edit took effect %d times", i, errs[i], accepted)
		}
		winners += accepted
	}
	if winners != 1 || store.version != 42 {
		return fmt.Sprintf("%d edits took effect, and the version is %d", winners, store.version)
	}
	return ""
}
