package swapp

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/platform"
)

const (
	// maxRestoreAttempts bounds the attempts to write lost rules again; initialRestoreBackoff and maxRestoreBackoff bound the exponential
	// backoff between them. Together they cover ten seconds.
	maxRestoreAttempts    = 12
	initialRestoreBackoff = 100 * time.Millisecond
	maxRestoreBackoff     = time.Second
)

// ruleStore is the store that holds the rules.
type ruleStore interface {
	CreateObject(ctx context.Context, kind, name string, value []byte) error
	ReplaceObject(ctx context.Context, kind, name string, at swplatform.Position, value []byte) error
}

// ruleRestorer writes the rules in force again if the store has lost them because it came back from an older copy.
type ruleRestorer struct {
	store ruleStore
	rules *activeRules
	group *swgroup.Group
	// isLeader reports whether this VM leads its data centre; the others leave the writing to it.
	isLeader func() bool
	log      zerolog.Logger
}

func newRuleRestorer(store *platform.Store, rules *activeRules, group *swgroup.Group, log zerolog.Logger) *ruleRestorer {
	return &ruleRestorer{store: store, rules: rules, group: group, log: log}
}

// restore replaces in the background what the store holds in place of the rules in force.
func (restorer *ruleRestorer) restore(stored swplatform.Object) {
	restorer.group.Go(func(ctx context.Context) { restorer.replace(ctx, stored) })
}

// replace writes the rules in force until the write succeeds, or fails because the store holds something else now.
func (restorer *ruleRestorer) replace(ctx context.Context, stored swplatform.Object) {
	backoff := swplatform.NewBackoff(swplatform.BackoffConfig{InitialDelay: initialRestoreBackoff, MaxDelay: maxRestoreBackoff})
	for range maxRestoreAttempts {
		if backoff.Wait(ctx) != nil {
			return
		}
		held, ok := restorer.rules.inForce()
		if !ok || !keepsRules(&held, &stored) {
			return
		}
		if !restorer.isLeader() {
			continue
		}
		err := restorer.write(ctx, stored, held.Value)
		switch {
		case err == nil:
			restorer.log.Warn().Object("Position", held.Position).Msg("the rules in force were written to the platform's store again")
			return
		case errors.Is(err, swplatform.ErrConflict):
			return
		}
		restorer.log.Warn().Err(err).Msg("the rules in force were not written to the platform's store again")
	}
}

func (restorer *ruleRestorer) write(ctx context.Context, stored swplatform.Object, value []byte) error {
	if stored.Deleted {
		return restorer.store.CreateObject(ctx, swfollow.KindShared, rulesObject, value)
	}
	return restorer.store.ReplaceObject(ctx, swfollow.KindShared, rulesObject, stored.Position, value)
}
