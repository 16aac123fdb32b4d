package swfeed

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// followStore follows the store until an upstream can be polled again. The other kinds start after the store's first response
// for the first kind, so that a store that is down gets few calls.
func (feed *Feed) followStore(ctx context.Context) {
	group := swgroup.New(ctx)
	defer feed.clearResponses()
	defer group.Stop()
	var once sync.Once
	responded := make(chan struct{})
	followers := make([]*swfollow.Follower, len(feed.config.Kinds))
	for i := range feed.config.Kinds {
		kind := &feed.config.Kinds[i]
		followers[i] = swfollow.NewFollower(swfollow.FollowerConfig{
			Source: feed.config.Source, Kind: kind.Name, WatchWait: kind.WatchWait, LapseAfter: feed.config.LapseAfter,
			Log:     feed.config.Log,
			Receive: func(change swfollow.Change) { feed.receive(i, change) },
			OnResponse: func(now time.Time) {
				feed.recordResponse(i, now)
				once.Do(func() { close(responded) })
			},
		})
	}
	feed.setFollowers(followers)
	defer feed.setFollowers(nil)
	for i, follower := range followers {
		group.Go(func(ctx context.Context) {
			if i > 0 {
				select {
				case <-responded:
				case <-ctx.Done():
					return
				}
			}
			follower.Run(ctx)
		})
	}
	for swtimer.Wait(ctx, reviewInterval) == nil {
		if _, found := feed.chooseUpstream(time.Now()); found {
			return
		}
	}
}

// poll polls a VM once for changes.
func (feed *Feed) poll(ctx context.Context, peer Peer) {
	wait, timeout := feed.pollTimeouts(time.Now())
	request := FollowRequest{Wait: wait, Positions: make([]swplatform.Position, len(feed.caches)), Era: feed.currentEra()}
	for i, cache := range feed.caches {
		request.Positions[i] = cache.currentPosition()
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	feed.mutex.Lock()
	feed.cancelPoll = cancel
	feed.mutex.Unlock()
	var reply FollowReply
	err := feed.config.Transport.Call(callCtx, peer.Address, swpeer.MethodFollow, &request, &reply)
	if errors.Is(callCtx.Err(), context.Canceled) {
		return
	}
	if err == nil && len(reply.Changes) != len(feed.caches) {
		err = errors.Errorf("reply with %d kinds of objects, want %d", len(reply.Changes), len(feed.caches))
	}
	if err != nil {
		feed.recordPollFailure(peer, err)
		return
	}
	now := time.Now()
	for i := range reply.Changes {
		if reply.Changes[i].Position.IsZero() {
			continue
		}
		change, err := reply.Changes[i].decode(feed.config.Kinds[i].Name, now)
		if err != nil {
			feed.recordPollFailure(peer, err)
			return
		}
		feed.receive(i, change)
	}
	if reply.Overdue > maxOverdue {
		feed.skipStaleUpstream(peer, reply.Overdue)
		return
	}
	feed.recordPollSuccess(peer, reply.Overdue)
}

// pollTimeouts returns how long the next poll waits for changes, and how long the call may take. A call ends when this VM would list the
// store itself.
func (feed *Feed) pollTimeouts(now time.Time) (wait, timeout time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.failedPolls > 0 || feed.caches[0].currentPosition().IsZero() {
		return retryPollWait, retryPollWait + retryPollSlack
	}
	timeout = pollWait + pollSlack
	if untilProbe := feed.expectedAt.Add(maxUnconfirmed).Sub(now); !feed.expectedAt.IsZero() && untilProbe < timeout {
		timeout = max(retryPollWait+retryPollSlack, untilProbe)
	}
	return min(pollWait, timeout-retryPollSlack), timeout
}

// receive applies a change from the store or a peer and wakes the polls that wait for one. A recovery of the store that one source
// has seen counts for the changes of the others too.
func (feed *Feed) receive(kindIndex int, change swfollow.Change) {
	recoveredAt, ok := feed.caches[kindIndex].apply(change)
	if !ok {
		feed.config.Log.Warn().Str("Kind", feed.config.Kinds[kindIndex].Name).Object("Position", change.Position).
			Object("Held", feed.caches[kindIndex].currentPosition()).Msg("a change that is older than this VM's copies was not applied")
		return
	}
	feed.ObserveEra(change.Position.Era)
	change.RecoveredAt = recoveredAt
	feed.config.Kinds[kindIndex].Receive(change)
	feed.logNewEra()
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	close(feed.changed)
	feed.changed = make(chan struct{})
}

func (feed *Feed) recordResponse(kindIndex int, now time.Time) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.lastResponses[kindIndex] = now
}

// clearResponses records that this VM no longer follows the store.
func (feed *Feed) clearResponses() {
	now := time.Now()
	overdue := feed.overdue(now)
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.recordConfirmation(now, overdue)
	clear(feed.lastResponses)
}

// neverResponded is the overdue time reported while the store has not responded since this VM began to follow it.
const neverResponded = time.Hour

// overdue returns how late the store's next response is: the longest time since a response, less the wait of the kind's watch. It
// is negative while no response is late.
func (feed *Feed) overdue(now time.Time) time.Duration {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	overdue := -neverResponded
	for i, lastResponse := range feed.lastResponses {
		kind := &feed.config.Kinds[i]
		if !kind.TracksReachability {
			continue
		}
		if lastResponse.IsZero() {
			return neverResponded
		}
		overdue = max(overdue, now.Sub(lastResponse)-kind.WatchWait)
	}
	return overdue
}
