package swpeer

import (
	"net/netip"

	"github.com/quic-go/quic-go"
)

// Names that tests of the package use.
const (
	MaxHandshakes    = maxHandshakes
	VerifyHandshakes = verifyHandshakes
	Protocol         = protocol
)

// Handshakes counts the connections whose handshake is not complete.
type Handshakes = handshakes

// Methods of Handshakes, and the configuration of connections.
var (
	BeginHandshake    = (*handshakes).begin
	CompleteHandshake = (*handshakes).complete
	MustVerify        = (*handshakes).mustVerify
	QUICConfig        = quicConfig
)

// CountOpen returns the number of connections whose handshake is not complete.
func CountOpen(handshakes *Handshakes) int64 {
	return handshakes.open.Load()
}

// OpenHandshakes returns the number of a node's connections whose handshake is not complete.
func (node *Node) OpenHandshakes() int64 {
	return node.handshakes.open.Load()
}

// Outbound returns what identifies the node's present connection to a target.
func (node *Node) Outbound(target netip.AddrPort) any {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.outboundConnections[target]
}

// DropFormer drops a connection that is not the present one.
func (node *Node) DropFormer(target netip.AddrPort) {
	node.dropConnection(target, &quic.Conn{})
}
