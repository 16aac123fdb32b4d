package swapp

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swadmission"
	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swhttp"
	"github.com/sycamorewall/sycamorewall/internal/swindex"
	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swlog"
	"github.com/sycamorewall/sycamorewall/internal/swmember"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swquarantine"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/internal/swrollout"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

func newLogger(config Config) (zerolog.Logger, error) {
	return swlog.New(swlog.Config{
		Out:        config.LogOut,
		Level:      config.Settings.Log.Level,
		VM:         config.Settings.Name,
		DataCentre: config.Settings.DataCentre,
	})
}

func newGroup() *swgroup.Group {
	return swgroup.New(context.Background())
}

func newRecorder(config Config) *swmetric.Recorder {
	return swmetric.New(config.Settings.Name, config.Settings.DataCentre)
}

func newIndexRegistry() *swindex.Registry {
	return swindex.NewRegistry()
}

func newPeerNode(config Config, log zerolog.Logger) (*swpeer.Node, error) {
	certificate, authorities, err := loadTLS(config.Settings.Peer.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "Peer.TLS")
	}
	return swpeer.Listen(swpeer.Config{
		Listen: config.Settings.Peer.Listen,
		TLS:    swpeer.NewMutualTLS(certificate, authorities),
		OnError: func(method swpeer.Method, peer string, err error) {
			log.Debug().Uint8("Method", uint8(method)).Str("Peer", peer).Err(err).Msg("serving a call from a peer failed")
		},
	})
}

// loadTLS reads a certificate with its key, and the CAs that must have signed the other side's certificate.
func loadTLS(files swsetting.TLS) (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load certificate and key")
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "read CA")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return tls.Certificate{}, nil, errors.Errorf("%s holds no PEM certificate", files.CA)
	}
	return certificate, authorities, nil
}

func newRecordStore(config Config) *swmember.RecordStore {
	return swmember.NewRecordStore(swmember.RecordStoreConfig{})
}

func newDirectory(config Config, node *swpeer.Node, recordStore *swmember.RecordStore, log zerolog.Logger) *swmember.Directory {
	settings := config.Settings
	advertise := settings.Peer.Advertise
	if !advertise.IsValid() {
		advertise = node.Address()
	}
	directory := swmember.NewDirectory(swmember.Config{
		Self: swmember.Member{
			Name:        settings.Name,
			Incarnation: uint64(time.Now().UnixMilli()),
			Region:      settings.Region,
			DataCentre:  settings.DataCentre,
			Peer:        advertise,
			Caller:      settings.Caller.Listen,
		},
		Transport:        node,
		Records:          recordStore,
		ProbeInterval:    settings.Member.ProbeEvery,
		ProbeTimeout:     settings.Member.ProbeTimeout,
		SuspicionTimeout: settings.Member.SuspectFor,
		Log:              log,
	})
	directory.AddSeeds(settings.Peer.Seeds)
	return directory
}

func newRolloutStore(recordStore *swmember.RecordStore, directory *swmember.Directory, node *swpeer.Node, log zerolog.Logger) *swrollout.Store {
	return swrollout.New(swrollout.Config{Records: recordStore, Members: directory, Transport: node, Log: log})
}

func newPlatformClient(config Config) (*swplatform.Client, error) {
	return swplatform.New(swplatform.Config{URL: config.Settings.Platform.URL, Timeout: config.Settings.Platform.Timeout})
}

func newPool(config Config, registry *swindex.Registry, recordStore *swmember.RecordStore, quarantine *swquarantine.Tracker, recorder *swmetric.Recorder) *swbackend.Pool {
	return swbackend.NewPool(swbackend.Config{
		Admission: config.Settings.Admission,
		OnLeaving: func(server string) { announceDraining(registry, recordStore, server) },
		OnCrash: func(server string, fingerprints []uint64) {
			recorder.CountEvent("backend_crashes", 1)
			quarantine.RecordCrash(server, fingerprints)
		},
		Observer: poolObserver{recorder: recorder},
	})
}

