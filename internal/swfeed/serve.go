package swfeed

import (
	"context"
	"errors"
	"slices"
	"time"
)

// HandleFollow answers a peer. From then on this VM follows the store itself for a while, so that VMs never follow each
// other in a circle.
func (feed *Feed) HandleFollow(ctx context.Context, peer string, request FollowRequest) (FollowReply, error) {
	if !feed.demand(time.Now()) {
		return FollowReply{}, errLeaving
	}
	if feed.config.OnPoll != nil {
		feed.config.OnPoll(peer)
	}
	deadline := time.NewTimer(min(max(0, request.Wait), pollWait))
	defer deadline.Stop()
	for {
		reply, changed := feed.news(request)
		if reply.Overdue < neverReached && (reply.Overdue > overdueMost || reply.hasNews()) {
			return reply, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply, _ := feed.news(request)
			return reply, nil
		case <-ctx.Done():
			return FollowReply{}, ctx.Err()
		}
	}
}

// Leading reports whether this VM follows the store and reaches it.
func (feed *Feed) IsLeader() bool {
	feed.mutex.Lock()
	leading := feed.leader == ""
	feed.mutex.Unlock()
	return leading && feed.overdue(time.Now()) <= overdueMost
}

var errLeaving = errors.New("this VM is leaving")

// Leave makes peers turn to other VMs.
func (feed *Feed) Leave() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.leaving = true
}

// demand notes that a peer relies on this VM, which stops relying on another itself. It reports false on a leaving VM.
func (feed *Feed) demand(now time.Time) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.leaving {
		return false
	}
	feed.demanded = now
	if feed.stopPoll != nil {
		feed.stopPoll()
		feed.stopPoll = nil
	}
	return true
}

// news returns what the request's sender lacks, and the signal of the next change.
func (feed *Feed) news(request FollowRequest) (FollowReply, <-chan struct{}) {
	now := time.Now()
	feed.mutex.Lock()
	changed := feed.changed
	feed.mutex.Unlock()
	reply := FollowReply{Changes: make([]KindChange, len(feed.caches)), Overdue: feed.overdue(now)}
	for i, cache := range feed.caches {
		revision := uint64(0)
		if i < len(request.Revisions) {
			revision = request.Revisions[i]
		}
		if change, ok := cache.since(revision); ok {
			reply.Changes[i] = encodeChange(change, now, cache.pack)
		}
	}
	return reply, changed
}

// hasNews reports whether any kind changed.
func (reply *FollowReply) hasNews() bool {
	return slices.ContainsFunc(reply.Changes, func(change KindChange) bool { return change.Revision > 0 })
}
