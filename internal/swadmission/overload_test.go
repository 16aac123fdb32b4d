package swadmission

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sycamorewall/sycamorewall/pkg/swrule"
)

const (
	floodFrom    = 500 * time.Millisecond
	floodTotal   = 3 * time.Second
	floodCounted = time.Second
)

// calm is a load of 20 % of the capacity in each priority.
func calm() []load {
	var loads []load
	for priority := range swrule.Priority(swrule.Priorities) {
		for caller := range modelCallers {
			loads = append(loads, load{
				priority: priority, caller: fmt.Sprint(priority, "-", caller),
				rate: modelCapacity * 0.2 / modelCallers, until: floodTotal,
			})
		}
	}
	return loads
}

// flood adds load of a priority, spread over its callers, in multiples of the capacity.
func flood(loads []load, priority swrule.Priority, times float64) []load {
	for caller := range modelCallers {
		loads = append(loads, load{
			priority: priority, caller: fmt.Sprint(priority, "-", caller),
			rate: modelCapacity * times / modelCallers, from: floodFrom, until: floodTotal,
		})
	}
	return loads
}

func runModel(t *testing.T, scenario scenario) (tallies map[string]*tally, peak int) {
	scenario.total, scenario.counted = floodTotal, floodCounted
	synctest.Test(t, func(*testing.T) {
		model := newModel(scenario)
		tallies = model.run()
		peak = model.peak
	})
	return tallies, peak
}

type floodCase struct {
	name     string
	scenario scenario
}

func floodCases(seed uint64) []floodCase {
	cases := []floodCase{{"calm", scenario{loads: calm()}}}
	for _, times := range []float64{2, 5, 10} {
		cases = append(cases,
			floodCase{fmt.Sprintf("Deferrable %gx", times), scenario{loads: flood(calm(), swrule.Deferrable, times)}},
			floodCase{fmt.Sprintf("Urgent %gx", times), scenario{loads: flood(calm(), swrule.Urgent, times)}},
			floodCase{fmt.Sprintf("both %gx", times), scenario{loads: flood(flood(calm(), swrule.Deferrable, times), swrule.Urgent, times)}},
		)
	}
	one := append(calm(), load{priority: swrule.Standard, caller: "Standard-flood", rate: 5 * modelCapacity, from: floodFrom, until: floodTotal})
	cases = append(cases,
		floodCase{"one Standard caller 5x", scenario{loads: one}},
		floodCase{"Deferrable 5x, straggler", scenario{loads: flood(calm(), swrule.Deferrable, 5), straggle: true}},
		floodCase{"Deferrable 5x, a third lost", scenario{loads: flood(calm(), swrule.Deferrable, 5), lose: 10}},
		floodCase{"Deferrable 5x, owner lost", scenario{loads: flood(calm(), swrule.Deferrable, 5), loseOwner: true}},
		floodCase{"Deferrable 2x, resent at once", scenario{loads: flood(calm(), swrule.Deferrable, 2), resends: 10}},
		floodCase{"Deferrable 2x, servers take 1 of 2 slots", scenario{loads: flood(calm(), swrule.Deferrable, 2), slots: 1}},
	)
	for i := range cases {
		cases[i].scenario.seed = seed
	}
	return cases
}

// floodExpectation is what must hold under a flood, as parts of what was offered or of a share of the capacity.
type floodExpectation struct {
	name string
	// untouched lists the keys of tallies whose queries are answered whole, as in calm.
	untouched []string
	// slower bounds their 99th percentile, as a multiple of that in calm: half more for priorities above the flood, and
	// twice for callers who share their priority, and so its queue, with the flood.
	slower float64
	// kept lists the least whole queries a second of a priority.
	kept map[string]float64
	// wasted is the largest part of the work run that may be wasted.
	wasted float64
}

// modelShareKept is the part of its minimum share of slots that a priority must turn into whole queries.
const modelShareKept = 2.0 / 3

