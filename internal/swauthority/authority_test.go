package swauthority

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// memoryStore holds one object; stale reads see it a second after it was made.
type memoryStore struct {
	mutex   sync.Mutex
	value   []byte
	made    time.Time
	creates int
	fails   int
}

func (store *memoryStore) GetObject(_ context.Context, _, _ string, stale bool) ([]byte, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.fails > 0 {
		store.fails--
		return nil, &swplatform.Error{Reason: swplatform.ErrUnavailable}
	}
	if store.value == nil || stale && time.Since(store.made) < time.Second {
		return nil, &swplatform.Error{Reason: swplatform.ErrNotFound}
	}
	return store.value, nil
}

func (store *memoryStore) CreateObject(_ context.Context, _, _ string, value []byte) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.creates++
	if store.value != nil {
		return &swplatform.Error{Reason: swplatform.ErrConflict}
	}
	store.value, store.made = value, time.Now()
	return nil
}

func TestVMsThatStartTogetherShareOneAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memoryStore{fails: 3}
		serials := make([]string, 9)
		var starting sync.WaitGroup
		for vm := range serials {
			starting.Go(func() {
				authority, err := LoadOrCreate(t.Context(), store)
				if err != nil {
					t.Error(err)
					return
				}
				serials[vm] = string(authority.Certificate().Raw)
			})
		}
		starting.Wait()
		for vm := range serials {
			if serials[vm] != serials[0] || serials[vm] == "" {
				t.Errorf("VM %d has another authority", vm)
			}
		}
	})
}

func TestVMsOfOneAuthorityTalkAndOthersDoNot(t *testing.T) {
	ours, err := New()
	if err != nil {
		t.Fatal(err)
	}
	value, err := ours.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := New()
	if err != nil {
		t.Fatal(err)
	}
	server := listen(t, ours, "server")
	swpeer.HandleCall(server, swpeer.MethodFollow, func(_ context.Context, peer string, request string) (string, error) {
		return peer + " asked " + request, nil
	})
	server.Serve()
	var reply string
	if err := listen(t, decoded, "friend").Call(t.Context(), server.Address(), swpeer.MethodFollow, "this", &reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("friend asked this", reply); diff != "" {
		t.Error("reply (-want +got):\n" + diff)
	}
	if err := listen(t, foreign, "stranger").Call(t.Context(), server.Address(), swpeer.MethodFollow, "this", &reply); err == nil {
		t.Error("a VM of another authority was answered")
	}
}

func listen(t *testing.T, authority *Authority, name string) *swpeer.Node {
	t.Helper()
	config, err := authority.TLS(name)
	if err != nil {
		t.Fatal(err)
	}
	node, err := swpeer.Listen(swpeer.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), TLS: config})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := node.Close(); err != nil {
			t.Error(err)
		}
	})
	return node
}
