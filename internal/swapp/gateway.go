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
	"github.com/sycamorewall/sycamorewall/internal/swconn"
	"github.com/sycamorewall/sycamorewall/internal/swexchange"
	"github.com/sycamorewall/sycamorewall/internal/swfeed"
	"github.com/sycamorewall/sycamorewall/internal/swfleet"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swgateway"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swlimit"
	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swobservation"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swrecord"
	"github.com/sycamorewall/sycamorewall/internal/swrelay"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swspillover"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
	"github.com/sycamorewall/sycamorewall/platform"
)

// Gateway is the process of a VM that forwards HTTP requests to the users' backend servers. Construct it with NewGateway.
type Gateway struct {
	components *gatewayComponents
	fx         *fx.App
}

// gatewayComponents are the components of a Gateway that are started and stopped. fx sets the fields by their types.
type gatewayComponents struct {
	fx.In

	Config      Config
	Log         zerolog.Logger
	Group       *swgroup.Group
	Client      *swplatform.Client
	Routes      *swroute.ActiveTable
	Replicas    *swreplica.Registry
	Servers     *swfollow.Mirror[swreplica.Entry]
	Store       *platform.Store
	Fleet       *swfleet.Fleet
	VMs         *swfollow.Mirror[swfleet.VM]
	Evacuations *evacuations
	Peers       *peers
	Feed        *swfeed.Feed
	Limiter     *swadmission.Limiter
	Limits      *swlimit.Pool
	Handler     *swgateway.Handler
	Server      *swgateway.Server
	Metrics     *metricServer
	Recorder    *swmetric.Recorder
	Grace       *gracePeriod
	Exchanger   *swexchange.Exchanger
}

// watchesPerDeadline is the number of watches within the time in which a change must be applied: if one misses the change, the
// next still meets the deadline.
const watchesPerDeadline = 2

// gracePeriod is how long the process may run after SIGTERM, in nanoseconds. A reload may change it.
type gracePeriod struct {
	atomic.Int64
}

func newGracePeriod(config Config) *gracePeriod {
	grace := &gracePeriod{}
	grace.Store(int64(config.Settings.Gateway.Grace))
	return grace
}

// NewGateway builds every component and opens the listeners. Requests are served after Start.
func NewGateway(config Config) (*Gateway, error) {
	return buildGateway(config)
}

// buildGateway builds a Gateway; options replace components.
func buildGateway(config Config, options ...fx.Option) (*Gateway, error) {
	gateway := &Gateway{}
	gateway.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(config),
		fx.Options(options...),
		fx.Provide(
			newLogger, newGroup, newRecorder, newClientGuard, newMetricServer, newGracePeriod,
			newPlatformClient, newActiveTable, newQuotas, newResponseMemory, newReplicaRegistry, newGatewayQuarantine, newServerMirror, newEvacuations,
			newEraTracker, newObjectStore, newFleet, newVMMirror, newPeers, newSharedRecordStore,
			newObservationTracker, newExchanger, newFeed, newRelayClient, newActiveRules, newRuleRestorer, newGatewayLimiter, newSharedLimits, newGatewayHandler, newGatewayServer,
		),
		fx.Invoke(bindGatewayLifecycle),
		fx.Invoke(func(components gatewayComponents) { gateway.components = &components }),
	)
	if err := gateway.fx.Err(); err != nil {
		return nil, errors.Wrap(dig.RootCause(err), "build the VM's components")
	}
	return gateway, nil
}

// Start begins serving. The VM is ready once it has a configuration and backend servers, and has received the rules, if any.
func (gateway *Gateway) Start(ctx context.Context) error {
	return errors.Wrap(gateway.fx.Start(ctx), "start")
}

// ClientAddress returns the TCP address for clients.
func (gateway *Gateway) ClientAddress() netip.AddrPort {
	return gateway.components.Server.Address()
}

// ReadyAddress returns the TCP address of the readiness check for the balancer.
func (gateway *Gateway) ReadyAddress() netip.AddrPort {
	return gateway.components.Server.ReadyAddress()
}

// Stop stops gracefully. It waits for requests in flight until the context or the grace period ends.
func (gateway *Gateway) Stop(ctx context.Context) error {
	return errors.Wrap(gateway.fx.Stop(ctx), "stop")
}

func newActiveTable() *swroute.ActiveTable {
	return &swroute.ActiveTable{}
}

// responseMemoryFraction is the fraction of the process's memory that the responses of replicas may take together.
const responseMemoryFraction = 1.0 / 8

func newResponseMemory(config Config, guard *swlistener.Guard) *swconn.Memory {
	memory := swconn.NewMemory(config.Settings.Gateway.MemoryBytes(responseMemoryFraction))
	memory.OnPressure(guard.CloseUnread)
	return memory
}

