package swpeer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

const (
	// protocol is the TLS application protocol between VMs.
	protocol = "sycamorewall/1"
	// ServerName is the DNS name in the certificate of every VM.
	ServerName = "sycamorewall"
	// maxStreams is the number of streams that a peer may have open at once on a connection.
	maxStreams = 8192
	// idleTimeout is how long a connection may stay idle before it is closed.
	idleTimeout = 60 * time.Second
	// handshakeTimeout bounds the time to open a connection.
	handshakeTimeout = 2 * time.Second
	// streamWindow is the initial receive window of a stream in bytes.
	streamWindow = 64 << 10
	// connectionWindow is the initial receive window of a connection in bytes.
	connectionWindow = 256 << 10
)

// nodeClosedCode is the QUIC error code of a connection that is closed because its node is closed.
const nodeClosedCode quic.ApplicationErrorCode = 1

// Handler serves one stream that a peer opened. The context ends when the peer cancels the stream, the connection is lost or the
// node is closed.
type Handler func(ctx context.Context, stream *Stream) error

// Config holds what a Node is built from.
type Config struct {
	// Listen is the UDP address of this VM.
	Listen netip.AddrPort
	// TLS holds this VM's certificate and the CA that must have signed the certificates of peers.
	TLS *tls.Config
	// OnError is called with each error that a handler returns. It may be nil.
	OnError func(method Method, peer string, err error)
}

// Node opens streams to peers and serves the streams that peers open, over one UDP socket. Construct it with Listen.
type Node struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	group     *swgroup.Group
	// handshakes counts the connections of others that have not proven who they are.
	handshakes *handshakes

	handlersMutex sync.RWMutex
	handlers      map[Method]Handler

	mutex               sync.Mutex
	outboundConnections map[netip.AddrPort]*outboundConnection
	// openConnections holds the open connections in both directions, which close with the node. It is nil once the node is
	// closed.
	openConnections map[*quic.Conn]struct{}

	closeOnce sync.Once
	closeErr  error
}

// outboundConnection is a connection to a peer that is being dialled or is open. ready is closed when the dial has ended.
type outboundConnection struct {
	ready      chan struct{}
	connection *quic.Conn
	err        error
}

// NewMutualTLS returns a TLS configuration for clients and servers, both of which present a certificate and verify the other's.
func NewMutualTLS(certificate tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
		ServerName:   ServerName,
	}
}

// Listen opens the UDP address. Streams of peers are served after Serve is called.
func Listen(config Config) (*Node, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", config.Listen)
	}
	handshakes := &handshakes{}
	transport := &quic.Transport{
		Conn: socket, StatelessResetKey: resetKey(config.TLS), VerifySourceAddress: handshakes.mustVerify, ConnContext: handshakes.begin,
	}
	listener, err := transport.Listen(config.TLS, quicConfig())
	if err != nil {
		socket.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Node{
		config:              config,
		transport:           transport,
		handshakes:          handshakes,
		listener:            listener,
		group:               swgroup.New(context.Background()),
		handlers:            make(map[Method]Handler),
		outboundConnections: make(map[netip.AddrPort]*outboundConnection),
		openConnections:     make(map[*quic.Conn]struct{}),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		// Path MTU discovery sends 10 KB for each connection, which is more than VMs send each other in several seconds.
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
	}
}

// Address returns the UDP address in use.
func (node *Node) Address() netip.AddrPort {
	return node.listener.Addr().(*net.UDPAddr).AddrPort()
}

// Handle registers the handler of a method. It may be called before or after Serve.
func (node *Node) Handle(method Method, handler Handler) {
	node.handlersMutex.Lock()
	defer node.handlersMutex.Unlock()
	node.handlers[method] = handler
}

// Serve accepts connections from peers in a goroutine until Close.
func (node *Node) Serve() {
	node.group.Go(func(ctx context.Context) {
		for {
			connection, err := node.listener.Accept(ctx)
			if err != nil {
				return
			}
			node.group.Go(func(ctx context.Context) { node.serveConnection(ctx, connection) })
		}
	})
}

