package swapp

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// gapLine is a log line about a gap of the clocks. Its fields match whatever names other tests have set for them in zerolog.
type gapLine struct {
	Level   string
	For     int
	By      int
	Message string
}

func TestStallsAndClockJumpsAreLogged(t *testing.T) {
	stalled := gapLine{Level: "warn", For: 5400, Message: "this process stalled"}
	jumped := gapLine{Level: "warn", By: -3000, Message: "the wall clock jumped, or the VM was suspended"}
	for name, test := range map[string]struct {
		monotonic, wall time.Duration
		want            []gapLine
	}{
		"no gap":                    {clockCheckInterval, clockCheckInterval, nil},
		"delay on a busy processor": {clockCheckInterval + 300*time.Millisecond, clockCheckInterval + 300*time.Millisecond, nil},
		"stalled process":           {clockCheckInterval + 5400*time.Millisecond, clockCheckInterval + 5400*time.Millisecond, []gapLine{stalled}},
		"adjusted clock":            {clockCheckInterval, clockCheckInterval - 3*time.Second, []gapLine{jumped}},
		"stall and jump":            {clockCheckInterval + 5400*time.Millisecond, clockCheckInterval + 2400*time.Millisecond, []gapLine{stalled, jumped}},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			logClockGaps(zerolog.New(&log), test.monotonic, test.wall)
			var got []gapLine
			for decoder := json.NewDecoder(&log); decoder.More(); {
				decoder.DisallowUnknownFields()
				var line gapLine
				if err := decoder.Decode(&line); err != nil {
					t.Fatal(err)
				}
				got = append(got, line)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error("lines (-want +got):\n" + diff)
			}
		})
	}
}
