package swlabsoak

import (
	"net"
	"net/netip"
	"testing"
)

// TestNoOtherSocketIsGivenThePortOfAVM guards against a VM that can't listen again after a restart, because the system gave its port to
// another socket meanwhile.
func TestNoOtherSocketIsGivenThePortOfAVM(t *testing.T) {
	fleet := &fleet{assigned: make(map[netip.AddrPort]bool)}
	for range 100 {
		port, err := fleet.assignPort()
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		if given := listener.Addr().(*net.TCPAddr).AddrPort(); given.Port() <= port.Port() {
			t.Fatalf("the VM's port %d is among those that the system gives, such as %d", port.Port(), given.Port())
		}
	}
}

// TestEachVMHasPortsOfItsOwn guards against two VMs with the same port, of which one can't serve. Many ports are assigned, since few
// rarely meet.
func TestEachVMHasPortsOfItsOwn(t *testing.T) {
	const ports = 1000
	fleet := &fleet{assigned: make(map[netip.AddrPort]bool)}
	seen := make(map[netip.AddrPort]bool)
	for range ports {
		port, err := fleet.assignPort()
		if err != nil {
			t.Fatal(err)
		}
		if seen[port] {
			t.Fatalf("port %d was assigned twice", port.Port())
		}
		seen[port] = true
	}
}