func floodExpectations() []floodExpectation {
	shares := DefaultShares()
	least := func(priority swrule.Priority) float64 {
		return modelCapacity * float64(shares[priority]) / 100 * modelShareKept
	}
	others := map[string]float64{"Standard": least(swrule.Standard), "Deferrable": least(swrule.Deferrable)}
	return []floodExpectation{
		{name: "Deferrable 5x", untouched: []string{"calm Urgent", "calm Standard"}, slower: 1.5, kept: map[string]float64{"Deferrable": least(swrule.Deferrable)}, wasted: 0.05},
		{name: "Urgent 5x", kept: others, wasted: 0.05},
		{name: "both 5x", kept: others, wasted: 0.05},
		{name: "one Standard caller 5x", untouched: []string{"calm Urgent", "calm Standard"}, slower: 2, wasted: 0.05},
		{name: "Deferrable 5x, owner lost", untouched: []string{"calm Urgent", "calm Standard"}, slower: 1.5, wasted: 0.05},
		{name: "Deferrable 2x, resent at once", untouched: []string{"calm Urgent", "calm Standard"}, slower: 1.5, kept: map[string]float64{"Deferrable": least(swrule.Deferrable)}, wasted: 0.05},
	}
}

func TestFloods(t *testing.T) {
	seconds := (floodTotal - floodCounted).Seconds()
	for seed := range uint64(*floodSeeds) {
		cases := make(map[string]scenario)
		for _, test := range floodCases(seed + 1) {
			test.scenario.cohorts = true
			cases[test.name] = test.scenario
		}
		calm, _ := runModel(t, cases["calm"])
		for _, want := range floodExpectations() {
			t.Run(fmt.Sprintf("%s/%d", want.name, seed+1), func(t *testing.T) {
				tallies, peak := runModel(t, cases[want.name])
				for _, key := range want.untouched {
					checkUntouched(t, key, calm[key], tallies[key], want.slower)
				}
				for key, least := range want.kept {
					if got := float64(tallies[key].whole) / seconds; got < least {
						t.Errorf("%s kept %.0f whole queries a second, want %.0f", key, got, least)
					}
				}
				checkWasted(t, tallies, want.wasted)
				if most := modelShards * modelReplicas * (DefaultQueueLimit + modelSlots) * 2; peak > most {
					t.Errorf("%d sub-requests at once, want at most %d", peak, most)
				}
			})
		}
	}
}

// checkUntouched fails when less than 99 % of the queries were answered whole or the 99th percentile of the latency
// exceeds that in calm by more than the factor.
func checkUntouched(t *testing.T, key string, calm, flooded *tally, slower float64) {
	t.Helper()
	if flooded.whole*100 < flooded.offered*99 {
		t.Errorf("%s: %d of %d queries were answered whole", key, flooded.whole, flooded.offered)
	}
	if bound := time.Duration(float64(calm.p99()) * slower); flooded.p99() > bound {
		t.Errorf("%s: p99 %s, want at most %s", key, flooded.p99(), bound)
	}
}

func checkWasted(t *testing.T, tallies map[string]*tally, most float64) {
	t.Helper()
	ran, wasted := 0, 0
	for priority := range swrule.Priority(swrule.Priorities) {
		ran += tallies[priority.String()].ran
		wasted += tallies[priority.String()].wasted
	}
	if float64(wasted) > most*float64(ran) {
		t.Errorf("%d of %d sub-requests that ran were wasted", wasted, ran)
	}
}

// TestFloodTable prints docs/measurements/admission.md's table when -flood.table is given.
func TestFloodTable(t *testing.T) {
	if !*floodTable {
		t.Skip("run with -flood.table to print the table")
	}
	fmt.Fprintln(os.Stdout, "| flood | shedding | priority | offered/s | whole/s | refused/s | cut/s | wasted | p99 | most at once |")
	fmt.Fprintln(os.Stdout, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, shedding := range []string{"queue alone", "cohort", "cohort, Direct"} {
		for _, test := range floodCases(1) {
			t.Run(shedding+"/"+test.name, func(t *testing.T) {
				test.scenario.cohorts = shedding != "queue alone"
				test.scenario.direct = shedding == "cohort, Direct"
				tallies, peak := runModel(t, test.scenario)
				printRows(test.name, shedding, tallies, peak)
			})
		}
	}
}

func printRows(name, shedding string, tallies map[string]*tally, peak int) {
	seconds := (floodTotal - floodCounted).Seconds()
	for priority := range swrule.Priority(swrule.Priorities) {
		tally := tallies[priority.String()]
		fmt.Fprintf(os.Stdout, "| %s | %s | %s | %.0f | %.0f | %.0f | %.0f | %.1f %% | %.1f ms | %d |\n", name, shedding, priority,
			float64(tally.offered)/seconds, float64(tally.whole)/seconds, float64(tally.refused)/seconds,
			float64(tally.cut)/seconds, 100*float64(tally.wasted)/float64(max(1, tally.ran)),
			float64(tally.p99().Microseconds())/1000, peak)
	}
}
