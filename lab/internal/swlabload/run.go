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
	// keysPerFetch is the number of keys requested at once.
	keysPerFetch = 32
	// keyTimeout bounds a request for keys.
	keyTimeout = 2 * time.Second
	// sendsPerRun is how often each run is sent under its key.
	sendsPerRun = 2
)

// errNoKey is the result of a run for which no VM issued a key.
var errNoKey = errors.New("no VM issued a key for the run")

// keyCache holds issued keys that have not been used yet.
type keyCache struct {
	mutex sync.Mutex
	keys  []string
}

// nextIssuedKey returns an unused issued key. It fetches more when there is none, and returns an empty string when that
// fails.
func (sender *sender) nextIssuedKey(ctx context.Context) string {
	cache := &sender.keys
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if len(cache.keys) == 0 {
		ctx, cancel := context.WithTimeout(ctx, keyTimeout)
		defer cancel()
		var reply swclient.KeysReply
		request := swclient.KeysRequest{Caller: sender.stream.Caller, Count: keysPerFetch}
		if _, err := sender.config.Balancer.Post(ctx, sender.config.Balancer.Pick(), swclient.PathKeys, request, &reply); err != nil {
			return ""
		}
		cache.keys = reply.Keys
	}
	if len(cache.keys) == 0 {
		return ""
	}
	key := cache.keys[0]
	cache.keys = cache.keys[1:]
	return key
}

// nextKey returns the key for a run: one that the caller chooses or one that a VM issued, as Stream.CallerKeys says.
func (sender *sender) nextKey(ctx context.Context, number int64) string {
	if sender.stream.CallerKeys {
		return fmt.Sprintf("%s-%d-%d", sender.stream.Caller, sender.config.Seed, number)
	}
	return sender.nextIssuedKey(ctx)
}

// sendRun sends non-idempotent work sendsPerRun times under one key, through the VMs that the balancer picks. Only the first
// answer counts in the totals of the stream. Config.OnResult is called with all answers.
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
		sender.reportResult(result)
	}
}
