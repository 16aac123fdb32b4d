package swrollout

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
)

// isolatedVM is the view and the transport of a VM that reaches no other.
type isolatedVM struct{}

func (isolatedVM) View() *swmember.View {
	self := swmember.Member{Name: "vm-0", DataCentre: "dc-0"}
	return swmember.NewView(self, []swmember.Member{self})
}

func (isolatedVM) Call(context.Context, netip.AddrPort, swpeer.Method, any, any) error {
	return errors.New("no other VM is reachable")
}

func newStore() (*Store, *swmember.RecordStore) {
	recordStore := swmember.NewRecordStore(swmember.RecordStoreConfig{})
	store := New(Config{Records: recordStore, Members: isolatedVM{}, Transport: isolatedVM{}, Seed: 1})
	store.RegisterKind(KindRules, checkValue)
	return store, recordStore
}

func TestApply(t *testing.T) {
	held := Document{Kind: KindRules, Name: RulesName, Version: 5, Value: []byte("five")}
	tests := map[string]struct {
		document Document
		accepted bool
		err      error
	}{
		"higher version":    {document: Document{Kind: KindRules, Name: RulesName, Version: 7, Value: []byte("seven")}, accepted: true},
		"same version":      {document: Document{Kind: KindRules, Name: RulesName, Version: 5, Value: []byte("other")}},
		"lower version":     {document: Document{Kind: KindRules, Name: RulesName, Version: 4}},
		"bad value":         {document: Document{Kind: KindRules, Name: RulesName, Version: 6, Value: []byte("bad")}, err: ErrInvalid},
		"unregistered kind": {document: Document{Kind: "Other", Name: "x", Version: 1}, err: ErrUnknownKind},
		"too large":         {document: Document{Kind: KindRules, Name: RulesName, Version: 6, Value: make([]byte, MaxDocumentSize+1)}, err: ErrTooLarge},
		"version zero":      {document: Document{Kind: KindRules, Name: "new"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			store, _ := newStore()
			if _, err := store.Apply(held); err != nil {
				t.Fatal(err)
			}
			accepted, err := store.Apply(test.document)
			if accepted != test.accepted || !errors.Is(err, test.err) {
				t.Errorf("Apply = %t, %v, want %t, %v", accepted, err, test.accepted, test.err)
			}
			want := held
			if test.accepted {
				want = test.document
			}
			current, _ := store.Current(KindRules, RulesName)
			if diff := cmp.Diff(want, current); diff != "" {
				t.Errorf("document in force (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRejectionShowsInStatusUntilAHigherVersionIsInForce(t *testing.T) {
	store, _ := newStore()
	for version, value := range []string{1: "good", 2: "bad"} {
		_, _ = store.Apply(Document{Kind: KindRules, Name: RulesName, Version: uint64(version), Value: []byte(value)})
	}
	want := []DocumentStatus{{
		Kind: KindRules, Name: RulesName, Version: 1, Announced: 1,
		Rejected: &Rejection{Version: 2, Reason: "the value is bad"},
	}}
	ignoreTimes := cmpopts.IgnoreTypes(time.Time{})
	if diff := cmp.Diff(want, store.Status(), ignoreTimes); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	if _, err := store.Apply(Document{Kind: KindRules, Name: RulesName, Version: 3, Value: []byte("good")}); err != nil {
		t.Fatal(err)
	}
	want = []DocumentStatus{{Kind: KindRules, Name: RulesName, Version: 3, Announced: 3}}
	if diff := cmp.Diff(want, store.Status(), ignoreTimes); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

func TestVersionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, recordStore := newStore()
		var delivered []uint64
		store.Subscribe(KindRules, func(document Document) { delivered = append(delivered, document.Version) })
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			version := rapid.Uint64Range(0, 6).Draw(t, "version")
			value := rapid.SampledFrom([]string{"good", "bad"}).Draw(t, "value")
			accepted, _ := store.Apply(Document{Kind: KindRules, Name: RulesName, Version: version, Value: []byte(value)})
			if want := value == "good" && version > highest; accepted != want {
				t.Fatalf("Apply of version %d (%s) over %d = %t, want %t", version, value, highest, accepted, want)
			}
			if accepted {
				highest = version
			}
		}
		current, _ := store.Current(KindRules, RulesName)
		record, _ := recordStore.Get(swmember.TopicDocument, KindRules+"/"+RulesName)
		if current.Version != highest || record.Version != highest {
			t.Errorf("version in force %d, announced %d, want %d", current.Version, record.Version, highest)
		}
		for i := 1; i < len(delivered); i++ {
			if delivered[i] <= delivered[i-1] {
				t.Errorf("subscribers received the versions %v, want them to increase", delivered)
			}
		}
	})
}

func TestSubscriberReceivesDocumentsAlreadyInForce(t *testing.T) {
	store, _ := newStore()
	document := Document{Kind: KindRules, Name: RulesName, Version: 3, Value: []byte("x")}
	if _, err := store.Apply(document); err != nil {
		t.Fatal(err)
	}
	var received []Document
	store.Subscribe(KindRules, func(document Document) { received = append(received, document) })
	if diff := cmp.Diff([]Document{document}, received); diff != "" {
		t.Errorf("received (-want +got):\n%s", diff)
	}
}

// fetchCounter counts the fetches in flight, and never answers them.
type fetchCounter struct {
	running, maxRunning int
	total               int
}

func (fetchCounter *fetchCounter) View() *swmember.View {
	self := swmember.Member{Name: "vm-0", DataCentre: "dc-0"}
	return swmember.NewView(self, []swmember.Member{self, {Name: "vm-1", DataCentre: "dc-0"}})
}

func (fetchCounter *fetchCounter) Call(ctx context.Context, _ netip.AddrPort, _ swpeer.Method, _, _ any) error {
	fetchCounter.running++
	fetchCounter.total++
	fetchCounter.maxRunning = max(fetchCounter.maxRunning, fetchCounter.running)
	<-ctx.Done()
	fetchCounter.running--
	return ctx.Err()
}

func TestOnlyOnePullPerDocumentRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fetchCounter := &fetchCounter{}
		recordStore := swmember.NewRecordStore(swmember.RecordStoreConfig{})
		store := New(Config{Records: recordStore, Members: fetchCounter, Transport: fetchCounter, Seed: 1})
		store.RegisterKind(KindRules, nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		group := swgroup.New(ctx)
		group.Go(store.Run)
		for version := range uint64(50) {
			recordStore.Put(swmember.Record{Topic: swmember.TopicDocument, Key: KindRules + "/" + RulesName, Version: version + 1})
			time.Sleep(100 * time.Millisecond)
		}
		cancel()
		group.Wait()
		if fetchCounter.maxRunning != 1 {
			t.Errorf("%d fetches were in flight at the same time, want 1", fetchCounter.maxRunning)
		}
		if fetchCounter.total < 2 {
			t.Errorf("%d fetches ran, want at least 2, because the failed one is retried", fetchCounter.total)
		}
	})
}
