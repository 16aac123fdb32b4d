package swapp

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swmember"
)

func TestConnectionsToReplacedAndRemovedMembersAreStale(t *testing.T) {
	address := func(last byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 1)
	}
	member := func(name string, incarnation uint64, last byte) swmember.Member {
		return swmember.Member{Name: name, DataCentre: "a", Incarnation: incarnation, Peer: address(last)}
	}
	peerTracker := &peerTracker{}
	self := member("self", 1, 1)
	peerTracker.update(swmember.NewView(self, []swmember.Member{self, member("same", 1, 2), member("again", 1, 3), member("gone", 1, 4)}))
	stale := peerTracker.update(swmember.NewView(self, []swmember.Member{self, member("same", 1, 2), member("again", 2, 3), member("new", 1, 5)}))
	got := make(map[string]bool)
	for _, address := range stale {
		got[address.String()] = true
	}
	if diff := cmp.Diff(map[string]bool{address(3).String(): true, address(4).String(): true}, got); diff != "" {
		t.Error(diff)
	}
}