// Close closes all connections and the socket, and waits for the handlers. Later calls return the result of the first.
func (node *Node) Close() error {
	node.closeOnce.Do(func() { node.closeErr = node.close() })
	return node.closeErr
}

func (node *Node) close() error {
	node.closeConnections()
	node.group.Cancel()
	err := node.listener.Close()
	if closeErr := node.transport.Close(); err == nil {
		err = closeErr
	}
	if closeErr := node.transport.Conn.Close(); err == nil {
		err = closeErr
	}
	node.group.Wait()
	return errors.Wrap(err, "close peer listener")
}

// closeConnections closes every connection with an error code that peers receive at once, so that they don't wait for a timeout.
func (node *Node) closeConnections() {
	node.mutex.Lock()
	connections := node.openConnections
	node.openConnections = nil
	node.mutex.Unlock()
	var waitGroup sync.WaitGroup
	for connection := range connections {
		waitGroup.Go(func() { _ = connection.CloseWithError(nodeClosedCode, "closing") })
	}
	waitGroup.Wait()
}

// trackConnection adds a connection to openConnections until it ends.
func (node *Node) trackConnection(connection *quic.Conn) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.openConnections == nil {
		return
	}
	node.openConnections[connection] = struct{}{}
	context.AfterFunc(connection.Context(), func() {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		delete(node.openConnections, connection)
	})
}

// serveConnection serves the streams of a connection that a peer opened, until the connection ends.
func (node *Node) serveConnection(ctx context.Context, connection *quic.Conn) {
	node.handshakes.complete(connection.Context())
	node.trackConnection(connection)
	certificate := peerCertificate(connection)
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		node.group.Go(func(ctx context.Context) { node.serveStream(ctx, newStream(stream, certificate)) })
	}
}

// serveStream reads the method, which is the first byte of the stream, and calls its handler. The stream is cancelled if the
// handler returns an error.
func (node *Node) serveStream(ctx context.Context, stream *Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(stream.Context(), cancel)
	defer stop()
	method, err := stream.reader.ReadByte()
	if err != nil {
		stream.Cancel()
		return
	}
	handler := node.handler(Method(method))
	if handler == nil {
		stream.Cancel()
		return
	}
	if err := handler(ctx, stream); err != nil {
		stream.Cancel()
		if node.config.OnError != nil {
			node.config.OnError(Method(method), stream.PeerName(), err)
		}
		return
	}
	if err := stream.CloseSend(); err != nil {
		stream.Cancel()
		return
	}
	stream.stream.CancelRead(streamCancelledCode)
}

func (node *Node) handler(method Method) Handler {
	node.handlersMutex.RLock()
	defer node.handlersMutex.RUnlock()
	return node.handlers[method]
}

func peerCertificate(connection *quic.Conn) *x509.Certificate {
	certificates := connection.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return nil
	}
	return certificates[0]
}

// Open opens a stream to the peer at target, over a new connection if there is none.
func (node *Node) Open(ctx context.Context, target netip.AddrPort, method Method) (*Stream, error) {
	connection, stream, err := node.openStream(ctx, target)
	if err != nil && connection != nil && ctx.Err() == nil {
		// The connection had ended without this node having noticed. Nothing was sent, so it is safe to try again on a new one.
		connection, stream, err = node.openStream(ctx, target)
	}
	if err != nil {
		return nil, err
	}
	if _, err := stream.Write([]byte{byte(method)}); err != nil {
		return nil, errors.Wrapf(err, "write to %s", target)
	}
	return newStream(stream, peerCertificate(connection)), nil
}

