package swapp

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swedit"
	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swfleet"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgateway"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swrecord"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/platform"
)

// Gateway is one VM's process in front of the users' backend servers. Construct it with NewGateway.
type Gateway struct {
	parts *gatewayParts
	fx    *fx.App
}

// gatewayParts are the pieces that start and stop. fx fills them by type.
type gatewayParts struct {
	fx.In

	Config   Config
	Log      zerolog.Logger
	Group    *swgroup.Group
	Client   *swplatform.Client
	Routes   *swroute.ActiveTable
	Replicas *swreplica.Registry
	Servers  *swfollow.Mirror[swreplica.Entry]
	Store    *platform.Store
	Fleet    *swfleet.Fleet
	VMs      *swfollow.Mirror[swfleet.VM]
	Peers    *peers
	Feed     *swfeed.Feed
	Limiter  *swadmission.Limiter
	Handler  *swgateway.Gateway
	Server   *swgateway.Server
	Metrics  *metricServer
	Recorder *swmetric.Recorder
	Grace    *graceTime
}

// watchesWithin is the number of watches within the time that a change may take: after one that missed a change, the next
// still comes in time.
const watchesWithin = 2

// graceTime is how long the process may go on after SIGTERM, in nanoseconds; a reload may change it.
type graceTime struct {
	atomic.Int64
}

func newGraceTime(config Config) *graceTime {
	grace := &graceTime{}
	grace.Store(int64(config.Settings.Gateway.Grace))
	return grace
}

// NewGateway builds every part and opens the listeners. Nothing is served before Start.
func NewGateway(config Config) (*Gateway, error) {
	gateway := &Gateway{}
	gateway.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(config),
		fx.Provide(
			newLogger, newGroup, newRecorder, newMetricServer, newGraceTime, newPlatform, newRouteBook, newReplicas, newGatewayQuarantine,
			newServerMirror, newObjectStore, newFleet, newVMMirror, newPeers, newRecordBoard, newFeed, newRelays, newRuleBook, newGatewayLimiter, newGatewayHandler, newGatewayServer,
		),
		fx.Invoke(bindGatewayLifecycle),
		fx.Invoke(func(parts gatewayParts) { gateway.parts = &parts }),
	)
	if err := gateway.fx.Err(); err != nil {
		return nil, errors.Wrap(dig.RootCause(err), "build the VM's parts")
	}
	return gateway, nil
}

// Start begins serving. The VM is ready once it has a configuration and backend servers.
func (gateway *Gateway) Start(ctx context.Context) error {
	return errors.Wrap(gateway.fx.Start(ctx), "start")
}

// ClientAddress returns the TCP address for clients.
func (gateway *Gateway) ClientAddress() netip.AddrPort {
	return gateway.parts.Server.Address()
}

// ReadyAddress returns the TCP address for the balancer.
func (gateway *Gateway) ReadyAddress() netip.AddrPort {
	return gateway.parts.Server.ReadyAddress()
}

// Stop stops gracefully: no request is cut, as long as the context lasts.
func (gateway *Gateway) Stop(ctx context.Context) error {
	return errors.Wrap(gateway.fx.Stop(ctx), "stop")
}

func newRouteBook() *swroute.ActiveTable {
	return &swroute.ActiveTable{}
}

func newReplicas(config Config, group *swgroup.Group, fleet *swfleet.Fleet, routes *swroute.ActiveTable, log zerolog.Logger) *swreplica.Registry {
	pool := swreplica.NewPool(swreplica.PoolConfig{
		Group: group,
		MaxConnections: func(name string) int {
			table := routes.Current()
			if table == nil {
				return 0
			}
			service, _ := table.Service(name)
			return service.MaxConnections
		},
		VMCounts: fleet.Share,
		Log:      log,
	})
	return swreplica.NewRegistry(swreplica.RegistryConfig{
		Pool: pool, DataCentre: config.Settings.DataCentre, Region: config.Settings.Region,
	})
}

