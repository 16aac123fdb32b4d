package swplatform

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// response is what one response says of the era, and want what a tracker makes of it.
type eraResponse struct {
	Era     uint64
	Named   bool
	Want    uint64
	Current bool
}

func TestEraTracker(t *testing.T) {
	for name, test := range map[string]struct {
		responses []eraResponse
		// newEras are the eras that are reported, and lines the number of log lines.
		newEras []uint64
		lines   int
	}{
		"store without eras": {[]eraResponse{{0, false, 0, true}, {0, false, 0, true}}, nil, 0},
		"rises by one":       {[]eraResponse{{1, true, 1, true}, {1, true, 1, true}, {2, true, 2, true}}, []uint64{2}, 0},
		"rises by several":   {[]eraResponse{{1, true, 1, true}, {7, true, 7, true}}, []uint64{7}, 0},
		"falls":              {[]eraResponse{{2, true, 2, true}, {1, true, 1, false}, {0, true, 0, false}, {2, true, 2, true}}, nil, 1},
		"falls in each era":  {[]eraResponse{{2, true, 2, true}, {1, true, 1, false}, {3, true, 3, true}, {1, true, 1, false}}, []uint64{3}, 2},
		"not named":          {[]eraResponse{{3, true, 3, true}, {0, false, 3, true}, {0, false, 3, true}}, nil, 1},
		"too large a step":   {[]eraResponse{{3, true, 3, true}, {4 + maxEraStep, true, 3, true}, {4, true, 4, true}}, []uint64{4}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			tracker := NewEraTracker(zerolog.New(&log))
			var newEras []uint64
			tracker.OnNewEra(func(era uint64) { newEras = append(newEras, era) })
			var got []eraResponse
			for _, response := range test.responses {
				response.Want, response.Current = tracker.Observe(response.Era, response.Named)
				got = append(got, response)
			}
			if diff := cmp.Diff(test.responses, got); diff != "" {
				t.Error("responses (-want +got):\n" + diff)
			}
			if diff := cmp.Diff(test.newEras, newEras); diff != "" {
				t.Error("new eras (-want +got):\n" + diff)
			}
			if diff := cmp.Diff(test.lines, strings.Count(log.String(), "\n")); diff != "" {
				t.Error("log lines (-want +got):\n" + diff)
			}
		})
	}
}

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []Position{{}, {Revision: 9}, {Era: 1, Revision: 1}, {Era: 1, Revision: 61}, {Era: 2, Revision: 60}}
	for i, a := range ordered {
		for j, b := range ordered {
			if diff := cmp.Diff(i < j, a.Before(b)); diff != "" {
				t.Errorf("%v before %v (-want +got):\n%s", a, b, diff)
			}
		}
	}
}
