package swapp_test

import (
	"io"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

func TestConstructorErrorIsReturnedWithoutTheDependencyGraph(t *testing.T) {
	settings := swsetting.Defaults()
	settings.Name, settings.Region, settings.DataCentre = "vm-1", "a", "a"
	settings.Platform.URL = "http://127.0.0.1:1"
	settings.Caller.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Peer.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Peer.TLS = swsetting.TLS{Certificate: "absent.pem", Key: "absent.key", CA: "absent.pem"}
	_, err := swapp.New(swapp.Config{Settings: settings, LogOut: io.Discard})
	if err == nil {
		t.Fatal("a VM was built although its certificate is missing")
	}
	want := "build the VM's components: Peer.TLS: load certificate and key: open absent.pem: no such file or directory"
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Error(diff)
	}
}
