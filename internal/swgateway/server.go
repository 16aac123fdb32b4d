package swgateway

import (
	"context"
	"io"
	"log"
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
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// headerTimeout bounds the reading of a request's header independently of the configuration; probeTimeout does so for
	// readiness probes of the balancer.
	headerTimeout = time.Minute
	probeTimeout  = 5 * time.Second
	// probeIdleTimeout is how long the balancer may keep a connection open between two probes, and maxProbes the number of its connections:
	// far more than the probes of any balancer take.
	probeIdleTimeout = 5 * time.Minute
	maxProbes        = 64
	// maxProbeHeader is the largest header of a probe in bytes; that of a balancer has a few hundred.
	maxProbeHeader = 8 << 10
	// maxHeaderBytes is the largest request header that is read; the limit in the configuration is lower.
	maxHeaderBytes = 256 << 10
	// limitCheckInterval is how often connections are checked for the idle and header timeouts.
	limitCheckInterval = time.Second
)

// ServerConfig holds the parameters of a Server.
type ServerConfig struct {
	// Listen is the TCP address for clients. Ready is the TCP address that the balancer probes at ReadyPath.
	Listen    netip.AddrPort
	Ready     netip.AddrPort
	ReadyPath string
	Handler   http.Handler
	// CheckReady returns nil if this VM is ready, or the reason why it is not.
	CheckReady func() error
	Routes     *swroute.ActiveTable
	// Guard bounds what clients and the balancer make the process hold. If nil, there is no such bound. MaxClients bounds the connections of
	// clients; zero means that only the memory bounds them.
	Guard      *swlistener.Guard
	MaxClients int
	Log        zerolog.Logger
}

// Server listens for clients and for the balancer's probes. Construct it with Listen.
type Server struct {
	config         ServerConfig
	clientListener net.Listener
	readyListener  net.Listener
	handler        http.Handler
	clientServer   *http.Server
	readyServer    *http.Server
	leaving        atomic.Bool
	connections    *connTable
	inFlight       atomic.Int64
}

// Listen opens both listeners. Nothing is served before Serve.
func Listen(config ServerConfig) (*Server, error) {
	clientListener, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for clients on %s", config.Listen)
	}
	readyListener, err := net.Listen("tcp", config.Ready.String())
	if err != nil {
		clientListener.Close()
		return nil, errors.Wrapf(err, "listen for the balancer on %s", config.Ready)
	}
	server := newServer(config)
	server.clientListener, server.readyListener = clientListener, readyListener
	return server, nil
}

// newServer returns a server without listeners.
func newServer(config ServerConfig) *Server {
	if config.Guard == nil {
		config.Guard = swlistener.Unlimited()
	}
	guard := config.Guard
	server := &Server{
		config:      config,
		handler:     swbody.DrainBody(guard.Handler(config.Handler, bodyCopies)),
		connections: newConnTable(),
	}
	server.connections.onSlowHeader = guard.RecordTimeout
	discard := log.New(io.Discard, "", 0)
	server.clientServer = &http.Server{
		Handler:           http.HandlerFunc(server.serveClient),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         server.trackState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return guard.ConnContext(context.WithValue(ctx, connectionKey{}, conn), conn)
		},
		ErrorLog: discard,
	}
	router := mux.NewRouter()
	router.HandleFunc(config.ReadyPath, server.serveReady).Methods(http.MethodGet)
	server.readyServer = &http.Server{
		Handler: swbody.DrainBody(guard.Handler(router, 1)), ReadHeaderTimeout: probeTimeout, ReadTimeout: probeTimeout, IdleTimeout: probeIdleTimeout,
		MaxHeaderBytes: maxProbeHeader, ConnState: guard.TrackState, ConnContext: guard.ConnContext, ErrorLog: discard,
	}
	return server
}

// Address returns the TCP address for clients.
func (server *Server) Address() netip.AddrPort {
	return server.clientListener.Addr().(*net.TCPAddr).AddrPort()
}

// ReadyAddress returns the TCP address for the balancer.
func (server *Server) ReadyAddress() netip.AddrPort {
	return server.readyListener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve accepts connections in the group until Shutdown.
func (server *Server) Serve(group *swgroup.Group) {
	serve := func(httpServer *http.Server, listener net.Listener) {
		group.Go(func(context.Context) {
			if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				server.config.Log.Error().Err(err).Str("Address", listener.Addr().String()).Msg("a listener failed")
			}
		})
	}
	guard := server.config.Guard
	clients := guard.Listen(server.clientListener, swlistener.Limits{MaxConnections: server.config.MaxClients, Header: server.headerBounds})
	serve(server.clientServer, &clientListener{Listener: clients, connTable: server.connections})
	serve(server.readyServer, guard.Listen(server.readyListener, swlistener.Limits{
		MaxConnections: maxProbes, Header: func() swlistener.HeaderLimits { return swlistener.LimitsFor(maxProbeHeader) },
	}))
	group.Go(server.enforceLimits)
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func (server *Server) serveClient(writer http.ResponseWriter, httpRequest *http.Request) {
	if conn, ok := httpRequest.Context().Value(connectionKey{}).(net.Conn); ok && !server.connections.claim(conn) {
		// The connection was answered with a timeout, so this request must not run.
		panic(http.ErrAbortHandler)
	}
	server.inFlight.Add(1)
	defer server.inFlight.Add(-1)
	if server.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	server.handler.ServeHTTP(writer, httpRequest)
}

func (server *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	if err := server.config.CheckReady(); err != nil || server.leaving.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Leaving reports whether SetLeaving was called.
func (server *Server) Leaving() bool {
	return server.leaving.Load()
}

// SetLeaving makes the readiness probe fail and every further response close its connection. Idle connections stay open, so that
// requests already on their way are answered.
func (server *Server) SetLeaving() {
	server.leaving.Store(true)
}

// InFlight returns the number of requests in flight.
func (server *Server) InFlight() int64 {
	return server.inFlight.Load()
}

// Shutdown stops accepting connections, closes idle ones and waits for the requests in flight until the context ends.
func (server *Server) Shutdown(ctx context.Context) error {
	err := server.clientServer.Shutdown(ctx)
	if closeErr := server.readyServer.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "shut down the listeners")
}

// trackState records the phase of a connection.
func (server *Server) trackState(conn net.Conn, state http.ConnState) {
	server.config.Guard.TrackState(conn, state)
	switch state {
	case http.StateNew:
		server.connections.setPhase(conn, phaseNew)
	case http.StateIdle:
		server.connections.setPhase(conn, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		server.connections.conns.Delete(conn)
	case http.StateActive:
	}
}

// enforceLimits closes connections that exceed the idle or header timeout of the configuration in force.
func (server *Server) enforceLimits(ctx context.Context) {
	for swtimer.Wait(ctx, limitCheckInterval) == nil {
		table := server.config.Routes.Current()
		if table == nil {
			continue
		}
		server.connections.enforce(table.Limits)
	}
}
