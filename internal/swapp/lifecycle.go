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

// components are the components of an App that are started and stopped. fx sets the fields by their types.
type components struct {
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
	State     *vmState
}

func bindLifecycle(lifecycle fx.Lifecycle, components components) {
	lifecycle.Append(fx.Hook{OnStart: components.start, OnStop: components.stop})
}

// start starts the transport to peers, then membership, rollout and the cleaning of claims, and last the listener for callers.
func (components *components) start(context.Context) error {
	components.Node.Serve()
	components.Group.Go(components.Directory.Run)
	components.Group.Go(components.Store.Run)
	components.Group.Go(components.Watcher.Run)
	components.Group.Go(components.cleanClaims)
	components.Server.Serve(components.Group)
	components.Log.Info().Stringer("Caller", components.Server.Address()).Stringer("Peer", components.Node.Address()).Msg("serving")
	return nil
}

// stopStep is one step of the graceful stop. Its name appears in logs and errors.
type stopStep struct {
	name string
	run  func(ctx context.Context) error
}

// stop runs the steps of the graceful stop in an order in which no step interrupts a request. A failed step does not stop the
// others; the first error is returned.
func (components *components) stop(ctx context.Context) error {
	steps := []stopStep{
		{"report not ready and wait for the balancer", components.waitForBalancer},
		{"announce leaving to peers", components.announceLeaving},
		{"finish callers' requests in flight", components.finishCallerRequests},
		{"hand keys over to a successor", components.Keys.Handover},
		{"finish batches of peers in flight", components.finishBatches},
		{"announce to the members that this VM has left", components.announceDead},
		{"close", components.close},
	}
	var firstErr error
	for _, step := range steps {
		if err := step.run(ctx); err != nil {
			components.Log.Warn().Err(err).Str("Step", step.name).Msg("a step of the graceful stop failed")
			if firstErr == nil {
				firstErr = errors.Wrap(err, step.name)
			}
		}
	}
	return firstErr
}

func (components *components) waitForBalancer(ctx context.Context) error {
	components.State.setLeaving()
	components.Server.SetLeaving()
	return swtimer.Wait(ctx, components.Config.Settings.Stop.BalancerWait)
}

func (components *components) announceLeaving(ctx context.Context) error {
	components.Directory.AnnounceLeaving(ctx)
	return nil
}

func (components *components) finishCallerRequests(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, components.Config.Settings.Stop.DrainTimeout)
	defer cancel()
	return components.Server.Shutdown(ctx)
}

const (
	// quietDuration is how long no batch may arrive from a peer or be in flight before the VM stops.
	quietDuration = 500 * time.Millisecond
	// quietCheckInterval is the time between two checks of the batches in flight.
	quietCheckInterval = 20 * time.Millisecond
)

// finishBatches waits until peers have sent no batch for quietDuration: they learn at different times that this VM is leaving.
func (components *components) finishBatches(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, components.Config.Settings.Stop.DrainTimeout)
	defer cancel()
	quietSince := time.Now()
	received := components.Engine.Owner().BatchesReceived()
	for time.Since(quietSince) < quietDuration {
		if err := swtimer.Wait(ctx, quietCheckInterval); err != nil {
			return err
		}
		latest := components.Engine.Owner().BatchesReceived()
		if latest != received || components.Engine.Owner().BatchesInFlight() > 0 {
			received = latest
			quietSince = time.Now()
		}
	}
	return nil
}

func (components *components) announceDead(ctx context.Context) error {
	components.Directory.AnnounceDead(ctx)
	return nil
}

func (components *components) close(context.Context) error {
	components.Group.Cancel()
	err := components.Node.Close()
	components.Limiter.Close()
	components.Pool.Close()
	components.Platform.Close()
	components.Group.Wait()
	if closeErr := components.Recorder.Close(); err == nil {
		err = closeErr
	}
	return err
}

// kill closes every socket at once. It does not wait for answers of peers or callers.
func (components *components) kill() {
	components.State.setLeaving()
	components.Group.Cancel()
	components.Server.Abort()
	if err := components.close(context.Background()); err != nil {
		components.Log.Debug().Err(err).Msg("closing after a kill failed")
	}
}
