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

// fakeStore stores one object in memory. Stale reads return it from one second after its creation.
type fakeStore struct {
	mutex        sync.Mutex
	value        []byte
	createdAt    time.Time
	creates      int
	failingReads int
}

func (store *fakeStore) GetObject(_ context.Context, _, _ string, stale bool) ([]byte, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.failingReads > 0 {
		store.failingReads--
		return nil, &swplatform.Error{Reason: swplatform.ErrUnavailable}
	}
	if store.value == nil || stale && time.Since(store.createdAt) < time.Second {
		return nil, &swplatform.Error{Reason: swplatform.ErrNotFound}
	}
	return store.value, nil
}

func (store *fakeStore) CreateObject(_ context.Context, _, _ string, value []byte) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.creates++
	if store.value != nil {
		return &swplatform.Error{Reason: swplatform.ErrConflict}
	}
	store.value, store.createdAt = value, time.Now()
	return nil
}

func TestVMsThatStartTogetherShareOneAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{failingReads: 3}
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

// TestAuthorityLostByTheStoreStaysTheOnlyOne guards against VMs that can't communicate for the rest of their lives: the store came back
// from a copy from before the authority was created, and VMs that started afterwards created another one.
func TestAuthorityLostByTheStoreStaysTheOnlyOne(t *testing.T) {
	for name, lastRestore := range map[string]time.Duration{
		"restored at once":              0,
		"restored while VMs start":      300 * time.Millisecond,
		"restored after VMs have begun": 2 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{}
				held, err := LoadOrCreate(t.Context(), store)
				if err != nil {
					t.Fatal(err)
				}
				store.value = nil
				authorities := make([]*Authority, 8)
				var vms sync.WaitGroup
				for vm := range authorities {
					vms.Go(func() {
						var err error
						if vm < 2 {
							authorities[vm], err = LoadOrCreate(t.Context(), store)
						} else {
							time.Sleep(lastRestore * time.Duration(vm) / time.Duration(len(authorities)))
							authorities[vm], err = Restore(t.Context(), store, held)
						}
						if err != nil {
							t.Error(err)
						}
					})
				}
				vms.Wait()
				for vm, authority := range authorities {
					if !authority.Equal(authorities[0]) {
						t.Errorf("VM %d has another authority", vm)
					}
				}
				if lastRestore == 0 && !authorities[0].Equal(held) {
					t.Error("the VMs have another authority than before")
				}
			})
		})
	}
}

func TestConnectionsRequireTheSameAuthority(t *testing.T) {
	authority, err := New()
	if err != nil {
		t.Fatal(err)
	}
	value, err := authority.Encode()
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
	server := listen(t, authority, "server")
	swpeer.HandleCall(server, swpeer.MethodFollow, func(_ context.Context, peer string, request string) (string, error) {
		return peer + " asked " + request, nil
	})
	server.Serve()
	var reply string
	if err := listen(t, decoded, "client").Call(t.Context(), server.Address(), swpeer.MethodFollow, "this", &reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("client asked this", reply); diff != "" {
		t.Error("reply (-want +got):\n" + diff)
	}
	if err := listen(t, foreign, "foreign").Call(t.Context(), server.Address(), swpeer.MethodFollow, "this", &reply); err == nil {
		t.Error("a VM with a certificate of another authority got an answer")
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
