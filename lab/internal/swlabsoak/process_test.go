package swlabsoak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
)

// writeSleeper writes a program that does nothing for a minute.
func writeSleeper(t *testing.T, directory string) (path string) {
	t.Helper()
	path = filepath.Join(directory, "sleeper")
	if err := os.WriteFile(path, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestVMHasOneProcess guards against a process that nobody stops, because two faults that overlap each start the VM again.
func TestVMHasOneProcess(t *testing.T) {
	directory := t.TempDir()
	binary := writeSleeper(t, directory)
	vm := &vm{name: "vm", onExit: func(*vm, time.Duration) {}}
	start := func() *process {
		if err := vm.start(binary, directory); err != nil {
			t.Fatal(err)
		}
		return vm.latest()
	}
	first := start()
	if start() != first {
		t.Error("a second process was started beside the first")
	}
	vm.signal(syscall.SIGKILL)
	if start() == first {
		t.Error("no process was started after the first was asked to stop")
	}
	vm.signal(syscall.SIGKILL)
	<-vm.done()
}

// TestRestartAfterRequestedStopIsNoUnexpectedExit starts the next process of a VM as soon as the one that was asked to stop has
// exited, as the fault "stop and start a VM" does.
func TestRestartAfterRequestedStopIsNoUnexpectedExit(t *testing.T) {
	const vms, restarts = 24, 40
	directory := t.TempDir()
	binary := writeSleeper(t, directory)
	// Many VMs at once make a process's exit and the next start overlap in many ways.
	var unexpected atomic.Int64
	group := swgroup.New(t.Context())
	for i := range vms {
		vm := &vm{name: fmt.Sprint("vm-", i), onExit: func(*vm, time.Duration) { unexpected.Add(1) }}
		group.Go(func(context.Context) {
			for range restarts {
				if err := vm.start(binary, directory); err != nil {
					t.Error(err)
					return
				}
				vm.signal(syscall.SIGTERM)
				<-vm.done()
			}
			vm.signal(syscall.SIGKILL)
		})
	}
	group.Wait()
	if got := unexpected.Load(); got != 0 {
		t.Errorf("%d of %d requested stops were taken for unexpected exits", got, vms*restarts)
	}
}
