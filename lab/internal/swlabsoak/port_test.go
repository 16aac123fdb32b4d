package swlabsoak

import (
	"net"
	"testing"
)

// TestNoOtherSocketIsGivenThePortOfAVM guards against a VM that can't listen again after a restart, because the system gave its port to
// another socket meanwhile.
func TestNoOtherSocketIsGivenThePortOfAVM(t *testing.T) {
	for range 100 {
		port, err := freePort()
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
