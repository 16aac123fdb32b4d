package swfeed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// followStore follows the store until a VM ahead of this one can be followed again. The first kind shows whether the store
// answers at all; the others wait for it, so that a store that is away gets few calls.
func (feed *Feed) followStore(ctx context.Context) {
	group := swgroup.New(ctx)
	defer feed.forgetReached()
	defer group.Stop()
	var once sync.Once
	answers := make(chan struct{})
	for i := range feed.config.Kinds {
		kind := &feed.config.Kinds[i]
		follower := swfollow.NewFollower(swfollow.FollowerConfig{
			Source: feed.config.Source, Kind: kind.Name, WatchWait: kind.WatchWait, Log: feed.config.Log,
			Receive: func(change swfollow.Change) { feed.receive(i, change) },
			OnAnswer: func(now time.Time) {
				feed.noteReached(i, now)
				once.Do(func() { close(answers) })
			},
		})
		group.Go(func(ctx context.Context) {
			if i > 0 {
				select {
				case <-answers:
				case <-ctx.Done():
					return
				}
			}
			follower.Run(ctx)
		})
	}
	for swtimer.Wait(ctx, review) == nil {
		if _, found := feed.choose(time.Now()); found {
			return
		}
	}
}

// poll asks a VM for news once.
func (feed *Feed) poll(ctx context.Context, peer Peer) {
	wait, slack := feed.patience()
	request := FollowRequest{Wait: wait, Revisions: make([]uint64, len(feed.caches))}
	for i, cache := range feed.caches {
		request.Revisions[i] = cache.current()
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	feed.mutex.Lock()
	feed.stopPoll = cancel
	feed.mutex.Unlock()
	var reply FollowReply
	err := feed.config.Transport.Call(callCtx, peer.Address, swpeer.MethodFollow, &request, &reply)
	if errors.Is(callCtx.Err(), context.Canceled) {
		return
	}
	if err != nil || len(reply.Changes) != len(feed.caches) {
		feed.distrust(peer, err)
		return
	}
	now := time.Now()
	for i := range reply.Changes {
		if reply.Changes[i].Revision == 0 {
			continue
		}
		change, err := reply.Changes[i].decode(feed.config.Kinds[i].Name, now)
		if err != nil {
			feed.distrust(peer, err)
			return
		}
		feed.receive(i, change)
	}
	if reply.Overdue > overdueMost {
		feed.passOver(peer, reply.Overdue)
		return
	}
	feed.trust(peer)
}

// patience returns how long a poll waits for news, and how much longer it may take.
func (feed *Feed) patience() (wait, slack time.Duration) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.failures > 0 || feed.caches[0].current() == 0 {
		return hastyWait, hastySlack
	}
	return pollWait, pollSlack
}

// receive takes a change that the store or a peer brought.
func (feed *Feed) receive(kind int, change swfollow.Change) {
	if !feed.caches[kind].apply(change) {
		return
	}
	feed.config.Kinds[kind].Receive(change)
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	close(feed.changed)
	feed.changed = make(chan struct{})
}

func (feed *Feed) noteReached(kind int, now time.Time) {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.reached[kind] = now
}

// forgetReached notes that this VM does not follow the store any more.
func (feed *Feed) forgetReached() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	clear(feed.reached)
}

// neverReached stands for a VM that has not heard from the store since it began to follow it.
const neverReached = time.Hour

// overdue returns how much later than its watches should have ended the store last answered this VM.
func (feed *Feed) overdue(now time.Time) time.Duration {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	overdue := time.Duration(0)
	for i, reached := range feed.reached {
		kind := &feed.config.Kinds[i]
		if !kind.TracksReachability {
			continue
		}
		if reached.IsZero() {
			return neverReached
		}
		overdue = max(overdue, now.Sub(reached)-kind.WatchWait)
	}
	return overdue
}
