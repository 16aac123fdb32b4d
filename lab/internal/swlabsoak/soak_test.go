package swlabsoak

import (
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbuild"
)

// TestSoakFindsNoSafetyViolation runs a short seed, and seeds that failed in the past, each with its cause. It checks safety only,
// because a busy machine may exceed any timeout; `lab soak` checks the timeouts as well.
func TestSoakFindsNoSafetyViolation(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "sycamorewall")
	if err := swlabbuild.Build(t.Context(), binary); err != nil {
		t.Fatal(err)
	}
	seeds := []uint64{
		1,
		// A SIGHUP ended a process that had just started, because the handler was installed after the settings were read.
		202,
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{
			Binary: binary, Directory: t.TempDir(), Seed: seed, Duration: 4 * time.Second, VMs: 3, Clients: 6,
			SafetyOnly: true, Out: io.Discard,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if report.Served == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
	}
}
