package swfeed

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
)

// HandleFollow answers a peer's poll. A VM that was polled follows the store itself for pollerTimeout, so that VMs never poll
// each other in a cycle. It is the handler of swpeer.MethodFollow.
func (feed *Feed) HandleFollow(ctx context.Context, peer string, request FollowRequest) (FollowReply, error) {
	if !feed.recordPoll(time.Now()) {
		return FollowReply{}, errLeaving
	}
	feed.observePeerEra(request.Era)
	if feed.config.OnPoll != nil {
		feed.config.OnPoll(peer)
	}
	deadline := time.NewTimer(min(max(0, request.Wait), pollWait))
	defer deadline.Stop()
	stale := time.NewTimer(neverResponded)
	defer stale.Stop()
	for {
		reply, changed := feed.changesFor(request)
		if reply.Overdue < neverResponded && (reply.Overdue > maxOverdue || reply.hasChanges()) {
			return reply, nil
		}
		// The peer must not wait for the end of its poll to learn that this VM does not reach the store.
		if reply.Overdue < neverResponded {
			stale.Reset(maxOverdue - reply.Overdue + time.Millisecond)
		}
		select {
		case <-changed:
		case <-stale.C:
		case <-deadline.C:
			reply, _ := feed.changesFor(request)
			return reply, nil
		case <-ctx.Done():
			return FollowReply{}, ctx.Err()
		}
	}
}

// IsLeader reports whether this VM follows the store and reaches it.
func (feed *Feed) IsLeader() bool {
	feed.mutex.Lock()
	followsStore := feed.upstream == ""
	feed.mutex.Unlock()
	return followsStore && feed.overdue(time.Now()) <= maxOverdue
}

// errLeaving refuses polls of a VM that is leaving.
var errLeaving = errors.New("this VM is leaving")

// Leave makes this VM refuse polls, so that its peers poll other VMs.
func (feed *Feed) Leave() {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	feed.leaving = true
}

// recordPoll records a peer's poll and cancels this VM's own, so that it follows the store. It returns false on a leaving VM.
func (feed *Feed) recordPoll(now time.Time) bool {
	feed.mutex.Lock()
	defer feed.mutex.Unlock()
	if feed.leaving {
		return false
	}
	feed.lastPolled = now
	if feed.cancelPoll != nil {
		feed.cancelPoll()
		feed.cancelPoll = nil
	}
	return true
}

// changesFor returns the changes that the request's sender lacks, and a channel that is closed at the next change.
func (feed *Feed) changesFor(request FollowRequest) (FollowReply, <-chan struct{}) {
	now := time.Now()
	feed.mutex.Lock()
	changed := feed.changed
	feed.mutex.Unlock()
	reply := FollowReply{Changes: make([]KindChange, len(feed.caches)), Overdue: feed.overdue(now)}
	for i, cache := range feed.caches {
		var position swplatform.Position
		if i < len(request.Positions) {
			position = request.Positions[i]
		}
		if change, ok := cache.changesSince(position); ok {
			reply.Changes[i] = encodeChange(change, now, cache.compress)
		}
	}
	return reply, changed
}

// hasChanges reports whether any kind changed.
func (reply *FollowReply) hasChanges() bool {
	return slices.ContainsFunc(reply.Changes, func(change KindChange) bool { return !change.Position.IsZero() })
}
