package swlabscenario_test

import (
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabscenario"
)

// collector keeps results.
type collector struct {
	mutex sync.Mutex
	list  []swlabload.Result
}

func (collector *collector) add(result swlabload.Result) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.list = append(collector.list, result)
}

func TestScenariosHaveTheirNamesOnceAndEventsInOrder(t *testing.T) {
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
				t.Errorf("%s: event at %v after one at %v", scenario.Name, event.AtFraction, last)
			}
			last = event.AtFraction
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
