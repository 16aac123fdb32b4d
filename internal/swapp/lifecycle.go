package swapp

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swhttp"
	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// parts are the pieces that start and stop. fx fills them by type.
type parts struct {
	fx.In

	Config    Config
	Log       zerolog.Logger
	Group     *swgroup.Group
	Node      *swpeer.Node
	Directory *swmember.Directory
	Store     *swrollout.Store
	Watcher   *swrollout.Watcher
	Platform  *swplatform.Client
	Pool      *swbackend.Pool
	Limiter   *swadmission.Limiter
	Engine    *swquery.Engine
	Keys      *swkey.Service
	Server    *swhttp.Server
	Recorder  *swmetric.Recorder
	Life      *lifeState
}

func bindLifecycle(lifecycle fx.Lifecycle, parts parts) {
	lifecycle.Append(fx.Hook{OnStart: parts.start, OnStop: parts.stop})
}

// start begins serving peers, then membership and rollout, then callers.
func (parts *parts) start(context.Context) error {
	parts.Node.Serve()
	parts.Group.Go(parts.Directory.Run)
	parts.Group.Go(parts.Store.Run)
	parts.Group.Go(parts.Watcher.Run)
	parts.Group.Go(parts.cleanClaims)
	parts.Server.Serve(parts.Group)
	parts.Log.Info().Stringer("Caller", parts.Server.Address()).Stringer("Peer", parts.Node.Address()).Msg("serving")
	return nil
}

// stopStep is one stage of the graceful stop.
type stopStep struct {
	name string
	run  func(ctx context.Context) error
}

// stop runs the graceful stop: each stage makes sure that the next one cuts no request.
func (parts *parts) stop(ctx context.Context) error {
	steps := []stopStep{
		{"turn not ready and wait for the balancer", parts.waitForBalancer},
		{"announce leaving to peers", parts.announceLeaving},
		{"finish callers' requests in flight", parts.finishCallers},
		{"hand keys over to a successor", parts.Keys.Handover},
		{"finish batches of peers in flight", parts.finishBatches},
		{"depart from the members", parts.depart},
		{"close", parts.close},
	}
	var first error
	for _, step := range steps {
		if err := step.run(ctx); err != nil {
			parts.Log.Warn().Err(err).Str("Step", step.name).Msg("a step of the graceful stop failed")
			if first == nil {
				first = errors.Wrap(err, step.name)
			}
		}
	}
	return first
}

func (parts *parts) waitForBalancer(ctx context.Context) error {
	parts.Life.leave()
	parts.Server.SetLeaving()
	return swtimer.Wait(ctx, parts.Config.Settings.Stop.BalancerWait)
}

func (parts *parts) announceLeaving(ctx context.Context) error {
	parts.Directory.Leave(ctx)
	return nil
}

func (parts *parts) finishCallers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, parts.Config.Settings.Stop.DrainTimeout)
	defer cancel()
	return parts.Server.Shutdown(ctx)
}

const (
	// quietFor is how long no batch of a peer may be in flight before the VM goes.
	quietFor = 500 * time.Millisecond
	// quietCheck is the time between two looks at the batches in flight.
	quietCheck = 20 * time.Millisecond
)

// finishBatches waits until peers have sent nothing for a while, since their views learn of the leaving at different
// times.
func (parts *parts) finishBatches(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, parts.Config.Settings.Stop.DrainTimeout)
	defer cancel()
	quietSince := time.Now()
	served := parts.Engine.Owner().BatchesReceived()
	for time.Since(quietSince) < quietFor {
		if err := swtimer.Wait(ctx, quietCheck); err != nil {
			return err
		}
		now := parts.Engine.Owner().BatchesReceived()
		if now != served || parts.Engine.Owner().BatchesInFlight() > 0 {
			served = now
			quietSince = time.Now()
		}
	}
	return nil
}

func (parts *parts) depart(ctx context.Context) error {
	parts.Directory.Depart(ctx)
	return nil
}

func (parts *parts) close(context.Context) error {
	parts.Group.Cancel()
	err := parts.Node.Close()
	parts.Limiter.Close()
	parts.Pool.Close()
	parts.Platform.Close()
	parts.Group.Wait()
	if closeErr := parts.Recorder.Close(); err == nil {
		err = closeErr
	}
	return err
}

// kill closes every socket at once and waits for nothing that a peer or caller would have to answer.
func (parts *parts) kill() {
	parts.Life.leave()
	parts.Group.Cancel()
	parts.Server.Abort()
	if err := parts.close(context.Background()); err != nil {
		parts.Log.Debug().Err(err).Msg("close after a kill")
	}
}