func newReplicaRegistry(config Config, group *swgroup.Group, fleet *swfleet.Fleet, routes *swroute.ActiveTable, memory *swconn.Memory,
	limits *swlimit.Pool, relays *swrelay.Client, recorder *swmetric.Recorder, log zerolog.Logger,
) *swreplica.Registry {
	pool := swreplica.NewPool(swreplica.PoolConfig{
		Group:           group,
		Limits:          swconn.Limits{Memory: memory},
		OnLimitExceeded: func() { recorder.CountEvent("responses_too_large", 1) },
		ReadReport:      platform.Headers{}.ReadReport,
		CountEvent:      recorder.CountEvent,
		OnReach:         relays.OnReach,
		HealthPath: func(name string) string {
			table := routes.Current()
			if table == nil {
				return ""
			}
			service, _ := table.Service(name)
			return service.HealthPath
		},
		// VMs that share what they observe see the rejections of a replica together, which ranks it behind others without a mark for load.
		TellsRandomRejections: config.Settings.Gateway.ObservationInterval > 0,
		MaxConnections: func(name string) int {
			table := routes.Current()
			if table == nil {
				return 0
			}
			service, _ := table.Service(name)
			return service.MaxConnections
		},
		VMCounts: fleet.VMCounts,
		Cold:     coldLimits(&config.Settings.Gateway, limits),
		ColdLimit: func(name string) swlimit.Limit {
			table := routes.Current()
			if table == nil {
				return swlimit.Limit{}
			}
			service, _ := table.Service(name)
			return coldLimit(&config.Settings.Gateway, service)
		},
		Log: log,
	})
	return swreplica.NewRegistry(swreplica.RegistryConfig{
		Pool: pool, DataCentre: config.Settings.DataCentre, Region: config.Settings.Region,
		ConfirmAfter: time.Duration(confirmHeartbeats * float64(config.Settings.Gateway.Heartbeat)),
		ReturnOver:   returnOver(config),
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
		Apply: func(changed []swreplica.Entry, removed []string) {
			replicas.Update(changed, removed)
			log.Info().Int("Changed", len(changed)).Strs("Gone", removed).Int("Replicas", replicas.Len()).Msg("backend servers changed")
		},
		RemovalGrace: config.Settings.Gateway.EntryGrace,
	})
}

func newEraTracker(recorder *swmetric.Recorder, log zerolog.Logger) *swplatform.EraTracker {
	eras := swplatform.NewEraTracker(log)
	eras.OnNewEra(func(uint64) { recorder.CountEvent("store_returns", 1) })
	return eras
}

func newObjectStore(client *swplatform.Client, eras *swplatform.EraTracker) *platform.Store {
	return platform.NewStore(client, eras)
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
	return swfollow.NewMirror(swfollow.MirrorConfig[swfleet.VM]{
		Decode: swfleet.Decode, Apply: fleet.Apply, RemovalGrace: swfleet.RemovalGrace,
	})
}

func newSharedRecordStore(store *platform.Store, group *swgroup.Group, log zerolog.Logger) *swrecord.Store {
	return swrecord.New(swrecord.Config{Writer: store, Group: group, Log: log})
}

// sharedWatchWait is the long-poll wait of watches on the objects that the VMs write themselves. It must be shorter than the time
// for which the store keeps its history: a watch must not outlive the revision that it started from.
const sharedWatchWait = 12 * time.Second

// lapseHeartbeats is the number of heartbeat intervals that an outage must last for the entry of a live backend server to lapse. Entries
// lapse after three, of which one may have passed before the outage; the intervals vary a little.
const lapseHeartbeats = 1.85

// confirmHeartbeats is the number of heartbeat intervals after which an entry that the store still lists is that of a live backend server:
// it lapses after three without a write.
const confirmHeartbeats = 4.0

// feedDependencies are the components that the feed uses or delivers changes to. fx sets the fields by their types.
type feedDependencies struct {
	fx.In

	Config      Config
	Store       *platform.Store
	Eras        *swplatform.EraTracker
	Peers       *peers
	Fleet       *swfleet.Fleet
	Routes      *swroute.ActiveTable
	Quotas      *swgateway.Quotas
	Servers     *swfollow.Mirror[swreplica.Entry]
	VMs         *swfollow.Mirror[swfleet.VM]
	Evacuations *evacuations
	Records     *swrecord.Store
	Rules       *activeRules
	Restorer    *ruleRestorer
	Log         zerolog.Logger
}

