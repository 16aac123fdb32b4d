// Package swhttp serves callers and operators over HTTP: searches, keys, runs, health, status and metrics.
package swhttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sycamorewall/sycamorewall/internal/swbody"
	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
)

const (
	// readHeaderTimeout bounds how long a caller may take over its request's header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds how long a caller may take over a whole request.
	readTimeout = 15 * time.Second
	// idleTimeout closes callers' connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// maxHeader is the largest request header in bytes.
	maxHeader = 16 << 10
)

// Queries answers or refuses queries.
type QueryRunner interface {
	Run(ctx context.Context, query swquery.Query) swquery.Result
}

// Keys issues keys and runs non-idempotent work at most once.
type KeyService interface {
	// Issue returns keys. A refusal is a *swcode.Error.
	Issue(ctx context.Context, count int) (swclient.KeysReply, error)
	// Run runs the work under its key, or finds the outcome of the run that has been.
	Run(ctx context.Context, request swclient.RunRequest) swclient.SearchReply
}

// Config holds what a Server is built from.
type Config struct {
	Listen netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Queries QueryRunner
	Keys    KeyService
	// Ready returns nil when the VM can serve, or the reason why not.
	CheckReady func() error
	// Status returns what /v1/status shows, to be encoded as JSON.
	Status  func() any
	Metrics http.Handler
	Log     zerolog.Logger
	// TrustCallerField takes the caller's name from the request where no certificate gives it.
	TrustCallerField bool
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxRequests is the number of requests held at once.
	MaxRequests    int
	DefaultTimeout time.Duration
}

// Server is the listener for callers and operators. Construct it with Listen.
type Server struct {
	config   Config
	listener net.Listener
	server   *http.Server
	held     atomic.Int64
	leaving  atomic.Bool
}

// Listen opens the TCP address. Requests are served once Serve is called.
func Listen(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", config.Listen)
	}
	server := &Server{config: config, listener: listener}
	server.server = &http.Server{
		Handler:           server.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		TLSConfig:         config.TLS,
		ErrorLog:          discardLog,
	}
	return server, nil
}

// Address returns the TCP address in use.
func (server *Server) Address() netip.AddrPort {
	return server.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve accepts callers in the group until Shutdown.
func (server *Server) Serve(group *swgroup.Group) {
	group.Go(func(context.Context) {
		err := server.serve()
		if !errors.Is(err, http.ErrServerClosed) {
			server.config.Log.Error().Err(err).Msg("the listener for callers failed")
		}
	})
}

func (server *Server) serve() error {
	if server.config.TLS == nil {
		return server.server.Serve(server.listener)
	}
	return server.server.ServeTLS(server.listener, "", "")
}

// SetLeaving makes every further answer close its connection, so that callers move to other VMs.
func (server *Server) SetLeaving() {
	server.leaving.Store(true)
}

// Shutdown stops accepting and waits for the requests in flight, until the context ends.
func (server *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(server.server.Shutdown(ctx), "shut down the listener for callers")
}

// Abort closes the listener and every connection at once.
func (server *Server) Abort() {
	_ = server.server.Close()
}

func (server *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/livez", server.live).Methods(http.MethodGet)
	router.HandleFunc("/readyz", server.ready).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", server.status).Methods(http.MethodGet)
	router.Handle("/metrics", server.config.Metrics).Methods(http.MethodGet)
	router.Handle(swclient.PathSearch, server.bounded(server.search)).Methods(http.MethodPost)
	router.Handle(swclient.PathKeys, server.bounded(server.keys)).Methods(http.MethodPost)
	router.Handle(swclient.PathRuns, server.bounded(server.runs)).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return server.recovering(swbody.DrainBody(router))
}
