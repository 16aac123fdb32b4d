package swapp

import (
	"context"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// cleanEvery is the time between two looks for expired claims. A look calls the platform only when a bucket has passed.
const cleanEvery = time.Minute

// cleanClaims deletes expired claims while this VM is the one to do so.
func (parts *parts) cleanClaims(ctx context.Context) {
	cleaner := swkey.NewClaimCleaner(claimStore{client: parts.Platform}, 0)
	for swtimer.Wait(ctx, cleanEvery) == nil {
		if !parts.cleansClaims() {
			continue
		}
		deleted, err := cleaner.Clean(ctx)
		if err != nil {
			parts.Log.Warn().Err(err).Msg("expired claims could not be deleted")
		}
		if deleted > 0 {
			parts.Log.Info().Int("Deleted", deleted).Msg("deleted expired claims")
		}
	}
}

// cleansClaims reports whether this VM is a watcher of the first data centre that it sees. Others may clean as well,
// as views differ; that costs calls only.
func (parts *parts) cleansClaims() bool {
	view := parts.Directory.View()
	dataCentres := view.DataCentres()
	return parts.Watcher.IsWatcher() && len(dataCentres) > 0 && dataCentres[0] == view.Self.DataCentre
}