func newGatewayQuarantine(config Config, store *swrecord.Store) *swquarantine.Tracker {
	return swquarantine.New(swquarantine.Config{Name: config.Settings.Name, Records: store, CanaryWindow: time.Nanosecond})
}

func newServerMirror(config Config, replicas *swreplica.Registry, log zerolog.Logger) *swfollow.Mirror[swreplica.Entry] {
	regions := config.Settings.Gateway.Regions
	return swfollow.NewMirror(swfollow.MirrorConfig[swreplica.Entry]{
		Decode: func(object swplatform.Object) (swreplica.Entry, bool) {
			return platform.DecodeServer(object.Name, object.Value, regions)
		},
		Apply: func(changed []swreplica.Entry, gone []string) {
			replicas.Update(changed, gone)
			log.Info().Int("Changed", len(changed)).Strs("Gone", gone).Int("Replicas", replicas.Len()).Msg("backend servers changed")
		},
		RemovalGrace: config.Settings.Gateway.EntryGrace,
	})
}

func newObjectStore(client *swplatform.Client) *platform.Store {
	return platform.NewStore(client)
}

func newFleet(config Config) *swfleet.Fleet {
	settings := config.Settings
	peer := settings.Peer.Advertise
	if !peer.IsValid() {
		peer = settings.Peer.Listen
	}
	return swfleet.New(swfleet.VM{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Peer: peer, Capacity: settings.Gateway.Capacity,
	})
}

func newVMMirror(fleet *swfleet.Fleet) *swfollow.Mirror[swfleet.VM] {
	return swfollow.NewMirror(swfollow.MirrorConfig[swfleet.VM]{Decode: swfleet.Decode, Apply: fleet.Apply})
}

func newRecordBoard(store *platform.Store, group *swgroup.Group, log zerolog.Logger) *swrecord.Store {
	return swrecord.New(swrecord.Config{Writer: store, Group: group, Log: log})
}

// slowWatch is how long watches wait of what VMs write themselves. It stays below the time for which the store keeps its
// history, which a watch must not outlive.
const slowWatch = 12 * time.Second

// feedParts are the pieces that hear of changes. fx fills them by type.
type feedParts struct {
	fx.In

	Config  Config
	Store   *platform.Store
	Peers   *peers
	Fleet   *swfleet.Fleet
	Routes  *swroute.ActiveTable
	Servers *swfollow.Mirror[swreplica.Entry]
	VMs     *swfollow.Mirror[swfleet.VM]
	Board   *swrecord.Store
	Rules   *ruleBook
	Log     zerolog.Logger
}

func newFeed(parts feedParts) *swfeed.Feed {
	settings := parts.Config.Settings.Gateway
	return swfeed.New(swfeed.Config{
		Source: parts.Store, Transport: parts.Peers, Upstreams: parts.Fleet.Upstreams, OnPoll: parts.Fleet.RecordPoll, Log: parts.Log,
		Kinds: []swfeed.Kind{
			{Name: platform.KindConfig, TracksReachability: true, WatchWait: settings.ApplyWithin / watchesWithin, Receive: func(change swfollow.Change) {
				receiveConfig(parts.Routes, change, parts.Log)
			}},
			{Name: platform.KindServers, TracksReachability: true, WatchWait: settings.DrainWithin / watchesWithin, Receive: parts.Servers.Receive},
			{Name: swfollow.KindShared, WatchWait: slowWatch, Receive: func(change swfollow.Change) {
				parts.VMs.Receive(change.WithPrefix(swfollow.PrefixVM))
				parts.Board.Receive(change.WithPrefix(swfollow.PrefixRecord))
				receiveRules(parts.Rules, change.WithPrefix(swfollow.PrefixRules), parts.Log)
			}},
		},
	})
}

