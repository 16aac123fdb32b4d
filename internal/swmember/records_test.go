package swmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

var ignoreLayout = cmpopts.IgnoreFields(Record{}, "_")

func drawRecords(t *rapid.T) []Record {
	return rapid.SliceOf(rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Topic:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "topic"),
			Key:     rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key"),
			Version: rapid.Uint64Range(0, 4).Draw(t, "version"),
			Value:   rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 2).Draw(t, "value"),
		}
	})).Draw(t, "records")
}

func allRecords(recordStore *RecordStore) []Record {
	return append(recordStore.Records("a"), recordStore.Records("b")...)
}

func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		shuffled := append(append([]Record(nil), records...), records...)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		one, two := NewRecordStore(RecordStoreConfig{}), NewRecordStore(RecordStoreConfig{})
		one.merge("p", records)
		for _, record := range shuffled {
			two.merge("q", []Record{record})
		}
		if diff := cmp.Diff(allRecords(one), allRecords(two), ignoreLayout, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("record stores after the same records in another order (-one +two):\n%s", diff)
		}
		if one.digest() != two.digest() {
			t.Error("digests of equal record stores differ")
		}
		if again := one.merge("p", shuffled); len(again) != 0 {
			t.Errorf("records accepted a second time: %v", again)
		}
	})
}

func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recordStore := NewRecordStore(RecordStoreConfig{})
		highest := make(map[string]uint64)
		for _, record := range drawRecords(t) {
			recordStore.Put(record)
			key := record.Topic + "/" + record.Key
			highest[key] = max(highest[key], record.Version)
			held, ok := recordStore.Get(record.Topic, record.Key)
			if !ok || held.Version != highest[key] {
				t.Fatalf("%s is at version %d, want %d", key, held.Version, highest[key])
			}
		}
	})
}

func TestSynchronizationMakesRecordStoresEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := NewRecordStore(RecordStoreConfig{}), NewRecordStore(RecordStoreConfig{})
		one.merge("", drawRecords(t))
		two.merge("", drawRecords(t))
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		for range bucketCount {
			listed, summaries := two.summaries(one.digests(), limit)
			records, wanted := one.compare(listed, summaries)
			two.merge("one", records)
			one.merge("two", two.lookup(wanted))
		}
		if diff := cmp.Diff(allRecords(one), allRecords(two), ignoreLayout, cmpopts.EquateEmpty()); diff != "" {
			t.Errorf("record stores after synchronization (-one +two):\n%s", diff)
		}
	})
}

func TestRecordExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recordStore := NewRecordStore(RecordStoreConfig{})
		empty := recordStore.digest()
		recordStore.Put(Record{Topic: "t", Key: "k", Version: 1, Expires: 10 * time.Second})
		time.Sleep(4 * time.Second)
		held, ok := recordStore.Get("t", "k")
		if !ok || held.Expires != 6*time.Second {
			t.Errorf("after 4 s the record expires in %s, want 6s", held.Expires)
		}
		time.Sleep(6 * time.Second)
		if _, ok := recordStore.Get("t", "k"); ok {
			t.Error("the record is still returned after its expiry")
		}
		recordStore.removeExpired(time.Now())
		if recordStore.digest() != empty {
			t.Error("the digest still includes the expired record")
		}
	})
}

func TestPutRejectsRecordsOutOfBounds(t *testing.T) {
	recordStore := NewRecordStore(RecordStoreConfig{MaxRecords: 2})
	for i := range 2 {
		recordStore.Put(Record{Topic: "t", Key: fmt.Sprint(i)})
	}
	tests := map[string]struct {
		record Record
		want   bool
	}{
		"new key in a full topic":     {record: Record{Topic: "t", Key: "2"}, want: false},
		"new version of a stored key": {record: Record{Topic: "t", Key: "1", Version: 1}, want: true},
		"value that is too long":      {record: Record{Topic: "u", Key: "k", Value: make([]byte, maxValueSize+1)}, want: false},
		"no key":                      {record: Record{Topic: "u"}, want: false},
		"expiry in the past":          {record: Record{Topic: "u", Key: "k", Expires: -1}, want: false},
		"new key in another topic":    {record: Record{Topic: "v", Key: "k"}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := recordStore.Put(test.record); got != test.want {
				t.Errorf("Put = %t, want %t", got, test.want)
			}
		})
	}
}

func TestMessagesAreBounded(t *testing.T) {
	recordStore := NewRecordStore(RecordStoreConfig{})
	for i := range 1000 {
		recordStore.Put(Record{Topic: "t", Key: fmt.Sprint(i), Value: make([]byte, 500)})
	}
	sizeOf := func(records []Record) (size int) {
		for _, record := range records {
			size += record.size()
		}
		return size
	}
	if got := sizeOf(recordStore.piggyback("p")); got > maxPiggybackSize {
		t.Errorf("records of a probe take %d bytes, want at most %d", got, maxPiggybackSize)
	}
	records, _ := recordStore.compare(^uint64(0), nil)
	if got := sizeOf(records); got > maxMessageSize+maxValueSize {
		t.Errorf("records of a synchronization take %d bytes, want at most %d", got, maxMessageSize+maxValueSize)
	}
	if got := sizeOf(recordsFor(recordStore.takePushQueue(), "p")); got > maxMessageSize+maxValueSize {
		t.Errorf("pushed records take %d bytes, want at most %d", got, maxMessageSize+maxValueSize)
	}
}
