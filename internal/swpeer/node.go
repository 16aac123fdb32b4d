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
	// maxStreams is the number of exchanges that a peer may have open at once.
	maxStreams = 8192
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 60 * time.Second
	// handshakeTimeout bounds the making of a connection.
	handshakeTimeout = 2 * time.Second
	// streamWindow is the initial receive window of a stream in bytes.
	streamWindow = 64 << 10
	// connectionWindow is the initial receive window of a connection in bytes.
	connectionWindow = 256 << 10
)

// nodeClosed is the QUIC error code of a connection whose VM is closing.
const nodeClosed quic.ApplicationErrorCode = 1

// Handler serves one exchange that a peer opened. The context ends with the exchange.
type Handler func(ctx context.Context, stream *Stream) error

// Config holds what a Node is built from.
type Config struct {
	// Listen is the UDP address of this VM.
	Listen netip.AddrPort
	// TLS holds this VM's certificate and the CA that peers' certificates must come from.
	TLS *tls.Config
	// OnError receives failures of handlers; it may be nil.
	OnError func(method Method, peer string, err error)
}

// Node is this VM's end of all exchanges with peers. Construct it with Listen.
type Node struct {
	config    Config
	transport *quic.Transport
	listener  *quic.Listener
	group     *swgroup.Group

	handlersMutex sync.RWMutex
	handlers      map[Method]Handler

	mutex       sync.Mutex
	connections map[netip.AddrPort]*outbound
	// open holds every connection in either direction, to be closed with the node.
	open map[*quic.Conn]struct{}

	closing  sync.Once
	closeErr error
}

// outbound is one connection to a peer, being made or in use.
type outbound struct {
	ready      chan struct{}
	connection *quic.Conn
	err        error
}

// ClientServerTLS returns the TLS configuration for both ends from a certificate and a pool of CAs.
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

// Listen opens the UDP address. Exchanges are served once Serve is called.
func Listen(config Config) (*Node, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", config.Listen)
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: resetKey(config.TLS)}
	listener, err := transport.Listen(config.TLS, quicConfig())
	if err != nil {
		socket.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return &Node{
		config:      config,
		transport:   transport,
		listener:    listener,
		group:       swgroup.New(context.Background()),
		handlers:    make(map[Method]Handler),
		connections: make(map[netip.AddrPort]*outbound),
		open:        make(map[*quic.Conn]struct{}),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  handshakeTimeout,
		// Probing for larger packets costs 10 KB a connection, more than what VMs say to each other in seconds.
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
	}
}

// Address returns the UDP address in use.
func (node *Node) Address() netip.AddrPort {
	return node.listener.Addr().(*net.UDPAddr).AddrPort()
}

// Handle sets the handler of a method. It may be called before or after Serve.
func (node *Node) Handle(method Method, handler Handler) {
	node.handlersMutex.Lock()
	defer node.handlersMutex.Unlock()
	node.handlers[method] = handler
}

// Serve accepts peers until Close.
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

// Close ends every exchange and frees the socket. Further calls return what the first returned.
func (node *Node) Close() error {
	node.closing.Do(func() { node.closeErr = node.close() })
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

// closeConnections tells every peer that its connections to this VM are over, so that none waits on them.
func (node *Node) closeConnections() {
	node.mutex.Lock()
	open := node.open
	node.open = nil
	node.mutex.Unlock()
	var closing sync.WaitGroup
	for connection := range open {
		closing.Go(func() { _ = connection.CloseWithError(nodeClosed, "closing") })
	}
	closing.Wait()
}

// track remembers a connection until it ends.
func (node *Node) track(connection *quic.Conn) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.open == nil {
		return
	}
	node.open[connection] = struct{}{}
	context.AfterFunc(connection.Context(), func() {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		delete(node.open, connection)
	})
}

func (node *Node) serveConnection(ctx context.Context, connection *quic.Conn) {
	node.track(connection)
	certificate := peerCertificate(connection)
	for {
		stream, err := connection.AcceptStream(ctx)
		if err != nil {
			return
		}
		node.group.Go(func(ctx context.Context) { node.serveStream(ctx, newStream(stream, certificate)) })
	}
}

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
	stream.stream.CancelRead(streamCancelled)
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

// Open starts an exchange with the peer at target, making a connection when there is none.
func (node *Node) Open(ctx context.Context, target netip.AddrPort, method Method) (*Stream, error) {
	connection, stream, err := node.openStream(ctx, target)
	if err != nil && connection != nil && ctx.Err() == nil {
		// The connection had ended and was not known to have: nothing was sent, and a fresh one finds out.
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

// openStream opens a stream on the connection to target, and drops a connection that takes none; it is returned with the error.
func (node *Node) openStream(ctx context.Context, target netip.AddrPort) (*quic.Conn, *quic.Stream, error) {
	connection, err := node.connection(ctx, target)
	if err != nil {
		return nil, nil, err
	}
	stream, err := connection.OpenStreamSync(ctx)
	if err != nil {
		node.drop(target, connection)
		return connection, nil, errors.Wrapf(err, "open stream to %s", target)
	}
	return connection, stream, nil
}

// Call sends request and reads one reply. When the peer does not answer before the context ends, the connection is no
// longer used for new exchanges, so that the next one finds out whether the path or the peer is gone.
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
	if err := stream.CloseSend(); err != nil {
		return errors.Wrapf(err, "send to %s", target)
	}
	if err := stream.Receive(reply); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			node.Reconnect(target)
		}
		return errors.Wrapf(err, "receive from %s", target)
	}
	return nil
}

// HandleCall serves a method of one request and one reply.
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

// Forget stops using the present connection to target for new exchanges. Exchanges that are open on it go on until
// they end or the connection's idle timeout passes.
func (node *Node) Reconnect(target netip.AddrPort) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	delete(node.connections, target)
}

func (node *Node) connection(ctx context.Context, target netip.AddrPort) (*quic.Conn, error) {
	node.mutex.Lock()
	present, ok := node.connections[target]
	if !ok || present.broken() {
		present = &outbound{ready: make(chan struct{})}
		node.connections[target] = present
		node.group.Go(func(ctx context.Context) { node.dial(ctx, target, present) })
	}
	node.mutex.Unlock()
	select {
	case <-present.ready:
		return present.connection, present.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "dial %s", target)
	}
}

// broken reports whether the connection has ended or could not be made.
func (outbound *outbound) broken() bool {
	select {
	case <-outbound.ready:
		return outbound.err != nil || outbound.connection.Context().Err() != nil
	default:
		return false
	}
}

func (node *Node) dial(ctx context.Context, target netip.AddrPort, outbound *outbound) {
	defer close(outbound.ready)
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	connection, err := node.transport.Dial(ctx, net.UDPAddrFromAddrPort(target), node.config.TLS, quicConfig())
	if err != nil {
		outbound.err = errors.Wrapf(err, "dial %s", target)
		return
	}
	outbound.connection = connection
	node.track(connection)
}

func (node *Node) drop(target netip.AddrPort, connection *quic.Conn) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	present, ok := node.connections[target]
	if ok && present.connection == connection {
		delete(node.connections, target)
	}
}
