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
	floodStart    = 500 * time.Millisecond
	floodDuration = 3 * time.Second
	floodWarmUp   = time.Second
)

// baseLoad returns a load of 20 % of the capacity in each priority.
func baseLoad() []load {
	var loads []load
	for priority := range swrule.Priority(swrule.Priorities) {
		for caller := range modelCallers {
			loads = append(loads, load{
				priority: priority, caller: fmt.Sprint(priority, "-", caller),
				rate: modelCapacity * 0.2 / modelCallers, end: floodDuration,
			})
		}
	}
	return loads
}

// flood adds load in one priority, a multiple of the capacity, divided equally among its callers.
func flood(loads []load, priority swrule.Priority, times float64) []load {
	for caller := range modelCallers {
		loads = append(loads, load{
			priority: priority, caller: fmt.Sprint(priority, "-", caller),
			rate: modelCapacity * times / modelCallers, start: floodStart, end: floodDuration,
		})
	}
	return loads
}

func runModel(t *testing.T, scenario scenario) (tallies map[string]*tally, maxInFlight int) {
	scenario.duration, scenario.warmUp = floodDuration, floodWarmUp
	synctest.Test(t, func(*testing.T) {
		model := newModel(scenario)
		tallies = model.run()
		maxInFlight = model.maxInFlight
	})
	return tallies, maxInFlight
}

type floodCase struct {
	name     string
	scenario scenario
}

func floodCases(seed uint64) []floodCase {
	cases := []floodCase{{"calm", scenario{loads: baseLoad()}}}
	for _, times := range []float64{2, 5, 10} {
		cases = append(cases,
			floodCase{fmt.Sprintf("Deferrable %gx", times), scenario{loads: flood(baseLoad(), swrule.Deferrable, times)}},
			floodCase{fmt.Sprintf("Urgent %gx", times), scenario{loads: flood(baseLoad(), swrule.Urgent, times)}},
			floodCase{fmt.Sprintf("both %gx", times), scenario{loads: flood(flood(baseLoad(), swrule.Deferrable, times), swrule.Urgent, times)}},
		)
	}
	one := append(baseLoad(), load{priority: swrule.Standard, caller: "Standard-flood", rate: 5 * modelCapacity, start: floodStart, end: floodDuration})
	cases = append(cases,
		floodCase{"one Standard caller 5x", scenario{loads: one}},
		floodCase{"Deferrable 5x, straggler", scenario{loads: flood(baseLoad(), swrule.Deferrable, 5), hasStraggler: true}},
		floodCase{"Deferrable 5x, a third lost", scenario{loads: flood(baseLoad(), swrule.Deferrable, 5), lostServers: 10}},
		floodCase{"Deferrable 5x, owner lost", scenario{loads: flood(baseLoad(), swrule.Deferrable, 5), ownerMoves: true}},
		floodCase{"Deferrable 2x, resent at once", scenario{loads: flood(baseLoad(), swrule.Deferrable, 2), resends: 10}},
		floodCase{"Deferrable 2x, servers take 1 of 2 slots", scenario{loads: flood(baseLoad(), swrule.Deferrable, 2), actualSlots: 1}},
	)
	for i := range cases {
		cases[i].scenario.seed = seed
	}
	return cases
}

// floodExpectation states what must hold under excessive load.
type floodExpectation struct {
	name string
	// unaffected lists the keys of the tallies whose queries must be answered completely, as under the base load.
	unaffected []string
	// maxLatencyFactor bounds the 99th percentile of their latency, as a multiple of that under the base load: 1.5 for
	// priorities more urgent than the flood, and 2 for callers that share the flood's priority, and so its queue.
	maxLatencyFactor float64
	// minCompleteRates is the minimum number of complete queries per second of a priority.
	minCompleteRates map[string]float64
	// maxWastedShare is the maximum share of the work run that may be wasted.
	maxWastedShare float64
}

// minModelShare is the fraction of its minimum share of slots that a priority must turn into complete queries.
const minModelShare = 2.0 / 3

func floodExpectations() []floodExpectation {
	shares := DefaultShares()
	least := func(priority swrule.Priority) float64 {
		return modelCapacity * float64(shares[priority]) / 100 * minModelShare
	}
	others := map[string]float64{"Standard": least(swrule.Standard), "Deferrable": least(swrule.Deferrable)}
	return []floodExpectation{
		{name: "Deferrable 5x", unaffected: []string{"calm Urgent", "calm Standard"}, maxLatencyFactor: 1.5, minCompleteRates: map[string]float64{"Deferrable": least(swrule.Deferrable)}, maxWastedShare: 0.05},
		{name: "Urgent 5x", minCompleteRates: others, maxWastedShare: 0.05},
		{name: "both 5x", minCompleteRates: others, maxWastedShare: 0.05},
		{name: "one Standard caller 5x", unaffected: []string{"calm Urgent", "calm Standard"}, maxLatencyFactor: 2, maxWastedShare: 0.05},
		{name: "Deferrable 5x, owner lost", unaffected: []string{"calm Urgent", "calm Standard"}, maxLatencyFactor: 1.5, maxWastedShare: 0.05},
		{name: "Deferrable 2x, resent at once", unaffected: []string{"calm Urgent", "calm Standard"}, maxLatencyFactor: 1.5, minCompleteRates: map[string]float64{"Deferrable": least(swrule.Deferrable)}, maxWastedShare: 0.05},
	}
}

