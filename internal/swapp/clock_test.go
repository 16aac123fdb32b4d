package swapp

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

func TestStallsAndClockJumpsAreLogged(t *testing.T) {
	const stalled, jumped = `{"level":"warn","For":5400,"message":"this process stalled"}` + "\n",
		`{"level":"warn","By":-3000,"message":"the wall clock jumped, or the VM was suspended"}` + "\n"
	for name, test := range map[string]struct {
		monotonic, wall time.Duration
		want            string
	}{
		"no gap":                    {clockCheckInterval, clockCheckInterval, ""},
		"delay on a busy processor": {clockCheckInterval + 300*time.Millisecond, clockCheckInterval + 300*time.Millisecond, ""},
		"stalled process":           {clockCheckInterval + 5400*time.Millisecond, clockCheckInterval + 5400*time.Millisecond, stalled},
		"adjusted clock":            {clockCheckInterval, clockCheckInterval - 3*time.Second, jumped},
		"stall and jump":            {clockCheckInterval + 5400*time.Millisecond, clockCheckInterval + 2400*time.Millisecond, stalled + jumped},
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			logClockGaps(zerolog.New(&lines), test.monotonic, test.wall)
			if diff := cmp.Diff(test.want, lines.String()); diff != "" {
				t.Error("lines (-want +got):\n" + diff)
			}
		})
	}
}
