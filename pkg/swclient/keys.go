package swclient

import (
	"context"
	"sync"
	"time"
)

const (
	// expiryMargin is how long before its expiry a key is no longer used.
	expiryMargin = 10 * time.Second
	// clockDriftDivisor bounds the drift between two clocks: the time since they were compared, divided by clockDriftDivisor.
	clockDriftDivisor = 1000
	// startMarginDivisor sets how long before the deadline a run must start: the time left divided by startMarginDivisor, but
	// at most maxStartMargin.
	startMarginDivisor = 20
	maxStartMargin     = 50 * time.Millisecond
)

// key is a prefetched key.
type key struct {
	text string
	// issuerClock is a lower bound of the issuer's clock at the local time fetchedAt.
	issuerClock time.Duration
	fetchedAt   time.Time
	expiresAt   time.Time
}

// startBefore converts the local time deadline to the issuer's clock. It subtracts the possible clock drift, and a margin for
// the run to reach the backend server.
func (key *key) startBefore(deadline time.Time) Duration {
	drift := time.Since(key.fetchedAt) / clockDriftDivisor
	margin := min(time.Until(deadline)/startMarginDivisor, maxStartMargin)
	return Duration(max(key.issuerClock+deadline.Sub(key.fetchedAt)-drift-margin, 1))
}

// keyCache holds prefetched keys.
type keyCache struct {
	mutex sync.Mutex
	keys  []key
}

// take removes and returns a key that does not expire soon.
func (cache *keyCache) take() (key, bool) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	for len(cache.keys) > 0 {
		last := len(cache.keys) - 1
		candidate := cache.keys[last]
		cache.keys = cache.keys[:last]
		if time.Until(candidate.expiresAt) > expiryMargin {
			return candidate, true
		}
	}
	return key{}, false
}

func (cache *keyCache) put(keys []key) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cache.keys = append(cache.keys, keys...)
}

// clear removes all keys, because their issuer may be gone.
func (cache *keyCache) clear() {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cache.keys = nil
}

// takeKey returns a key from the cache, and fetches more keys if there is none.
func (client *Client) takeKey(ctx context.Context) (key, error) {
	for attempt := 0; ; attempt++ {
		taken, ok := client.keys.take()
		if ok {
			return taken, nil
		}
		err := client.fetchKeys(ctx)
		if err == nil {
			continue
		}
		if !retryable(err) || !waitToResend(ctx, attempt, err) {
			return key{}, err
		}
	}
}

// fetchKeys adds keys from an issuer to the cache. It may be repeated, because unused keys take no memory at their issuer.
func (client *Client) fetchKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, client.config.ResendAfter)
	defer cancel()
	var reply KeysReply
	request := KeysRequest{Caller: client.config.Caller, Count: client.config.KeysAhead}
	if err := client.post(ctx, PathKeys, &request, &reply); err != nil {
		return err
	}
	if err := reply.Err(); err != nil {
		return err
	}
	fetchedAt := time.Now()
	keys := make([]key, len(reply.Keys))
	for i, text := range reply.Keys {
		keys[i] = key{
			text:        text,
			issuerClock: time.Duration(reply.Clock),
			fetchedAt:   fetchedAt,
			expiresAt:   fetchedAt.Add(time.Duration(reply.Expires)),
		}
	}
	client.keys.put(keys)
	return nil
}
