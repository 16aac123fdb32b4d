package swfeed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// suspect records until when an upstream is skipped because it did not answer or does not reach the store. backoff is zero in the
// second case.
type suspect struct {
	until   time.Time
	backoff time.Duration
}

// skipStaleUpstream skips an upstream for a while because it does not reach the store. Other VMs may reach the store: it may
// refuse some VMs and serve others.
func (feed *Feed) skipStaleUpstream(peer Peer, overdue time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	now := time.Now()
	feed.failedPolls++
	feed.suspects[peer.Name] = suspect{until: now.Add(staleUpstreamBackoff)}
	feed.config.Log.Warn().Str("Peer", peer.Name).Dur("Overdue", overdue).Msg("the polled VM does not reach the store")
}

// shouldProbeStore reports whether this VM should probe the store because its upstreams do not answer or do not reach it, or because
// its copies have not been confirmed for too long: upstreams that fail one after the other each take time to be noticed. A VM that has
// no configuration yet follows the store immediately instead.
func (feed *Feed) shouldProbeStore(now time.Time) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	overdue := now.Sub(feed.expectedAt)
	unconfirmed := !feed.expectedAt.IsZero() && overdue >= maxUnconfirmed && !now.Before(feed.nextProbe)
	if feed.failedPolls < maxFailedPolls && !unconfirmed || now.Before(feed.directUntil) {
		return false
	}
	if feed.failedPolls < maxFailedPolls {
		feed.config.Log.Warn().Dur("Overdue", overdue).Msg("no polled VM has confirmed the copies in time; listing the store")
	}
	if feed.caches[0].currentPosition().IsZero() {
		feed.directUntil, feed.failedPolls = now.Add(reviewInterval/2), 0
		return false
	}
	return true
}

// probeStore lists the first kind from the store, unless the next probe is not due yet, and then the other kinds that track
// reachability. Probes with backoff limit the load when the store is down for all VMs: each VM then probes it seldom, and polls its
// upstreams again once they reach it. When the store refuses only the upstreams, two consecutive successful probes make this VM
// follow the store.
func (feed *Feed) probeStore(ctx context.Context) {
	feed.mutex.Lock()
	wait := time.Until(feed.nextProbe)
	// Without a failed probe, only the upstreams have lost the store, and objects that it lacks are gone.
	afterOutage := feed.probeBackoff > 0
	feed.mutex.Unlock()
	if wait > 0 {
		_ = swtimer.Wait(ctx, min(wait, probeConfirmDelay))
		feed.retryUpstreams()
		return
	}
	err := feed.listTrackedKinds(ctx, afterOutage)
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	now := time.Now()
	if err != nil {
		feed.probeSuccesses = 0
		feed.probeBackoff = min(maxProbeBackoff, max(minProbeBackoff, 2*feed.probeBackoff))
		feed.nextProbe = now.Add(time.Duration((0.5 + rand.Float64()) * float64(feed.probeBackoff)))
		return
	}
	feed.probeSuccesses++
	feed.nextProbe = now.Add(probeConfirmDelay)
	feed.expectedAt = feed.nextResponse(now)
	if feed.probeSuccesses > 1 {
		feed.probeSuccesses, feed.failedPolls = 0, 0
		feed.directUntil = now.Add(directDuration)
		feed.config.Log.Warn().Msg("the store answers this VM but not its upstreams")
	}
}

// nextResponse returns when the store responds next if it has just responded for all kinds that track reachability.
func (feed *Feed) nextResponse(now time.Time) time.Time {
	soonest := now.Add(neverResponded)
	for i := range feed.config.Kinds {
		kind := &feed.config.Kinds[i]
		if next := now.Add(kind.WatchWait); kind.TracksReachability && next.Before(soonest) {
			soonest = next
		}
	}
	return soonest
}

// recordConfirmation records how overdue the store's next response is, at this VM or its upstream. The caller holds the mutex.
func (feed *Feed) recordConfirmation(now time.Time, overdue time.Duration) {
	if expectedAt := now.Add(-overdue); overdue < neverResponded && expectedAt.After(feed.expectedAt) {
		feed.expectedAt = expectedAt
	}
}

// listTrackedKinds lists the kinds that track reachability from the store, until a call fails. afterOutage is set if the store may just
// have recovered.
func (feed *Feed) listTrackedKinds(ctx context.Context, afterOutage bool) error {
	for i := range feed.config.Kinds {
		if !feed.config.Kinds[i].TracksReachability {
			continue
		}
		listCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		objects, position, err := feed.config.Source.ListObjects(listCtx, feed.config.Kinds[i].Name)
		cancel()
		if err != nil {
			return err
		}
		change := swfollow.Change{Full: true, Objects: objects, Position: position}
		if afterOutage {
			change.RecoveredAt = time.Now()
		}
		feed.receive(i, change)
	}
	return nil
}

// retryUpstreams lets this VM poll its stale upstreams again. The next failed poll leads back to probing the store.
func (feed *Feed) retryUpstreams() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.failedPolls = maxFailedPolls - 1
	for name, known := range feed.suspects {
		if known.backoff == 0 {
			delete(feed.suspects, name)
		}
	}
}

// recordPollFailure skips an upstream that did not answer, with exponential backoff.
func (feed *Feed) recordPollFailure(peer Peer, err error) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.failedPolls++
	known := feed.suspects[peer.Name]
	known.backoff = min(maxSuspectBackoff, max(minSuspectBackoff, 2*known.backoff))
	known.until = time.Now().Add(known.backoff)
	feed.suspects[peer.Name] = known
	feed.config.Log.Warn().Err(err).Str("Peer", peer.Name).Dur("PassedOver", known.backoff).Msg("the polled VM does not answer")
}

func (feed *Feed) recordPollSuccess(peer Peer, overdue time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.recordConfirmation(time.Now(), overdue)
	delete(feed.suspects, peer.Name)
	feed.failedPolls, feed.probeSuccesses, feed.probeBackoff = 0, 0, 0
}