func newFeed(dependencies feedDependencies) *swfeed.Feed {
	settings := dependencies.Config.Settings.Gateway
	feed := swfeed.New(swfeed.Config{
		Source:     dependencies.Store,
		Transport:  dependencies.Peers,
		Upstreams:  dependencies.Fleet.Upstreams,
		OnPoll:     dependencies.Fleet.RecordPoll,
		LapseAfter: time.Duration(lapseHeartbeats * float64(settings.Heartbeat)),
		Log:        dependencies.Log,
		Kinds: append([]swfeed.Kind{
			{Name: platform.KindConfig, TracksReachability: true, WatchWait: settings.ApplyWithin / watchesPerDeadline, Keeps: keepsConfig, Receive: func(change swfollow.Change) {
				receiveConfig(dependencies.Routes, dependencies.Quotas, change, dependencies.Log)
			}},
			{Name: platform.KindServers, TracksReachability: true, WatchWait: settings.DrainWithin / watchesPerDeadline, Receive: dependencies.Servers.Receive},
			{Name: swfollow.KindShared, WatchWait: sharedWatchWait, Keeps: keepsRules, Receive: func(change swfollow.Change) {
				dependencies.Fleet.ObserveListing(change)
				dependencies.VMs.Receive(change.WithPrefix(swfollow.PrefixVM))
				dependencies.Records.Receive(change.WithPrefix(swfollow.PrefixRecord))
				receiveRules(dependencies.Rules, change, dependencies.Restorer.restore, dependencies.Log)
			}},
		}, dependencies.Evacuations.kinds()...),
	})
	dependencies.Eras.OnNewEra(feed.ObserveEra)
	dependencies.Restorer.isLeader = feed.IsLeader
	return feed
}

func newGatewayLimiter(fleet *swfleet.Fleet, peers *peers) *swadmission.Limiter {
	return swadmission.NewLimiter(swadmission.LimiterConfig{View: fleet.View, Peers: peers})
}

func newRelayClient(group *swgroup.Group, peers *peers, fleet *swfleet.Fleet, memory *swconn.Memory, log zerolog.Logger) *swrelay.Client {
	return swrelay.NewClient(swrelay.ClientConfig{
		Group: group, Transport: peers, ReadReport: platform.Headers{}.ReadReport, Memory: memory, Relays: fleet.Relays, VMs: fleet.Others, Log: log,
	})
}

// handlerDependencies are the components that the request handler uses. fx sets the fields by their types.
type handlerDependencies struct {
	fx.In

	Config      Config
	Group       *swgroup.Group
	Fleet       *swfleet.Fleet
	Routes      *swroute.ActiveTable
	Replicas    *swreplica.Registry
	Relays      *swrelay.Client
	Quotas      *swgateway.Quotas
	Rules       *activeRules
	Evacuations *evacuations
	Limiter     *swadmission.Limiter
	Limits      *swlimit.Pool
	Quarantine  *swquarantine.Tracker
	Recorder    *swmetric.Recorder
	Log         zerolog.Logger

	Observations *swobservation.Tracker
}

func newGatewayHandler(dependencies handlerDependencies) *swgateway.Handler {
	settings := dependencies.Config.Settings.Gateway
	return swgateway.NewHandler(swgateway.HandlerConfig{
		Group:        dependencies.Group,
		Protocol:     platform.Headers{},
		Routes:       dependencies.Routes,
		Replicas:     dependencies.Replicas,
		Relays:       dependencies.Relays,
		Observations: dependencies.Observations,
		Quotas:       dependencies.Quotas,
		Prices:       swspillover.Prices{Region: settings.RegionPrice, Far: settings.FarPrice},
		Rules:        dependencies.Rules,
		Limiter:      dependencies.Limiter,
		CallerHeader: settings.CallerHeader,
		HasSynced: func() bool {
			return dependencies.Rules.synced.Load() && dependencies.Evacuations.hasSynced() && dependencies.Replicas.Len() > 0
		},
		Quarantine: dependencies.Quarantine,
		Recorder:   dependencies.Recorder,
		Log:        dependencies.Log,
		Budget:     newBudget(settings, dependencies.Fleet, dependencies.Limits),
	})
}

func newGatewayServer(config Config, handler *swgateway.Handler, routes *swroute.ActiveTable, rules *activeRules,
	evacuations *evacuations, replicas *swreplica.Registry, guard *swlistener.Guard, log zerolog.Logger,
) (*swgateway.Server, error) {
	settings := config.Settings.Gateway
	return swgateway.Listen(swgateway.ServerConfig{
		Listen: settings.Listen, Ready: settings.Ready, ReadyPath: platform.ReadyPath, Handler: handler, Routes: routes, Log: log,
		Guard: guard, MaxClients: maxClients(config),
		CheckReady: func() error {
			if routes.Current() == nil {
				return errNoConfig
			}
			if !rules.synced.Load() {
				return errNoRules
			}
			if !evacuations.hasSynced() {
				return errNoEvacuations
			}
			if replicas.Len() == 0 {
				return errNoServers
			}
			return nil
		},
	})
}

