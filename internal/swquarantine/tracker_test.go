package swquarantine

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	crashing uint64 = 0xbad
	healthy  uint64 = 0x900d
)

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// fakeStores holds the record stores of several VMs. A record reaches the other stores after a delay.
type fakeStores struct {
	delay time.Duration
	mutex sync.Mutex
	all   []*fakeStore
}

type fakeStore struct {
	stores      *fakeStores
	records     map[string]swmember.Record
	subscribers []func(swmember.Record)
}

func (stores *fakeStores) add() *fakeStore {
	store := &fakeStore{stores: stores, records: make(map[string]swmember.Record)}
	stores.mutex.Lock()
	defer stores.mutex.Unlock()
	stores.all = append(stores.all, store)
	return store
}

func (store *fakeStore) Put(record swmember.Record) bool {
	store.stores.mutex.Lock()
	all := store.stores.all
	store.stores.mutex.Unlock()
	for _, other := range all {
		if other == store {
			other.apply(record)
			continue
		}
		time.AfterFunc(store.stores.delay, func() { other.apply(record) })
	}
	return true
}

func (store *fakeStore) apply(record swmember.Record) {
	store.stores.mutex.Lock()
	present, ok := store.records[record.Key]
	accepted := !ok || record.Version > present.Version
	if accepted {
		store.records[record.Key] = record
	}
	subscribers := store.subscribers
	store.stores.mutex.Unlock()
	if !accepted {
		return
	}
	for _, receive := range subscribers {
		receive(record)
	}
}

func (store *fakeStore) Get(_, key string) (swmember.Record, bool) {
	store.stores.mutex.Lock()
	defer store.stores.mutex.Unlock()
	record, ok := store.records[key]
	return record, ok
}

func (store *fakeStore) Records(string) []swmember.Record {
	store.stores.mutex.Lock()
	defer store.stores.mutex.Unlock()
	var records []swmember.Record
	for _, record := range store.records {
		records = append(records, record)
	}
	return records
}

func (store *fakeStore) Subscribe(_ string, receive func(swmember.Record)) {
	store.stores.mutex.Lock()
	defer store.stores.mutex.Unlock()
	store.subscribers = append(store.subscribers, receive)
}

func newTrackers(stores *fakeStores, count int) []*Tracker {
	trackers := make([]*Tracker, count)
	for i := range trackers {
		trackers[i] = New(Config{Name: fmt.Sprint("vm", i), Records: stores.add()})
	}
	return trackers
}

func TestTwoCrashesQuarantineAtAllVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackers := newTrackers(&fakeStores{delay: 100 * time.Millisecond}, 3)
		check(t, "before", Allowed, trackers[2].Check(crashing, false))
		trackers[0].RecordCrash("s1", []uint64{crashing})
		check(t, "after one crash", Canary, trackers[0].Check(crashing, false))
		check(t, "no retry", false, trackers[0].MayRetry(crashing))
		trackers[1].RecordCrash("s2", []uint64{crashing})
		time.Sleep(time.Second)
		for _, tracker := range trackers {
			check(t, "after two crashes", Refused, tracker.Check(crashing, false))
			check(t, "released by a rule", Allowed, tracker.Check(crashing, true))
		}
		suspects := []Suspect{{Fingerprint: "0000000000000bad", Quarantined: true, Deaths: 2, Score: 1.904, Since: 900 * time.Millisecond}}
		check(t, "status", suspects, trackers[2].Suspects())
	})
}

func TestNewVMReadsQuarantineFromRecordStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stores := &fakeStores{}
		first := newTrackers(stores, 1)[0]
		late := stores.add()
		first.RecordCrash("s1", []uint64{crashing})
		first.RecordCrash("s2", []uint64{crashing})
		time.Sleep(time.Second)
		check(t, "verdict", Refused, New(Config{Name: "late", Records: late}).Check(crashing, false))
	})
}

