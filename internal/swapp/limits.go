package swapp

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sycamorewall/sycamorewall/internal/swfleet"
	"github.com/sycamorewall/sycamorewall/internal/swgateway"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// newSharedLimits returns the limits that this VM shares with the registered VMs.
func newSharedLimits(fleet *swfleet.Fleet, peers *peers, group *swgroup.Group, recorder *swmetric.Recorder) *swlimit.Pool {
	return swlimit.NewPool(swlimit.Config{
		View:  fleet.SharedView,
		IsNew: fleet.IsNew,
		Ask: func(ctx context.Context, lender swmember.Member, request swlimit.Request) (reply swlimit.Reply, err error) {
			err = peers.Call(ctx, lender.Peer, swpeer.MethodLimits, request, &reply)
			return reply, err
		},
		SuspendClock: timeSinceBoot,
		Group:        group,
		CountEvent:   recorder.CountEvent,
	})
}

// timeSinceBoot returns the time since this VM started. It advances while the VM is suspended, unlike the runtime's clock.
func timeSinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		// Without the clock, what was borrowed has always expired.
		return unknownTime
	}
	return time.Duration(now.Nano())
}

// unknownTime is later than any time since boot.
const unknownTime = time.Duration(1<<63 - 1)

// lend answers the request of a peer for uses of shared limits.
func lend(limits *swlimit.Pool) func(context.Context, string, swlimit.Request) (swlimit.Reply, error) {
	return func(_ context.Context, _ string, request swlimit.Request) (swlimit.Reply, error) {
		return limits.Lend(time.Now(), request), nil
	}
}

// newBudget returns the budget of repeats. VMs share its slack if the settings call for it; else each has an equal part.
func newBudget(settings swsetting.Gateway, fleet *swfleet.Fleet, limits *swlimit.Pool) *swgateway.Budget {
	config := swgateway.BudgetConfig{Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack, Window: settings.RepeatWindow, VMs: fleet.Len}
	if settings.ShareRepeats {
		config.Limits = limits
	}
	return swgateway.NewBudget(config)
}
