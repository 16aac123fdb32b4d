package swlabscenario_test

import (
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabscenario"
)

// resultCollector collects results from several goroutines.
type resultCollector struct {
	mutex   sync.Mutex
	results []swlabload.Result
}

func (resultCollector *resultCollector) add(result swlabload.Result) {
	resultCollector.mutex.Lock()
	defer resultCollector.mutex.Unlock()
	resultCollector.results = append(resultCollector.results, result)
}

func TestScenarioNamesAndEventOrder(t *testing.T) {
	want := []string{
		"calm", "cutover", "repartition", "crossed", "straggler", "silent", "replica-loss", "cold-start", "drain", "crasher",
		"flood-deferrable", "flood-urgent", "flood-both", "vm-kill", "rolling-restart", "pause", "partition", "storm",
		"platform-down", "lost-writes", "rule-race",
	}
	var got []string
	for _, scenario := range swlabscenario.All() {
		got = append(got, scenario.Name)
		last := 0.0
		for _, event := range scenario.Events {
			if event.AtFraction < last || event.AtFraction > 1 {
				t.Errorf("%s: event at %v follows one at %v", scenario.Name, event.AtFraction, last)
			}
			last = event.AtFraction
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
