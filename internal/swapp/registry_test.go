package swapp

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/fx"

	"github.com/sycamorewall/sycamorewall/internal/swfleet"
	"github.com/sycamorewall/sycamorewall/internal/swfollow"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/platform/swplatformtest"
)

// TestGatewayCountsTheVMsThatTheStoreHasLost guards against a VM that takes the budgets and limits of all for itself because the store came
// back from a copy from before the others registered, and against one that counts VMs for good that are gone. It runs the components of the
// process but its listeners.
func TestGatewayCountsTheVMsThatTheStoreHasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, registeredAgain, step = 50, 20, 100 * time.Millisecond
		loopback := netip.MustParseAddrPort("127.0.0.1:0")
		// A transport to other VMs would stop the bubble's time, so its port stays occupied.
		occupant, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
		if err != nil {
			t.Fatal(err)
		}
		defer occupant.Close()
		settings := swsetting.Defaults()
		settings.Name, settings.Region, settings.DataCentre = "vm-0", "r", "dc"
		settings.Platform.URL = "http://store"
		settings.Peer.Listen = occupant.LocalAddr().(*net.UDPAddr).AddrPort()
		settings.Gateway.Listen, settings.Gateway.Ready, settings.Gateway.Capacity = loopback, loopback, 2

		store := swplatformtest.New()
		objectName := func(i int) string { return fmt.Sprint(swfollow.PrefixVM, "vm-", i) }
		register := func(from, to int) {
			for i := from; i < to; i++ {
				vm := swfleet.VM{Name: fmt.Sprint("vm-", i), Region: "r", DataCentre: "dc", Peer: settings.Peer.Listen, Capacity: 1}
				value, err := vm.Encode()
				if err != nil {
					t.Fatal(err)
				}
				store.Put(swfollow.KindShared, objectName(i), value)
			}
		}
		register(1, vms)
		gateway, err := buildGateway(Config{Settings: settings, LogOut: io.Discard}, fx.Decorate(func() (*swplatform.Client, error) {
			return swplatform.New(swplatform.Config{URL: settings.Platform.URL, Transport: store})
		}))
		if err != nil {
			t.Fatal(err)
		}
		components := gateway.components
		components.startFollowing()
		defer func() {
			if err := components.stop(t.Context()); err != nil {
				t.Error(err)
			}
			components.Group.Wait()
		}()
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff(vms, components.Fleet.Len()); diff != "" {
			t.Error("VMs before (-want +got):\n" + diff)
		}

		keptNames := []string{objectName(1), objectName(2), objectName(3)}
		store.ReturnOlder(func(name string) bool {
			return strings.HasPrefix(name, swfollow.PrefixVM) && !slices.Contains(keptNames, name)
		})
		counts := make(map[int]bool)
		for elapsed := time.Duration(0); elapsed < swfleet.RemovalGrace-step; elapsed += step {
			if elapsed == time.Second {
				register(1+len(keptNames), 1+len(keptNames)+registeredAgain)
			}
			time.Sleep(step)
			counts[components.Fleet.Len()] = true
		}
		if diff := cmp.Diff(map[int]bool{vms: true}, counts); diff != "" {
			t.Error("numbers of VMs that were counted after the return (-want +got):\n" + diff)
		}
		time.Sleep(2 * step)
		if diff := cmp.Diff(1+len(keptNames)+registeredAgain, components.Fleet.Len()); diff != "" {
			t.Error("VMs once those that did not register again are removed (-want +got):\n" + diff)
		}
		if !store.Has(swfollow.KindShared, objectName(0)) {
			t.Error("the VM did not register again")
		}
	})
}
