package swclient

import (
	"context"
	"sync"
	"time"
)

const (
	// expiryMargin is how long before its expiry a key is no longer used.
	expiryMargin = 10 * time.Second
	// driftDivisor bounds the drift between two clocks: one part in so many of the time since they were compared.
	driftDivisor = 1000
	// startMarginDivisor is the part of the time left by which a run must begin before the deadline, up to maxStartMargin.
	startMarginDivisor = 20
	maxStartMargin     = 50 * time.Millisecond
)

// key is a key taken ahead.
type key struct {
	text string
	// clock is what the issuer's clock had at least reached at the local time taken.
	clock   time.Duration
	taken   time.Time
	expires time.Time
}

// startBefore returns a time on the issuer's clock that is a margin before the local time deadline. The margin is for a run
// to reach the backend server.
func (key *key) startBefore(deadline time.Time) Duration {
	drift := time.Since(key.taken) / driftDivisor
	margin := min(time.Until(deadline)/startMarginDivisor, maxStartMargin)
	return Duration(max(key.clock+deadline.Sub(key.taken)-drift-margin, 1))
}

// keyReserve holds keys taken ahead.
type keyReserve struct {
	mutex sync.Mutex
	keys  []key
}

// take removes and returns a key that does not expire soon.
func (reserve *keyReserve) take() (key, bool) {
	reserve.mutex.Lock()
	defer reserve.mutex.Unlock()
	for len(reserve.keys) > 0 {
		last := len(reserve.keys) - 1
		taken := reserve.keys[last]
		reserve.keys = reserve.keys[:last]
		if time.Until(taken.expires) > expiryMargin {
			return taken, true
		}
	}
	return key{}, false
}

func (reserve *keyReserve) put(keys []key) {
	reserve.mutex.Lock()
	defer reserve.mutex.Unlock()
	reserve.keys = append(reserve.keys, keys...)
}

// drop forgets all keys, as their issuer may be gone.
func (reserve *keyReserve) drop() {
	reserve.mutex.Lock()
	defer reserve.mutex.Unlock()
	reserve.keys = nil
}

// takeKey returns a key from the reserve, filling it when empty.
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
		if !retryable(err) || !wait(ctx, attempt, err) {
			return key{}, err
		}
	}
}

// fetchKeys fills the reserve. Asking again is harmless: keys that no one uses take no memory at their issuer.
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
	taken := time.Now()
	keys := make([]key, len(reply.Keys))
	for i, text := range reply.Keys {
		keys[i] = key{
			text:    text,
			clock:   time.Duration(reply.Clock),
			taken:   taken,
			expires: taken.Add(time.Duration(reply.Expires)),
		}
	}
	client.keys.put(keys)
	return nil
}