// receiveConfig puts the newest configuration of a change in force.
func receiveConfig(routes *swroute.ActiveTable, change swfollow.Change, log zerolog.Logger) {
	for _, object := range change.Objects {
		if object.Name != platform.ConfigName || object.Deleted {
			continue
		}
		table, err := platform.DecodeConfig(object.Value)
		if err != nil {
			log.Error().Err(err).Uint64("Revision", object.Revision).Msg("invalid configuration, the last good one stays in force")
			continue
		}
		if routes.UpdateIfNewer(table) {
			log.Info().Uint64("Config", table.Version).Int("Routes", table.Len()).Uint64("Revision", object.Revision).Msg("configuration in force")
		}
	}
}

// receiveRules puts the newest rules of a change in force. Rules that were deleted, or cannot be read, leave the last ones in force: a
// mistake at the store must not let pass what they refuse. A VM that knows none yet does not serve with rules that it cannot read.
func receiveRules(rules *ruleBook, change swfollow.Change, log zerolog.Logger) {
	for _, object := range change.Objects {
		if object.Name != swfollow.PrefixRules+swedit.NameMain {
			continue
		}
		if object.Deleted {
			log.Error().Msg("the rules were deleted, the last ones stay in force")
			continue
		}
		versionedValue, err := swedit.DecodeVersionedValue(object.Value)
		if err == nil {
			err = rules.put(versionedValue.Version, versionedValue.Value)
		}
		if err != nil {
			log.Error().Err(err).Uint64("Revision", object.Revision).Msg("invalid rules, the last good ones stay in force")
			return
		}
		log.Info().Uint64("Rules", versionedValue.Version).Uint64("Revision", object.Revision).Msg("rules in force")
	}
	rules.known.Store(true)
}

func newGatewayLimiter(fleet *swfleet.Fleet, peers *peers) *swadmission.Limiter {
	return swadmission.NewLimiter(swadmission.LimiterConfig{View: fleet.View, Peers: peers})
}

func newRelays(group *swgroup.Group, peers *peers, fleet *swfleet.Fleet, log zerolog.Logger) *swrelay.Client {
	return swrelay.NewClient(swrelay.ClientConfig{Group: group, Transport: peers, Relays: fleet.Relays, Log: log})
}

// handlerParts are the pieces that decide about requests. fx fills them by type.
type handlerParts struct {
	fx.In

	Config     Config
	Group      *swgroup.Group
	Fleet      *swfleet.Fleet
	Routes     *swroute.ActiveTable
	Replicas   *swreplica.Registry
	Relays     *swrelay.Client
	Rules      *ruleBook
	Limiter    *swadmission.Limiter
	Quarantine *swquarantine.Tracker
	Recorder   *swmetric.Recorder
	Log        zerolog.Logger
}

func newGatewayHandler(parts handlerParts) *swgateway.Gateway {
	settings := parts.Config.Settings.Gateway
	return swgateway.New(swgateway.Config{
		Group: parts.Group, Protocol: platform.Headers{}, Routes: parts.Routes, Replicas: parts.Replicas, Relays: parts.Relays,
		Rules: parts.Rules, Limiter: parts.Limiter, CallerHeader: settings.CallerHeader,
		HasSynced:  func() bool { return parts.Rules.known.Load() && parts.Replicas.Len() > 0 },
		Quarantine: parts.Quarantine, Recorder: parts.Recorder, Log: parts.Log,
		Budget: swgateway.NewBudget(swgateway.BudgetConfig{
			Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack, Window: settings.RepeatWindow, VMs: parts.Fleet.Len,
		}),
	})
}

func newGatewayServer(config Config, handler *swgateway.Gateway, routes *swroute.ActiveTable, rules *ruleBook, replicas *swreplica.Registry, log zerolog.Logger) (*swgateway.Server, error) {
	settings := config.Settings.Gateway
	return swgateway.Listen(swgateway.ServerConfig{
		Listen: settings.Listen, Ready: settings.Ready, ReadyPath: platform.ReadyPath, Handler: handler, Routes: routes, Log: log,
		CheckReady: func() error {
			if routes.Current() == nil {
				return errNoConfig
			}
			if !rules.known.Load() {
				return errNoRules
			}
			if replicas.Len() == 0 {
				return errNoServers
			}
			return nil
		},
	})
}