func bindGatewayLifecycle(lifecycle fx.Lifecycle, components gatewayComponents) {
	lifecycle.Append(fx.Hook{OnStart: components.start, OnStop: components.stop})
}

func (components *gatewayComponents) start(context.Context) error {
	components.startFollowing()
	components.Group.Go(components.pruneStatistics)
	components.Group.Go(func(ctx context.Context) { monitorClocks(ctx, components.Log) })
	components.Server.Serve(components.Group)
	components.Metrics.serve(components.Group)
	components.Log.Info().Stringer("Clients", components.Server.Address()).Stringer("Ready", components.Server.ReadyAddress()).
		Str("Version", components.Config.Version).Msg("serving")
	return nil
}

// startFollowing starts what keeps this VM's copies of the store's objects up to date.
func (components *gatewayComponents) startFollowing() {
	components.Group.Go(components.Servers.Run)
	components.Group.Go(components.VMs.Run)
	components.Group.Go(components.Evacuations.mirror.Run)
	components.Group.Go(components.Limits.Run)
	components.Group.Go(components.joinFleet)
	components.Group.Go(components.Exchanger.Run)
}

// pruneInterval is the time between two removals of statistics of routes and services that are no longer configured.
const pruneInterval = time.Minute

// pruneStatistics removes the statistics of routes and services that the configuration in force does not name.
func (components *gatewayComponents) pruneStatistics(ctx context.Context) {
	for swtimer.Wait(ctx, pruneInterval) == nil {
		if table := components.Routes.Current(); table != nil {
			components.Handler.Prune(table)
			components.Replicas.PruneCold(time.Now())
		}
	}
}

// joinFleet opens the transport to other VMs, registers this VM, and then follows the platform's store, directly or through
// another VM. Without the transport it follows the store itself.
func (components *gatewayComponents) joinFleet(ctx context.Context) {
	relayServer := swrelay.NewServer(swrelay.ServerConfig{
		Replicas: components.Replicas, Codec: swgateway.Codec{Protocol: platform.Headers{}}, Leaving: components.Server.Leaving,
		Ready: components.Evacuations.hasSynced,
	})
	services := peerServices{
		feed: components.Feed, relay: relayServer, limiter: components.Limiter, limits: components.Limits, exchanger: components.Exchanger,
	}
	authority, err := components.Peers.open(ctx, components.Config.Settings, components.Store, services)
	if err != nil {
		components.Peers.logListenFailure(err)
	}
	if authority != nil {
		components.Group.Go(func(ctx context.Context) {
			components.Peers.maintain(ctx, components.Config.Settings, components.Store, authority, services)
		})
	}
	if components.Fleet.Join(ctx, components.Store, components.Log) != nil {
		return
	}
	components.Group.Go(func(ctx context.Context) {
		components.Fleet.Maintain(ctx, components.Store, components.Feed.IsLeader, components.Log)
	})
	components.Feed.Run(ctx)
}

const (
	// drainFraction is the fraction of the grace period in which a leaving VM still accepts requests on open connections.
	drainFraction = 0.6
	// answerFraction is the fraction of the grace period in which the last request must be answered, if only with a failure: a connection
	// that closes without an answer tells a client less.
	answerFraction = 0.88
	// finishFraction is the fraction of the grace period in which all requests in flight must finish.
	finishFraction = 0.92
)

// stop stops the gateway gracefully. It first reports not ready and asks clients to close their connections with each response.
// After the drain time it accepts no more requests and waits for those in flight.
func (components *gatewayComponents) stop(ctx context.Context) error {
	started := time.Now()
	grace := time.Duration(components.Grace.Load())
	components.Server.SetLeaving()
	components.Handler.AnswerBy(started.Add(time.Duration(answerFraction * float64(grace))))
	components.Log.Info().Int64("Held", components.Server.InFlight()).Dur("Grace", grace).Msg("leaving")
	components.Feed.Leave()
	ctx, cancel := context.WithDeadline(ctx, started.Add(time.Duration(finishFraction*float64(grace))))
	defer cancel()
	select {
	case <-time.After(time.Duration(drainFraction * float64(grace))):
	case <-ctx.Done():
	}
	err := components.Server.Shutdown(ctx)
	components.Log.Info().Int64("Held", components.Server.InFlight()).Dur("Took", time.Since(started)).Msg("stopped")
	components.Metrics.close()
	if recorderErr := components.Recorder.Close(); err == nil {
		err = recorderErr
	}
	components.Limiter.Close()
	components.Group.Cancel()
	if peerErr := components.Peers.Close(); err == nil {
		err = peerErr
	}
	components.Client.Close()
	return err
}
