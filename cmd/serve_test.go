package cmd

import (
	"net/netip"
	"runtime/debug"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
)

// TestGatewayKeepsItsHeapBelowItsMemory guards against a heap that grows to twice what is in use, beyond the memory of the VM.
func TestGatewayKeepsItsHeapBelowItsMemory(t *testing.T) {
	former := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(former)
	settings := swsetting.Defaults()
	settings.Gateway.MemoryMB = 184
	limitMemory(settings)
	if diff := cmp.Diff(former, debug.SetMemoryLimit(-1)); diff != "" {
		t.Error("limit of the search API (-want +got):\n" + diff)
	}
	settings.Gateway.Listen = netip.MustParseAddrPort("127.0.0.1:1")
	limitMemory(settings)
	if diff := cmp.Diff(int64(119_600_000), debug.SetMemoryLimit(-1)); diff != "" {
		t.Error("limit of the gateway (-want +got):\n" + diff)
	}
}