func TestHealthyRequestsAreNotQuarantined(t *testing.T) {
	tests := []struct {
		name string
		// events records crashes and answers; the fingerprint that must not be quarantined is healthy.
		events func(tracker *Tracker)
		// crashing is the expected verdict on the crashing fingerprint.
		crashing Verdict
	}{
		{"a known request in flight whenever another crashes a server", func(tracker *Tracker) {
			tracker.RecordAnswer(healthy)
			for i := range 10 {
				tracker.RecordCrash(fmt.Sprint("s", i), []uint64{crashing, healthy})
			}
		}, Refused},
		{"an unknown request in flight during one crashing fan-out", func(tracker *Tracker) {
			for i := range 10 {
				tracker.RecordCrash(fmt.Sprint("s", i), []uint64{crashing, healthy})
			}
			tracker.RecordCrash("s11", []uint64{crashing})
		}, Refused},
		{"an unknown request that completes when it is resent", func(tracker *Tracker) {
			for i := range 5 {
				tracker.RecordCrash(fmt.Sprint("s", i), []uint64{crashing, healthy})
				time.Sleep(episodeWindow)
				tracker.RecordCompletion(healthy)
			}
		}, Refused},
		{"a server that crashes repeatedly on its own", func(tracker *Tracker) {
			for range 20 {
				tracker.RecordAnswer(healthy)
				tracker.RecordCrash("s1", []uint64{healthy})
				time.Sleep(time.Minute)
				tracker.RecordCompletion(healthy)
			}
		}, Allowed},
		{"two servers that crash on their own at once", func(tracker *Tracker) {
			tracker.RecordAnswer(healthy)
			tracker.RecordCrash("s1", []uint64{healthy})
			tracker.RecordCrash("s2", []uint64{healthy})
		}, Canary},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := New(Config{Name: "vm"})
				test.events(tracker)
				check(t, "healthy request quarantined", false, tracker.Check(healthy, false) == Refused)
				check(t, "healthy request may retry", true, tracker.MayRetry(healthy))
				check(t, "crashing request", test.crashing, tracker.Check(crashing, false))
			})
		})
	}
}

func TestCrashesOfOneServerDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{Name: "vm"})
		for range 2 {
			tracker.RecordCrash("s1", []uint64{healthy})
			time.Sleep(time.Minute)
		}
		check(t, "verdict", Canary, tracker.Check(healthy, false))
	})
}

func TestCompletionRefutesEvidenceOfOtherVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackers := newTrackers(&fakeStores{}, 3)
		trackers[0].RecordCrash("s1", []uint64{healthy})
		time.Sleep(time.Second)
		trackers[1].RecordCompletion(healthy)
		time.Sleep(time.Second)
		trackers[2].RecordCrash("s2", []uint64{healthy})
		time.Sleep(time.Second)
		for _, tracker := range trackers {
			check(t, "verdict", Canary, tracker.Check(healthy, false))
			check(t, "score", 0.952, tracker.Suspects()[0].Score)
		}
	})
}

func TestUnknownRequestsAreCanariesAfterRecentCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		trackers := newTrackers(&fakeStores{}, 2)
		trackers[1].RecordCompletion(healthy)
		trackers[0].RecordCrash("s1", []uint64{crashing})
		time.Sleep(time.Second)
		check(t, "unknown request", Canary, trackers[1].Check(7, false))
		check(t, "known request", Allowed, trackers[1].Check(healthy, false))
		time.Sleep(defaultCanaryWindow)
		check(t, "unknown request later", Allowed, trackers[1].Check(7, false))
	})
}

func TestQuarantineEndsWithOneTrial(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			trackers := newTrackers(&fakeStores{delay: 50 * time.Millisecond}, 9)
			trackers[0].RecordCrash("s1", []uint64{crashing})
			trackers[0].RecordCrash("s2", []uint64{crashing})
			trials, after := 0, Refused
			for range 2 * defaultQuarantineTime / time.Second {
				time.Sleep(time.Second)
				for _, tracker := range trackers {
					after = tracker.Check(crashing, false)
					if after != Canary || trials > 0 {
						continue
					}
					trials++
					if crashes {
						tracker.RecordCrash("s3", []uint64{crashing})
					} else {
						tracker.RecordCompletion(crashing)
					}
				}
			}
			check(t, "trials", 1, trials)
			want := Allowed
			if crashes {
				want = Refused
			}
			check(t, "after the trial", want, after)
		})
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{Name: "vm", MaxSuspects: 10})
		tracker.RecordCrash("s1", []uint64{crashing})
		tracker.RecordCrash("s2", []uint64{crashing})
		for i := range uint64(100) {
			tracker.RecordCrash("s3", []uint64{1 << 20 * (i + 1)})
		}
		check(t, "suspects", 10, len(tracker.suspects))
		check(t, "quarantined stays", Refused, tracker.Check(crashing, false))
	})
}

func TestKnownSetIsBoundedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := newKnownSet(time.Minute, 64)
		known.add(1)
		time.Sleep(time.Minute)
		check(t, "in the next generation", true, known.has(1))
		time.Sleep(time.Minute)
		check(t, "two generations later", false, known.has(1))
		for i := range uint64(10000) {
			known.add(i)
		}
		kept := 0
		for i := range uint64(10000) {
			if known.has(i) {
				kept++
			}
		}
		check(t, "bounded", true, kept <= 64)
	})
}

func ExampleFingerprint() {
	first := Fingerprint("balance-check", "ledger", "club:17  month:11")
	second := Fingerprint("balance-check", "ledger", " club:17 month:11")
	other := Fingerprint("balance-check", "ledger", "club:17", "month:11")
	fmt.Println(FormatFingerprint(first), first == second, first == other)
	// Output: 466c5ad656a9c502 true false
}
