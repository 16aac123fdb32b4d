package swlabsoak

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// bytesPerMB is the number of bytes in a megabyte of the settings.
const bytesPerMB = 1e6

// checkMemory checks that no running process has ever taken more memory than its VM gives to it. Where the system does not report that,
// nothing is checked.
func (fleet *fleet) checkMemory(results *results) {
	for _, vm := range fleet.vms {
		process := vm.latest()
		if process == nil || !process.runs() {
			continue
		}
		if peak := peakMemory(process.command.Process.Pid); peak > memoryMB*bytesPerMB {
			results.addViolation("MEMORY: %s took %.0f MB of %d", vm.name, peak/bytesPerMB, memoryMB)
		}
	}
}

// peakMemory returns the most resident memory that a process has had, in bytes, or zero if it is unknown.
func peakMemory(pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for lines := bufio.NewScanner(bytes.NewReader(status)); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			const bytesPerKB = 1024
			size, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return size * bytesPerKB
		}
	}
	return 0
}
