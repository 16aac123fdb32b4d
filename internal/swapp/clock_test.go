package swapp

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

func TestPulseTellsOfStandstillsAndJumps(t *testing.T) {
	const still, jumped = `{"level":"warn","For":5400,"message":"this process stood still"}` + "\n",
		`{"level":"warn","By":-3000,"message":"the time of day jumped, or the VM was suspended"}` + "\n"
	for name, test := range map[string]struct {
		steady, day time.Duration
		want        string
	}{
		"as always":             {pulseEvery, pulseEvery, ""},
		"a busy processor":      {pulseEvery + 300*time.Millisecond, pulseEvery + 300*time.Millisecond, ""},
		"a process that froze":  {pulseEvery + 5400*time.Millisecond, pulseEvery + 5400*time.Millisecond, still},
		"a clock that was set":  {pulseEvery, pulseEvery - 3*time.Second, jumped},
		"both at the same time": {pulseEvery + 5400*time.Millisecond, pulseEvery + 2400*time.Millisecond, still + jumped},
	} {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			notePulse(zerolog.New(&lines), test.steady, test.day)
			if diff := cmp.Diff(test.want, lines.String()); diff != "" {
				t.Error("lines (-want +got):\n" + diff)
			}
		})
	}
}