// openStream opens a stream on the connection to target. If the connection fails, it is removed and returned with the error.
func (node *Node) openStream(ctx context.Context, target netip.AddrPort) (*quic.Conn, *quic.Stream, error) {
	connection, err := node.getConnection(ctx, target)
	if err != nil {
		return nil, nil, err
	}
	if ctx.Err() != nil {
		return connection, nil, errors.Wrapf(ctx.Err(), "open stream to %s", target)
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		// A caller that gives up while it waits says nothing about the connection, but a peer that allows no stream until the deadline is silent.
		if !errors.Is(ctx.Err(), context.Canceled) || connection.Context().Err() != nil {
			node.dropConnection(target, connection)
		}
		return connection, nil, errors.Wrapf(err, "open stream to %s", target)
	}
	return connection, stream, nil
}

// Call sends request and receives one reply. If the deadline passes without a reply, the next stream uses a new connection, whose
// handshake shows whether the peer can be reached.
func (node *Node) Call(ctx context.Context, target netip.AddrPort, method Method, request, reply any) error {
	stream, err := node.Open(ctx, target, method)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(request); err != nil {
		return errors.Wrapf(err, "send to %s", target)
	}
	// This fails if the peer has replied already and reads no further, which Receive tells from a lost connection.
	_ = stream.CloseSend()
	if err := stream.Receive(reply); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			node.Reconnect(target)
		}
		return errors.Wrapf(err, "receive from %s", target)
	}
	return nil
}

// HandleCall registers the handler of a method with one request and one reply. peer is the name in the caller's certificate.
func HandleCall[Request, Reply any](node *Node, method Method, serve func(ctx context.Context, peer string, request Request) (Reply, error)) {
	node.Handle(method, func(ctx context.Context, stream *Stream) error {
		var request Request
		if err := stream.Receive(&request); err != nil {
			return err
		}
		reply, err := serve(ctx, stream.PeerName(), request)
		if err != nil {
			return err
		}
		return stream.Send(reply)
	})
}

// Reconnect makes the next stream to target use a new connection. Open streams continue on the old one until they end or it
// reaches its idle timeout.
func (node *Node) Reconnect(target netip.AddrPort) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	delete(node.outboundConnections, target)
}

// getConnection returns the connection to target and dials one if there is none. Concurrent calls share a dial, which does not
// end with the context of a call.
func (node *Node) getConnection(ctx context.Context, target netip.AddrPort) (*quic.Conn, error) {
	node.mutex.Lock()
	outbound, ok := node.outboundConnections[target]
	if !ok || outbound.isBroken() {
		outbound = &outboundConnection{ready: make(chan struct{})}
		node.outboundConnections[target] = outbound
		node.group.Go(func(ctx context.Context) { node.dial(ctx, target, outbound) })
	}
	node.mutex.Unlock()
	select {
	case <-outbound.ready:
		return outbound.connection, outbound.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", target)
	}
}

// isBroken reports whether the dial failed or the connection has ended.
func (outboundConnection *outboundConnection) isBroken() bool {
	select {
	case <-outboundConnection.ready:
		return outboundConnection.err != nil || outboundConnection.connection.Context().Err() != nil
	default:
		return false
	}
}

// dial opens a connection and closes its ready channel when the dial has succeeded or failed.
func (node *Node) dial(ctx context.Context, target netip.AddrPort, outboundConnection *outboundConnection) {
	defer close(outboundConnection.ready)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	connection, err := node.transport.Dial(ctx, net.UDPAddrFromAddrPort(target), node.config.TLS, quicConfig())
	if err != nil {
		outboundConnection.err = errors.Wrapf(err, "dial %s", target)
		return
	}
	// dropConnection reads it before the dial has ended.
	node.mutex.Lock()
	outboundConnection.connection = connection
	node.mutex.Unlock()
	node.trackConnection(connection)
}

// dropConnection removes the connection to target, unless another one has replaced it.
func (node *Node) dropConnection(target netip.AddrPort, connection *quic.Conn) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	current, ok := node.outboundConnections[target]
	if ok && current.connection == connection {
		delete(node.outboundConnections, target)
	}
}