func newGate() *swadmission.Gate {
	return swadmission.NewGate()
}

func newEngine(config Config, group *swgroup.Group, registry *swindex.Registry, directory *swmember.Directory, rules *activeRules,
	limiter *swadmission.Limiter, gate *swadmission.Gate, quarantine *swquarantine.Tracker, pool *swbackend.Pool, node *swpeer.Node,
	recorder *swmetric.Recorder, log zerolog.Logger,
) *swquery.Engine {
	settings := config.Settings.Query
	return swquery.New(swquery.Config{
		Group:           group,
		Registry:        registry,
		Members:         directory,
		Rules:           rules,
		Limiter:         limiter,
		Gate:            gate,
		Quarantine:      quarantine,
		Crashes:         quarantine,
		Backends:        pool,
		Dialer:          swquery.PeerDialer{Node: node},
		Recorder:        recorder,
		Placement:       placement(settings.Placement),
		Log:             log,
		AckTimeout:      settings.AckTimeout,
		HedgePercent:    settings.HedgePercent,
		HedgePercentile: settings.HedgePercentile,
		MaxTimeout:      settings.MaxTimeout,
		ShedByCohort:    config.Settings.Admission.ShedByCohort,
	})
}

func placement(name string) swquery.Placement {
	if name == swsetting.PlacementDirect {
		return swquery.DirectPlacement{}
	}
	return swquery.OwnerPlacement{}
}

func newCallerServer(config Config, engine *swquery.Engine, runs *runService, state *vmState, recorder *swmetric.Recorder, guard *swlistener.Guard, log zerolog.Logger) (*swhttp.Server, error) {
	settings := config.Settings.Caller
	callerTLS, err := callerTLS(settings.TLS)
	if err != nil {
		return nil, err
	}
	return swhttp.Listen(swhttp.Config{
		Listen:           settings.Listen,
		TLS:              callerTLS,
		Queries:          engine,
		Keys:             runs,
		CheckReady:       state.CheckReady,
		Status:           func() any { return state.Status() },
		Metrics:          recorder.Handler(),
		Log:              log,
		TrustCallerField: settings.TrustCallerField,
		MaxBody:          settings.MaxBody,
		MaxRequests:      settings.MaxRequests,
		DefaultTimeout:   config.Settings.Query.DefaultTimeout,
		Guard:            guard,
		MaxConnections:   maxClients(config),
	})
}

// callerTLS returns the TLS configuration for callers, or nil for plain HTTP. Client certificates are optional and verified: the
// name of a caller without one is accepted only with Caller.TrustCallerField.
func callerTLS(files swsetting.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	certificate, authorities, err := loadTLS(files)
	if err != nil {
		return nil, errors.Wrap(err, "Caller.TLS")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    authorities,
		ClientAuth:   tls.VerifyClientCertIfGiven,
	}, nil
}

func newWatcher(config Config, client *swplatform.Client, directory *swmember.Directory, node *swpeer.Node, store *swrollout.Store,
	registry *swindex.Registry, recordStore *swmember.RecordStore, log zerolog.Logger,
) *swrollout.Watcher {
	return swrollout.NewWatcher(swrollout.WatcherConfig{
		Platform:     client,
		Directory:    directory,
		Transport:    node,
		Store:        store,
		WatchWait:    config.Settings.Platform.WatchWait,
		ListInterval: config.Settings.Platform.ListEvery,
		OnServerLeaving: func(server string) {
			announceDraining(registry, recordStore, server)
		},
		Log: log,
	})
}

func newQuarantine(config Config, recordStore *swmember.RecordStore) *swquarantine.Tracker {
	return swquarantine.New(swquarantine.Config{Name: config.Settings.Name, Records: recordStore})
}

func newLimiter(directory *swmember.Directory, node *swpeer.Node) *swadmission.Limiter {
	return swadmission.NewLimiter(swadmission.LimiterConfig{View: directory.View, Peers: node})
}
