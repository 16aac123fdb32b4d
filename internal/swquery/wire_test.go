package swquery

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/internal/swbackend"
	"github.com/sycamorewall/sycamorewall/internal/swkey"
	"github.com/sycamorewall/sycamorewall/internal/swpeer"
	"github.com/sycamorewall/sycamorewall/pkg/swcode"
)

// TestMessagesSayNotRunOnlyExplicitly guards against messages between VMs that say "not run" by what they lack: the answer of a backend server and
// the outcome of a run, as a VM of another version may send them.
func TestMessagesSayNotRunOnlyExplicitly(t *testing.T) {
	decode := func(message, into any) {
		t.Helper()
		data, err := swpeer.Marshal(message)
		if err == nil {
			err = swpeer.Unmarshal(data, into)
		}
		if err != nil {
			t.Error(err)
		}
	}
	for name, test := range map[string]struct {
		answer  map[int]any
		outcome map[string]any
		want    swcode.Ran
	}{
		"nothing":           {map[int]any{}, map[string]any{}, swcode.RanUnknown},
		"without Ran":       {map[int]any{1: swbackend.Failed, 3: swcode.BackendFailed}, map[string]any{"Code": swcode.BackendFailed}, swcode.RanUnknown},
		"null":              {map[int]any{2: nil}, map[string]any{"Ran": nil}, swcode.RanUnknown},
		"No":                {map[int]any{2: 0}, map[string]any{"Ran": 0}, swcode.RanNo},
		"Yes":               {map[int]any{2: 1}, map[string]any{"Ran": 1}, swcode.RanYes},
		"Unknown":           {map[int]any{2: 2}, map[string]any{"Ran": 2}, swcode.RanUnknown},
		"of a newer VM":     {map[int]any{2: 3}, map[string]any{"Ran": 3}, swcode.RanUnknown},
		"of a newer VM (2)": {map[int]any{2: 300}, map[string]any{"Ran": -1}, swcode.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			var answer swbackend.Answer
			var outcome swkey.Outcome
			decode(test.answer, &answer)
			decode(test.outcome, &outcome)
			if diff := cmp.Diff([]swcode.Ran{test.want, test.want}, []swcode.Ran{answer.Ran, outcome.Ran}); diff != "" {
				t.Errorf("Ran of answer and outcome (-want +got):\n%s", diff)
			}
		})
	}
	for _, ran := range []swcode.Ran{swcode.RanNo, swcode.RanYes, swcode.RanUnknown} {
		var answer swbackend.Answer
		var outcome swkey.Outcome
		decode(swbackend.Answer{Ran: ran}, &answer)
		decode(swkey.Outcome{Ran: ran}, &outcome)
		if diff := cmp.Diff([]swcode.Ran{ran, ran}, []swcode.Ran{answer.Ran, outcome.Ran}); diff != "" {
			t.Errorf("Ran after a round trip (-want +got):\n%s", diff)
		}
	}
}
