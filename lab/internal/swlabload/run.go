package swlabload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/pkg/swclient"
)

const (
	// keyBatch is the number of keys taken at once.
	keysPerFetch = 32
	// keyTimeout bounds the taking of keys.
	keyTimeout = 2 * time.Second
	// runsEach is how often each run is sent under its key.
	sendsPerRun = 2
)

// errNoKey says that no VM gave a key.
var errNoKey = errors.New("no key for a run")

// keyStore holds keys that were taken ahead.
type keyCache struct {
	mutex sync.Mutex
	keys  []string
}

// take returns a key, or nothing when the VM gives none.
func (sender *sender) nextIssuedKey(ctx context.Context) string {
	store := &sender.keys
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if len(store.keys) == 0 {
		ctx, cancel := context.WithTimeout(ctx, keyTimeout)
		defer cancel()
		var reply swclient.KeysReply
		wanted := swclient.KeysRequest{Caller: sender.stream.Caller, Count: keysPerFetch}
		if _, err := sender.config.Balancer.Post(ctx, sender.config.Balancer.Pick(), swclient.PathKeys, wanted, &reply); err != nil {
			return ""
		}
		store.keys = reply.Keys
	}
	if len(store.keys) == 0 {
		return ""
	}
	key := store.keys[0]
	store.keys = store.keys[1:]
	return key
}

// key returns the key for a run, which is the caller's own or one of the tier's.
func (sender *sender) nextKey(ctx context.Context, number int64) string {
	if sender.stream.CallerKeys {
		return fmt.Sprintf("%s-%d-%d", sender.stream.Caller, sender.config.Seed, number)
	}
	return sender.nextIssuedKey(ctx)
}

// sendRun sends non-idempotent work several times under one key, through the VMs that the balancer picks. The first
// answer counts in the tally; all are observed.
func (sender *sender) sendRun(ctx context.Context, number int64, result Result) {
	request := swclient.RunRequest{SearchRequest: sender.newRequest(number, 0, &result)}
	request.Key = sender.nextKey(ctx, number)
	result.Key = request.Key
	if request.Key == "" {
		result.Err = errNoKey
		result.Latency = time.Since(result.DueAt)
		sender.finish(result)
		return
	}
	for i := range sendsPerRun {
		result.FirstSend, result.LastSend = i == 0, i == sendsPerRun-1
		sender.post(ctx, swclient.PathRuns, request, &result)
		if result.FirstSend {
			sender.finish(result)
			continue
		}
		sender.observe(result)
	}
}
