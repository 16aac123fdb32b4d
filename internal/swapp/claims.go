package swapp

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// claimCleanInterval is the time between two checks for expired claims. A check calls the platform only if a bucket of claims has
// expired since the last one.
const claimCleanInterval = time.Minute

// cleanClaims deletes expired claims as long as isClaimCleaner reports true for this VM.
func (components *components) cleanClaims(ctx context.Context) {
	cleaner := swkey.NewClaimCleaner(claimStore{client: components.Platform}, 0)
	for swtimer.Wait(ctx, claimCleanInterval) == nil {
		if !components.isClaimCleaner() {
			continue
		}
		deleted, err := cleaner.Clean(ctx)
		if err != nil {
			components.Log.Warn().Err(err).Msg("expired claims could not be deleted")
		}
		if deleted > 0 {
			components.Log.Info().Int("Deleted", deleted).Msg("deleted expired claims")
		}
	}
}

// isClaimCleaner reports whether this VM is a watcher in the first data centre of its view. Views differ, so several VMs may
// clean at the same time. That costs only extra calls, because a claim that is already deleted is not an error.
func (components *components) isClaimCleaner() bool {
	view := components.Directory.View()
	dataCentres := view.DataCentres()
	return components.Watcher.IsWatcher() && len(dataCentres) > 0 && dataCentres[0] == view.Self.DataCentre
}
