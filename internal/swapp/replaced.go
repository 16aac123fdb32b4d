package swapp

import (
	"net/netip"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

// peerTracker remembers the process behind each member. It finds the members that were removed or whose process was replaced, to
// which open connections are stale.
type peerTracker struct {
	identities map[string]peerIdentity
}

// peerIdentity identifies the process that a connection to a member was opened to.
type peerIdentity struct {
	address     netip.AddrPort
	incarnation uint64
}

// update records the members of a view and returns the addresses whose connections are stale. A member that refutes a suspicion
// raises its incarnation as a restart does; the only cost is one new connection.
func (peerTracker *peerTracker) update(view *swmember.View) []netip.AddrPort {
	identities := make(map[string]peerIdentity, view.Len())
	for _, dataCentre := range view.DataCentres() {
		for _, member := range view.Members(dataCentre) {
			identities[member.Name] = peerIdentity{address: member.Peer, incarnation: member.Incarnation}
		}
	}
	var stale []netip.AddrPort
	for name, before := range peerTracker.identities {
		if identities[name] != before {
			stale = append(stale, before.address)
		}
	}
	peerTracker.identities = identities
	return stale
}

// bindReplacedPeers stops the use of stale connections after each change of the members.
func bindReplacedPeers(components components) {
	peerTracker := &peerTracker{}
	components.Directory.Subscribe(func(view *swmember.View) {
		for _, address := range peerTracker.update(view) {
			components.Node.Reconnect(address)
			components.Engine.ReconnectPeer(address)
		}
	})
}
