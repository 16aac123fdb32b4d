// Package swhttp serves the HTTP API for callers (searches, idempotency keys and runs) and for operators (health, status and
// metrics).
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
	"github.com/sycamorewall/sycamorewall/internal/swlistener"
	"github.com/sycamorewall/sycamorewall/internal/swquery"
	"github.com/sycamorewall/sycamorewall/pkg/swclient"
)

const (
	// readHeaderTimeout is the time in which a caller must send a request's header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout is the time in which a caller must send a whole request.
	readTimeout = 15 * time.Second
	// idleTimeout is how long a caller's connection may stay idle before it is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the largest accepted request header.
	maxHeaderBytes = 16 << 10
	// bodyCopies is how often the bytes of a body are held: in the decoder's buffer, which may be twice as large, in the buffer that it
	// replaced, and decoded.
	bodyCopies = 4
)

// QueryRunner runs queries.
type QueryRunner interface {
	// Run runs a query. A refusal is part of the result.
	Run(ctx context.Context, query swquery.Query) swquery.Result
}

// KeyService issues idempotency keys and runs non-idempotent requests at most once.
type KeyService interface {
	// Issue returns new keys. A refusal is returned as a *swcode.Error.
	Issue(ctx context.Context, count int) (swclient.KeysReply, error)
	// Run runs a request under its key, or returns the outcome of an earlier run under the same key.
	Run(ctx context.Context, request swclient.RunRequest) swclient.SearchReply
}

// Config holds what a Server is built from.
type Config struct {
	Listen netip.AddrPort
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Queries QueryRunner
	Keys    KeyService
	// CheckReady returns nil if the VM is ready, or the reason why it is not.
	CheckReady func() error
	// Status returns the reply of /v1/status, which is encoded as JSON.
	Status  func() any
	Metrics http.Handler
	Log     zerolog.Logger
	// TrustCallerField accepts the caller's name from the request if there is no client certificate.
	TrustCallerField bool
	// MaxBody is the largest accepted request body in bytes.
	MaxBody int64
	// MaxRequests is the largest number of requests in flight.
	MaxRequests int
	// DefaultTimeout applies to requests that give no timeout.
	DefaultTimeout time.Duration
	// Guard bounds what callers make the process hold. If nil, there is no such bound. MaxConnections bounds the connections of callers; zero
	// means that only the memory bounds them.
	Guard          *swlistener.Guard
	MaxConnections int
}

// Server is the HTTP server for callers and operators. Construct it with Listen.
type Server struct {
	config   Config
	listener net.Listener
	server   *http.Server
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// Listen opens the TCP address. Requests are served after Serve is called.
func Listen(config Config) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", config.Listen)
	}
	if config.Guard == nil {
		config.Guard = swlistener.Unlimited()
	}
	server := &Server{config: config, listener: listener}
	server.server = &http.Server{
		ConnState:         config.Guard.TrackState,
		ConnContext:       config.Guard.ConnContext,
		Handler:           server.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         config.TLS,
		ErrorLog:          discardLogger,
	}
	return server, nil
}

// Address returns the TCP address in use.
func (server *Server) Address() netip.AddrPort {
	return server.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve accepts connections in a goroutine of the group until Shutdown or Abort.
func (server *Server) Serve(group *swgroup.Group) {
	group.Go(func(context.Context) {
		err := server.serve()
		if !errors.Is(err, http.ErrServerClosed) {
			server.config.Log.Error().Err(err).Msg("the listener for callers failed")
		}
	})
}

func (server *Server) serve() error {
	listener := server.config.Guard.Listen(server.listener, swlistener.Limits{
		MaxConnections: server.config.MaxConnections,
		Header:         func() swlistener.HeaderLimits { return swlistener.LimitsFor(maxHeaderBytes) },
		Opaque:         server.config.TLS != nil,
	})
	if server.config.TLS == nil {
		return server.server.Serve(listener)
	}
	return server.server.ServeTLS(listener, "", "")
}

// SetLeaving makes every further response close its connection, so that callers connect to other VMs.
func (server *Server) SetLeaving() {
	server.leaving.Store(true)
}

// Shutdown stops accepting connections and waits for the requests in flight until the context ends.
func (server *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(server.server.Shutdown(ctx), "shut down the listener for callers")
}

// Abort closes the listener and every connection without waiting for requests in flight.
func (server *Server) Abort() {
	_ = server.server.Close()
}

func (server *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/livez", server.handleLive).Methods(http.MethodGet)
	router.HandleFunc("/readyz", server.handleReady).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", server.handleStatus).Methods(http.MethodGet)
	router.Handle("/metrics", server.config.Metrics).Methods(http.MethodGet)
	router.Handle(swclient.PathSearch, server.limitRequests(server.handleSearch)).Methods(http.MethodPost)
	router.Handle(swclient.PathKeys, server.limitRequests(server.handleKeys)).Methods(http.MethodPost)
	router.Handle(swclient.PathRuns, server.limitRequests(server.handleRuns)).Methods(http.MethodPost)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return server.recoverPanics(swbody.DrainBody(server.config.Guard.Handler(router, bodyCopies)))
}
