package swlabsoak

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// unknownGroup is the group of connections that belong to none of the VMs' processes.
const unknownGroup = "vms"

// groupOf returns the network group of the VM whose process opened the connection from a source to a listener. All VMs connect from the loopback
// address, so that only the system knows.
func (fleet *fleet) groupOf(source, listener netip.AddrPort) string {
	inode := socketInode(source.Port(), listener.Port())
	if inode == "" {
		return unknownGroup
	}
	fleet.mutex.Lock()
	vms := fleet.vms
	fleet.mutex.Unlock()
	for _, vm := range vms {
		if process := vm.latest(); process != nil && process.holdsSocket(inode) {
			return vm.networkGroup
		}
	}
	return unknownGroup
}

// socketInode returns the inode of the IPv4 socket with a local and a remote port; empty if there is none.
func socketInode(local, remote uint16) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	localSuffix, remoteSuffix := fmt.Sprintf(":%04X", local), fmt.Sprintf(":%04X", remote)
	// The fields are the number, the local and the remote address, the state, four that concern queues and timers, the user, the timeout and the inode.
	const localField, remoteField, inodeField = 1, 2, 9
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) > inodeField && strings.HasSuffix(fields[localField], localSuffix) && strings.HasSuffix(fields[remoteField], remoteSuffix) {
			return fields[inodeField]
		}
	}
	return ""
}

// holdsSocket reports whether the process has a socket open.
func (process *process) holdsSocket(inode string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
