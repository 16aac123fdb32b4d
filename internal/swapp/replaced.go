package swapp

import (
	"net/netip"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// replacedPeers finds the members that were replaced by another process or removed, so that connections to them are stale.
type replacedPeers struct {
	identities map[string]peerIdentity
}

// peerIdentity identifies the process that a connection to a member was opened to.
type peerIdentity struct {
	address     netip.AddrPort
	incarnation uint64
}

// update records the members of a view and returns the addresses whose connections are stale. A member that refutes a suspicion
// raises its incarnation as a restart does; the only cost is one new connection.
func (replacedPeers *replacedPeers) update(view *swmember.View) []netip.AddrPort {
	identities := make(map[string]peerIdentity, view.Len())
	for _, dataCentre := range view.DataCentres() {
		for _, member := range view.Members(dataCentre) {
			identities[member.Name] = peerIdentity{address: member.Peer, incarnation: member.Incarnation}
		}
	}
	var stale []netip.AddrPort
	for name, before := range replacedPeers.identities {
		if identities[name] != before {
			stale = append(stale, before.address)
		}
	}
	replacedPeers.identities = identities
	return stale
}

// bindReplacedPeers stops the use of stale connections after each change of the members.
func bindReplacedPeers(components components) {
	replaced := &replacedPeers{}
	components.Directory.Subscribe(func(view *swmember.View) {
		for _, address := range replaced.update(view) {
			components.Node.Reconnect(address)
			components.Engine.ReconnectPeer(address)
		}
	})
}
