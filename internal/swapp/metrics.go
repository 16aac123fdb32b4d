package swapp

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swbody"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swmetric"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

// metricHeaderTimeout bounds the time in which the metrics collector must send a request's header.
const metricHeaderTimeout = 5 * time.Second

const (
	// metricIdleTimeout is how long a collector may keep a connection open between two reads; collectors read at least every few minutes.
	metricIdleTimeout = 10 * time.Minute
	// maxCollectors bounds the connections of collectors. Each answer takes tens of kilobytes.
	maxCollectors = 16
	// maxMetricHeader is the largest header of a collector's request in bytes; usual ones have a few hundred.
	maxMetricHeader = 8 << 10
)

// gaugeInterval is the time between two updates of the metrics that show a current state.
const gaugeInterval = time.Second

// metricServer serves metrics on a listener of its own, which clients cannot reach. It does nothing if no address is configured.
type metricServer struct {
	listener net.Listener
	server   *http.Server
	recorder *swmetric.Recorder
	replicas *swreplica.Registry
	guard    *swlistener.Guard
	log      zerolog.Logger
}

func newMetricServer(config Config, recorder *swmetric.Recorder, replicas *swreplica.Registry, guard *swlistener.Guard, log zerolog.Logger) (*metricServer, error) {
	address := config.Settings.Gateway.Metrics
	if !address.IsValid() {
		return &metricServer{}, nil
	}
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for the metrics collector on %s", address)
	}
	router := mux.NewRouter()
	router.Handle("/metrics", recorder.Handler()).Methods(http.MethodGet)
	return &metricServer{
		listener: guard.Listen(listener, swlistener.Limits{
			MaxConnections: maxCollectors, Header: func() swlistener.HeaderLimits { return swlistener.LimitsFor(maxMetricHeader) },
		}),
		recorder: recorder, replicas: replicas, guard: guard, log: log,
		server: &http.Server{
			Handler: swbody.DrainBody(guard.Handler(router, 1)), ReadHeaderTimeout: metricHeaderTimeout, ReadTimeout: metricHeaderTimeout, IdleTimeout: metricIdleTimeout,
			MaxHeaderBytes: maxMetricHeader, ConnState: guard.TrackState, ConnContext: guard.ConnContext, ErrorLog: stdlog.New(io.Discard, "", 0),
		},
	}, nil
}

func (metricServer *metricServer) serve(group *swgroup.Group) {
	if metricServer.server == nil {
		return
	}
	group.Go(func(context.Context) {
		if err := metricServer.server.Serve(metricServer.listener); !errors.Is(err, http.ErrServerClosed) {
			metricServer.log.Error().Err(err).Msg("the metrics listener failed")
		}
	})
	group.Go(func(ctx context.Context) {
		// shown holds the data centres whose gauge exists, so that it falls to zero when their last replica is removed.
		shown := make(map[string]bool)
		for swtimer.Wait(ctx, gaugeInterval) == nil {
			counts := metricServer.replicas.CountByState(time.Now())
			for _, state := range swreplica.States {
				metricServer.recorder.SetReplicas(string(state), counts[state])
			}
			inFlight := metricServer.replicas.InFlightByDataCentre()
			for dataCentre := range shown {
				inFlight[dataCentre] += 0
			}
			for dataCentre, count := range inFlight {
				metricServer.recorder.SetInFlight(dataCentre, count)
				shown[dataCentre] = true
			}
			metricServer.recorder.SetClients(metricServer.guard.Connections(), metricServer.guard.Used())
		}
	})
}

func (metricServer *metricServer) close() {
	if metricServer.server != nil {
		_ = metricServer.server.Close()
	}
}
