package swrecord

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

var errStoreDown = errors.New("the store is down")

// fakeWriter fails a number of writes and calls onPut after each that succeeds.
type fakeWriter struct {
	failures int
	onPut    func()
	puts     int
}

func (fakeWriter *fakeWriter) PutObject(context.Context, string, string, []byte) error {
	if fakeWriter.failures > 0 {
		fakeWriter.failures--
		return errStoreDown
	}
	fakeWriter.puts++
	if fakeWriter.onPut != nil {
		fakeWriter.onPut()
	}
	return nil
}

func (*fakeWriter) DeleteObject(context.Context, string, string) error { return nil }

func newTestStore(t *testing.T, writer Writer) *Store {
	group := swgroup.New(context.Background())
	t.Cleanup(group.Stop)
	return New(Config{Writer: writer, Group: group, Log: zerolog.Nop()})
}

func TestFirstVersionOfARecordIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &fakeWriter{}
		newTestStore(t, writer).Put(swmember.Record{Topic: "topic", Key: "key", Version: 0})
		synctest.Wait()
		if diff := cmp.Diff(1, writer.puts); diff != "" {
			t.Error("writes (-want +got):\n" + diff)
		}
	})
}

// TestSuccessfulWritesAreNoFailedAttempts replaces a record while each of its versions is written, more often than a write may
// fail, and then lets the store fail for a moment.
func TestSuccessfulWritesAreNoFailedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const versions = 3 * maxWriteAttempts
		writer := &fakeWriter{}
		store := newTestStore(t, writer)
		version := uint64(1)
		writer.onPut = func() {
			if version == versions-1 {
				writer.failures = 2
			}
			if version < versions {
				version++
				store.Put(swmember.Record{Topic: "topic", Key: "key", Version: version})
			}
		}
		store.Put(swmember.Record{Topic: "topic", Key: "key", Version: version})
		time.Sleep(time.Minute)
		synctest.Wait()
		if diff := cmp.Diff(versions, writer.puts); diff != "" {
			t.Error("writes (-want +got):\n" + diff)
		}
	})
}

// TestDeletedRecordsAreForgotten guards against records that stay at the other VMs once their VM has deleted them.
func TestDeletedRecordsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestStore(t, &fakeWriter{failures: 1})
		receive := func(full bool, objects ...swplatform.Object) {
			store.Receive(swfollow.Change{Full: full, Objects: objects})
		}
		object := func(key string) swplatform.Object {
			value, err := json.Marshal(swmember.Record{Topic: "topic", Key: key, Version: 1})
			if err != nil {
				t.Fatal(err)
			}
			return swplatform.Object{Name: objectName("topic", key), Value: value}
		}
		receive(false, object("a"), object("b"), object("c"))
		store.Put(swmember.Record{Topic: "topic", Key: "own", Version: 1})
		synctest.Wait()
		receive(false, swplatform.Object{Name: objectName("topic", "a"), Deleted: true})
		receive(true, object("c"))
		held := make(map[string]bool)
		for _, record := range store.Records("topic") {
			held[record.Key] = true
		}
		if diff := cmp.Diff(map[string]bool{"c": true, "own": true}, held); diff != "" {
			t.Error("records, of which one is not written yet (-want +got):\n" + diff)
		}
	})
}

// TestRecordsLostByTheStoreAreWrittenAgain guards against crash evidence that VMs which start later never see, because the store came back
// from a copy from before it was written.
func TestRecordsLostByTheStoreAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lifetime = time.Minute
		writer := &fakeWriter{}
		store := newTestStore(t, writer)
		listing := func(era uint64, records ...swmember.Record) {
			change := swfollow.Change{Full: true, Position: swplatform.Position{Era: era, Revision: 1}}
			for _, record := range records {
				value, err := json.Marshal(record)
				if err != nil {
					t.Fatal(err)
				}
				change.Objects = append(change.Objects, swplatform.Object{Name: objectName(record.Topic, record.Key), Value: value})
			}
			store.Receive(change)
		}
		former := swmember.Record{Topic: "topic", Key: "own", Version: 1, Expires: lifetime}
		latest := swmember.Record{Topic: "topic", Key: "own", Version: 2, Expires: lifetime}
		other := swmember.Record{Topic: "topic", Key: "other", Version: 1}
		store.Put(latest)
		synctest.Wait()
		for i, step := range []struct {
			era     uint64
			records []swmember.Record
			puts    int
		}{
			{1, []swmember.Record{latest, other}, 1},
			{2, []swmember.Record{other}, 2},
			{2, []swmember.Record{latest, other}, 2},
			{3, []swmember.Record{former}, 3},
		} {
			listing(step.era, step.records...)
			time.Sleep(2 * rewriteSpread)
			synctest.Wait()
			if diff := cmp.Diff(step.puts, writer.puts); diff != "" {
				t.Errorf("writes after step %d (-want +got):\n%s", i, diff)
			}
		}
		if held, _ := store.Get("topic", "own"); held.Version != latest.Version {
			t.Errorf("version %d is held, want %d", held.Version, latest.Version)
		}
		time.Sleep(lifetime)
		synctest.Wait()
		listing(4)
		time.Sleep(2 * rewriteSpread)
		synctest.Wait()
		if diff := cmp.Diff(3, writer.puts); diff != "" {
			t.Error("writes after the record has expired (-want +got):\n" + diff)
		}
	})
}
