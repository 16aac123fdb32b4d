package swlabsoak

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// checkMemory checks that no running process has ever taken more memory than its VM gives to it. Where the system does not report that,
// nothing is checked.
func (fleet *fleet) checkMemory(results *results) {
	for _, vm := range fleet.vms {
		process := vm.latest()
		if process == nil || !process.runs() {
			continue
		}
		if peak, most := peakMemory(process.command.Process.Pid), vm.settings.Gateway.MemoryBytes(1); peak > most {
			results.addViolation("MEMORY: %s took %d bytes of %d", vm.name, peak, most)
		}
	}
}

// peakMemory returns the most resident memory that a process has had, in bytes, or zero if it is unknown.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			const bytesPerKB = 1024
			size, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return size * bytesPerKB
		}
	}
	return 0
}
