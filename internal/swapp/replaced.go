package swapp

import (
	"net/netip"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// replacedPeers finds addresses that another process answers at now, or none: connections to the earlier one are stale.
type replacedPeers struct {
	known map[string]peerIdentity
}

// peerIdentity is what a connection to a member was made to.
type peerIdentity struct {
	address     netip.AddrPort
	incarnation uint64
}

// update takes the next view and returns the addresses whose connections are stale. A refutation raises an incarnation
// as a restart does; that costs one new connection.
func (replacedPeers *replacedPeers) update(view *swmember.View) []netip.AddrPort {
	next := make(map[string]peerIdentity, view.Len())
	for _, dataCentre := range view.DataCentres() {
		for _, member := range view.Members(dataCentre) {
			next[member.Name] = peerIdentity{address: member.Peer, incarnation: member.Incarnation}
		}
	}
	var stale []netip.AddrPort
	for name, before := range replacedPeers.known {
		if next[name] != before {
			stale = append(stale, before.address)
		}
	}
	replacedPeers.known = next
	return stale
}

// bindReplacedPeers drops stale connections at each change of the members.
func bindReplacedPeers(parts parts) {
	replaced := &replacedPeers{}
	parts.Directory.Subscribe(func(view *swmember.View) {
		for _, address := range replaced.update(view) {
			parts.Node.Reconnect(address)
			parts.Engine.ReconnectPeer(address)
		}
	})
}
