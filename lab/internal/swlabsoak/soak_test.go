package swlabsoak

import (
	"io"
	"path/filepath"
	"testing"
	"time"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbuild"
)

// TestSoak runs a short seed, and those that failed once with a line on the cause. It checks safety only, since a busy machine
// may be late with anything; `lab soak` checks the times as well.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := filepath.Join(t.TempDir(), "sycamorewall")
	if err := swlabbuild.Build(t.Context(), binary); err != nil {
		t.Fatal(err)
	}
	seeds := []uint64{
		1,
		// A SIGHUP met a process that had just started and ended it, as its handler came after the settings.
		202,
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{
			Binary: binary, Directory: t.TempDir(), Seed: seed, Duration: 4 * time.Second, VMs: 3, Clients: 6, SafetyOnly: true, Out: io.Discard,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, wrong := range report.Violations {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		if report.Served == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
	}
}
