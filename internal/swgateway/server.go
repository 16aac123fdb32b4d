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
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/internal/swtimer"
)

const (
	// headerTimeout bounds the reading of a request's header whatever the configuration says, probeTimeout that of the balancer.
	headerTimeout = time.Minute
	probeTimeout  = 5 * time.Second
	// maxHeader is the largest request header that is read, in bytes; the configuration's limit is below it.
	maxHeader = 256 << 10
	// limitCheck is how often connections are looked at for having been idle, or at a header, too long.
	limitCheck = time.Second
)

// ServerConfig holds what a Server is built from.
type ServerConfig struct {
	// Listen is the TCP address for clients, Ready the one that the balancer asks at ReadyPath.
	Listen    netip.AddrPort
	Ready     netip.AddrPort
	ReadyPath string
	Handler   http.Handler
	// IsReady returns nil when this VM serves, or the reason why not.
	CheckReady func() error
	Routes     *swroute.ActiveTable
	Log        zerolog.Logger
}

// Server is the listener for clients and that for the balancer. Construct it with Listen.
type Server struct {
	config  ServerConfig
	clients net.Listener
	ready   net.Listener
	handler http.Handler
	front   *http.Server
	probes  *http.Server
	leaving atomic.Bool
	waits   *waitTable
	held    atomic.Int64
}

// Listen opens both addresses. Nothing is served before Serve.
func Listen(config ServerConfig) (*Server, error) {
	clients, err := net.Listen("tcp", config.Listen.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen for clients on %s", config.Listen)
	}
	ready, err := net.Listen("tcp", config.Ready.String())
	if err != nil {
		clients.Close()
		return nil, errors.Wrapf(err, "listen for the balancer on %s", config.Ready)
	}
	server := newServer(config)
	server.clients, server.ready = clients, ready
	return server, nil
}

// newServer returns a server without listeners.
func newServer(config ServerConfig) *Server {
	server := &Server{
		config:  config,
		handler: swbody.Drained(config.Handler),
		waits:   newWaitTable(),
	}
	discard := log.New(io.Discard, "", 0)
	server.front = &http.Server{
		Handler:           http.HandlerFunc(server.serveClient),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         server.noteState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
		ErrorLog: discard,
	}
	router := mux.NewRouter()
	router.HandleFunc(config.ReadyPath, server.serveReady).Methods(http.MethodGet)
	server.probes = &http.Server{Handler: router, ReadHeaderTimeout: probeTimeout, ErrorLog: discard}
	return server
}

// Address returns the TCP address for clients.
func (server *Server) Address() netip.AddrPort {
	return server.clients.Addr().(*net.TCPAddr).AddrPort()
}

// ReadyAddress returns the TCP address for the balancer.
func (server *Server) ReadyAddress() netip.AddrPort {
	return server.ready.Addr().(*net.TCPAddr).AddrPort()
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
	serve(server.front, &clientListener{Listener: server.clients, table: server.waits})
	serve(server.probes, server.ready)
	group.Go(server.keepLimits)
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func (server *Server) serveClient(writer http.ResponseWriter, message *http.Request) {
	if conn, ok := message.Context().Value(connectionKey{}).(net.Conn); ok && !server.waits.take(conn) {
		// The client was told that the request did not come in time, which must stay true.
		panic(http.ErrAbortHandler)
	}
	server.held.Add(1)
	defer server.held.Add(-1)
	if server.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	server.handler.ServeHTTP(writer, message)
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

// SetLeaving turns the VM not ready and makes every further answer close its connection. Connections that carry nothing
// stay open, so that a request that is on its way is answered.
func (server *Server) SetLeaving() {
	server.leaving.Store(true)
}

// Held returns the number of requests under way.
func (server *Server) InFlight() int64 {
	return server.held.Load()
}

// Shutdown stops accepting, closes what is idle and waits for the requests under way until the context ends.
func (server *Server) Shutdown(ctx context.Context) error {
	err := server.front.Shutdown(ctx)
	if closeErr := server.probes.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "shut down the listeners")
}

// noteState keeps what a connection waits for.
func (server *Server) noteState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		server.waits.begin(conn, waitFirst)
	case http.StateIdle:
		server.waits.begin(conn, waitNext)
	case http.StateClosed, http.StateHijacked:
		server.waits.conns.Delete(conn)
	case http.StateActive:
	}
}

// keepLimits closes connections that were idle, or at a header, for longer than the configuration in force allows.
func (server *Server) keepLimits(ctx context.Context) {
	for swtimer.Wait(ctx, limitCheck) == nil {
		table := server.config.Routes.Current()
		if table == nil {
			continue
		}
		server.waits.enforce(table.Limits)
	}
}
