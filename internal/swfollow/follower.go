// Package swfollow keeps a copy of the objects of one kind in step with the platform's store: a listing first, then
// watches, and a listing again whenever a watch cannot go on.
package swfollow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// defaultWatchWait is how long a watch waits for a change; the platform allows 30 s.
	defaultWatchWait = 25 * time.Second
	// backoffFirst and backoffMost bound the pause after a failed call. The longest still leaves a configuration two thirds
	// of the seconds that it may take once the store is back.
	backoffFirst = 100 * time.Millisecond
	backoffMost  = time.Second
	// settleParts and settleMost give the pause between a change and the next watch, as a part of a watch's wait and at most,
	// in which further changes gather into one answer: each call is paid for, and replicas often change several at a time.
	settleParts = 4
	settleMost  = 600 * time.Millisecond
)

// Source is the store that is followed.
type Source interface {
	// ListObjects returns all objects of a kind and the store's revision.
	ListObjects(ctx context.Context, kind string) ([]swplatform.Object, uint64, error)
	// WatchObjects waits for changes of the kind after a revision and returns them with the revision to go on from.
	// swplatform.ErrRevisionTooOld tells that the changes since are no longer known.
	WatchObjects(ctx context.Context, kind string, after uint64, wait time.Duration) ([]swplatform.Object, uint64, error)
}

// Change is what a call brought.
type Change struct {
	// Whole marks a listing: objects that it lacks are gone.
	Full    bool
	Objects []swplatform.Object
	// Revision is the store's revision up to which the change goes.
	Revision uint64
	// Regained is when the store answered again after failed calls; the zero time when no call has failed.
	RecoveredAt time.Time
}

// FollowerConfig holds what a Follower is built from.
type FollowerConfig struct {
	Source Source
	Kind   string
	// WatchWait is how long a watch waits. The default is 25 s.
	WatchWait time.Duration
	// Receive takes each change, in order.
	Receive func(change Change)
	// OnReached is told of each answer of the store; it may be nil.
	OnAnswer func(now time.Time)
	Log      zerolog.Logger
}

// Follower follows one kind. Construct it with NewFollower.
type Follower struct {
	config   FollowerConfig
	backoff  *swplatform.Backoff
	revision uint64
	// lost is when calls began to fail; the zero time while they succeed.
	lost     time.Time
	regained time.Time
}

// NewFollower returns a follower; Run starts it.
func NewFollower(config FollowerConfig) *Follower {
	if config.WatchWait <= 0 {
		config.WatchWait = defaultWatchWait
	}
	return &Follower{
		config:  config,
		backoff: swplatform.NewBackoff(swplatform.BackoffConfig{First: backoffFirst, Max: backoffMost}),
	}
}

// Run follows until the context ends.
func (follower *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := follower.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, swplatform.ErrRevisionTooOld) {
			follower.config.Log.Info().Str("Kind", follower.config.Kind).Uint64("Revision", follower.revision).
				Msg("the store dropped the history that the watch needs; listing again")
			continue
		}
		follower.noteLost(err)
		if follower.backoff.Wait(ctx) != nil {
			return
		}
	}
}

// follow lists once and then watches until a call fails.
func (follower *Follower) follow(ctx context.Context) error {
	objects, revision, err := follower.config.Source.ListObjects(ctx, follower.config.Kind)
	if err != nil {
		return err
	}
	follower.noteReached()
	follower.revision = revision
	follower.config.Receive(Change{Full: true, Objects: objects, Revision: revision, RecoveredAt: follower.regained})
	for {
		objects, revision, err := follower.config.Source.WatchObjects(ctx, follower.config.Kind, follower.revision, follower.config.WatchWait)
		if err != nil {
			return err
		}
		follower.revision = max(follower.revision, revision)
		follower.noteReached()
		if len(objects) == 0 {
			continue
		}
		follower.config.Receive(Change{Objects: objects, Revision: follower.revision, RecoveredAt: follower.regained})
		if err := swtimer.Wait(ctx, min(settleMost, follower.config.WatchWait/settleParts)); err != nil {
			return err
		}
	}
}

func (follower *Follower) noteLost(err error) {
	if follower.lost.IsZero() {
		follower.lost = time.Now()
		follower.config.Log.Warn().Err(err).Str("Kind", follower.config.Kind).Msg("the platform's store does not answer; the last known state stays in force")
	}
}

func (follower *Follower) noteReached() {
	follower.backoff.Reset()
	if follower.config.OnAnswer != nil {
		follower.config.OnAnswer(time.Now())
	}
	if follower.lost.IsZero() {
		return
	}
	follower.regained = time.Now()
	follower.config.Log.Info().Str("Kind", follower.config.Kind).Dur("Outage", time.Since(follower.lost)).Msg("the platform's store answers again")
	follower.lost = time.Time{}
}