func bindGatewayLifecycle(lifecycle fx.Lifecycle, parts gatewayParts) {
	lifecycle.Append(fx.Hook{OnStart: parts.start, OnStop: parts.stop})
}

func (parts *gatewayParts) start(context.Context) error {
	parts.Group.Go(parts.Servers.Run)
	parts.Group.Go(parts.join)
	parts.Group.Go(parts.prune)
	parts.Group.Go(func(ctx context.Context) { pulse(ctx, parts.Log) })
	parts.Server.Serve(parts.Group)
	parts.Metrics.serve(parts.Group)
	parts.Log.Info().Stringer("Clients", parts.Server.Address()).Stringer("Ready", parts.Server.ReadyAddress()).
		Str("Version", parts.Config.Version).Msg("serving")
	return nil
}

// pruneEvery is how often what was learned of routes and services is looked over for names that are not used any more.
const pruneEvery = time.Minute

// prune forgets what the configuration in force does not name.
func (parts *gatewayParts) prune(ctx context.Context) {
	for swtimer.Wait(ctx, pruneEvery) == nil {
		if table := parts.Routes.Current(); table != nil {
			parts.Handler.Prune(table)
		}
	}
}

// join makes this VM known to the others and follows the store, or one of them, from then on.
func (parts *gatewayParts) join(ctx context.Context) {
	relay := swrelay.NewServer(swrelay.ServerConfig{
		Replicas: parts.Replicas, Codec: swgateway.Codec{Protocol: platform.Headers{}}, Leaving: parts.Server.Leaving,
	})
	if err := parts.Peers.open(ctx, parts.Config.Settings, parts.Store, parts.Feed, relay, parts.Limiter); err != nil {
		parts.Log.Error().Err(err).Msg("no exchange with other VMs; following the platform's store")
	}
	if parts.Fleet.Join(ctx, parts.Store, parts.Log) != nil {
		return
	}
	parts.Group.Go(func(ctx context.Context) { parts.Fleet.Maintain(ctx, parts.Store, parts.Feed.IsLeader, parts.Log) })
	parts.Feed.Run(ctx)
}

const (
	// drainPart is the part of the grace for which a leaving VM goes on answering what comes over open connections.
	drainPart = 0.6
	// finishPart is the part of the grace by which the last request under way must have ended.
	finishPart = 0.92
)

// stop ends the gateway: it is not ready first, answers what still comes with the request to close the connection, and then
// finishes what is under way.
func (parts *gatewayParts) stop(ctx context.Context) error {
	began := time.Now()
	grace := time.Duration(parts.Grace.Load())
	parts.Server.SetLeaving()
	parts.Log.Info().Int64("Held", parts.Server.InFlight()).Dur("Grace", grace).Msg("leaving")
	parts.Feed.Leave()
	ctx, cancel := context.WithDeadline(ctx, began.Add(time.Duration(finishPart*float64(grace))))
	defer cancel()
	select {
	case <-time.After(time.Duration(drainPart * float64(grace))):
	case <-ctx.Done():
	}
	err := parts.Server.Shutdown(ctx)
	parts.Log.Info().Int64("Held", parts.Server.InFlight()).Dur("Took", time.Since(began)).Msg("stopped")
	parts.Metrics.close()
	if recorderErr := parts.Recorder.Close(); err == nil {
		err = recorderErr
	}
	parts.Limiter.Close()
	parts.Group.Cancel()
	if peerErr := parts.Peers.Close(); err == nil {
		err = peerErr
	}
	parts.Client.Close()
	return err
}