func TestFloods(t *testing.T) {
	seconds := (floodDuration - floodWarmUp).Seconds()
	for seed := range uint64(*floodSeeds) {
		cases := make(map[string]scenario)
		for _, test := range floodCases(seed + 1) {
			test.scenario.shedByCohort = true
			cases[test.name] = test.scenario
		}
		base, _ := runModel(t, cases["calm"])
		for _, want := range floodExpectations() {
			t.Run(fmt.Sprintf("%s/%d", want.name, seed+1), func(t *testing.T) {
				tallies, maxInFlight := runModel(t, cases[want.name])
				for _, key := range want.unaffected {
					checkUnaffected(t, key, base[key], tallies[key], want.maxLatencyFactor)
				}
				for key, least := range want.minCompleteRates {
					if got := float64(tallies[key].complete) / seconds; got < least {
						t.Errorf("%s: %.0f complete queries per second, want at least %.0f", key, got, least)
					}
				}
				checkWasted(t, tallies, want.maxWastedShare)
				if limit := modelShards * modelReplicas * (DefaultQueueLimit + modelSlots) * 2; maxInFlight > limit {
					t.Errorf("%d sub-requests in flight, want at most %d", maxInFlight, limit)
				}
			})
		}
	}
}

// checkUnaffected fails the test if less than 99 % of the queries were answered completely, or if the 99th percentile of
// the latency exceeds that under the base load by more than the factor.
func checkUnaffected(t *testing.T, key string, base, flooded *tally, maxLatencyFactor float64) {
	t.Helper()
	if flooded.complete*100 < flooded.offered*99 {
		t.Errorf("%s: %d of %d queries were answered completely", key, flooded.complete, flooded.offered)
	}
	if bound := time.Duration(float64(base.p99()) * maxLatencyFactor); flooded.p99() > bound {
		t.Errorf("%s: p99 %s, want at most %s", key, flooded.p99(), bound)
	}
}

func checkWasted(t *testing.T, tallies map[string]*tally, maxShare float64) {
	t.Helper()
	ran, wasted := 0, 0
	for priority := range swrule.Priority(swrule.Priorities) {
		ran += tallies[priority.String()].ran
		wasted += tallies[priority.String()].wasted
	}
	if float64(wasted) > maxShare*float64(ran) {
		t.Errorf("%d of %d sub-requests that ran were wasted", wasted, ran)
	}
}

// TestFloodTable prints the table in docs/measurements/admission.md if -flood.table is given.
func TestFloodTable(t *testing.T) {
	if !*floodTable {
		t.Skip("run with -flood.table to print the table")
	}
	fmt.Fprintln(os.Stdout, "| flood | shedding | priority | offered/s | whole/s | refused/s | cut/s | wasted | p99 | most at once |")
	fmt.Fprintln(os.Stdout, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, shedding := range []string{"queue alone", "cohort", "cohort, Direct"} {
		for _, test := range floodCases(1) {
			t.Run(shedding+"/"+test.name, func(t *testing.T) {
				test.scenario.shedByCohort = shedding != "queue alone"
				test.scenario.everyVMDispatches = shedding == "cohort, Direct"
				tallies, maxInFlight := runModel(t, test.scenario)
				printRows(test.name, shedding, tallies, maxInFlight)
			})
		}
	}
}

func printRows(name, shedding string, tallies map[string]*tally, maxInFlight int) {
	seconds := (floodDuration - floodWarmUp).Seconds()
	for priority := range swrule.Priority(swrule.Priorities) {
		tally := tallies[priority.String()]
		fmt.Fprintf(os.Stdout, "| %s | %s | %s | %.0f | %.0f | %.0f | %.0f | %.1f %% | %.1f ms | %d |\n", name, shedding, priority,
			float64(tally.offered)/seconds, float64(tally.complete)/seconds, float64(tally.refused)/seconds,
			float64(tally.failed)/seconds, 100*float64(tally.wasted)/float64(max(1, tally.ran)),
			float64(tally.p99().Microseconds())/1000, maxInFlight)
	}
}
