package swexchange

import (
	"context"
	"slices"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

const (
	// noticeFanOut is the number of VMs that each VM notifies. VMs are notified along a tree, so that no VM sends more messages in a larger
	// data centre.
	noticeFanOut = 8
	// noticeTries is how often a VM is notified that does not answer; the next notice is a second later.
	noticeTries = 2
	// noticeInterval is the time between two notices while something is unusual.
	noticeInterval = time.Second
)

// receiveNotice makes this VM ask its aggregator, and passes the notice on.
func (exchanger *Exchanger) receiveNotice(now time.Time) {
	exchanger.mutex.Lock()
	exchanger.passNotice = true
	exchanger.mutex.Unlock()
	exchanger.activate(now)
}

// passOnNotice notifies the VMs below this one in the tree, if it has received a notice since the last time.
func (exchanger *Exchanger) passOnNotice(group *swgroup.Group, now time.Time, view *swmember.View) {
	exchanger.mutex.Lock()
	due := exchanger.passNotice && now.Sub(exchanger.noticedAt) >= noticeInterval/2
	exchanger.mutex.Unlock()
	if !due {
		return
	}
	ranked := view.Owners(view.Self.DataCentre, AggregatorKey)
	if rank := slices.IndexFunc(ranked, func(member swmember.Member) bool { return member.Name == view.Self.Name }); rank > 0 {
		exchanger.notify(group, now, view, rank)
	}
}

// notify notifies the VMs below a rank in the tree of the data centre.
func (exchanger *Exchanger) notify(group *swgroup.Group, now time.Time, view *swmember.View, rank int) {
	exchanger.mutex.Lock()
	exchanger.noticedAt, exchanger.passNotice = now, false
	exchanger.mutex.Unlock()
	for _, child := range childrenOf(rank, len(view.Members(view.Self.DataCentre))) {
		group.Go(func(ctx context.Context) { exchanger.notifyChild(ctx, view, child, true) })
	}
}

// notifyChild notifies the VM of a rank. If it does not answer, the VMs below it are notified in its place, once.
func (exchanger *Exchanger) notifyChild(ctx context.Context, view *swmember.View, rank int, replace bool) {
	ranked := view.Owners(view.Self.DataCentre, AggregatorKey)
	for tries := 0; tries < noticeTries && ranked[rank].Name != view.Self.Name; tries++ {
		if _, err := exchanger.call(ctx, callTimeout, ranked[rank], Message{Kind: Notice}); err == nil {
			return
		}
	}
	if !replace {
		return
	}
	for _, child := range childrenOf(rank, len(ranked)) {
		exchanger.notifyChild(ctx, view, child, false)
	}
}

// childrenOf returns the ranks below a rank in a tree of a number of VMs.
func childrenOf(rank, count int) []int {
	var children []int
	for child := noticeFanOut*rank + 1; child <= noticeFanOut*(rank+1) && child < count; child++ {
		children = append(children, child)
	}
	return children
}
