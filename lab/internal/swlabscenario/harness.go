// Package swlabscenario runs a fleet under load, injects faults at given times, and reports the answers that callers received.
package swlabscenario

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sycamorewall/sycamorewall/internal/swgroup"
	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbackend"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcheck"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabfleet"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabload"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabplatform"
)

const (
	// readyTimeout bounds the time until all VMs of a fleet are ready.
	readyTimeout = 60 * time.Second
	// vmListLag is the age of the VM list that the platform returns.
	vmListLag = 3 * time.Second
)

// Scenario describes a load and a timeline of faults.
type Scenario struct {
	Name        string
	Description string
	// Duration is how long the load lasts, unless Options.Duration is set.
	Duration time.Duration
	// ModifyStreams, if not nil, modifies the user's usual load.
	ModifyStreams func(user *swlabfleet.User, duration time.Duration, streams []*swlabload.Stream) []*swlabload.Stream
	// ModifySettings, if not nil, modifies the settings of each VM.
	ModifySettings func(settings *swsetting.Settings)
	// Events lists the faults in order of time.
	Events []Event
}

// Event is a fault, or the end of one, at a given time of a run.
type Event struct {
	// AtFraction is the time of the event, as a fraction of the duration of the run.
	AtFraction float64
	Action     func(ctx context.Context, harness *Harness) error
}

// Options configures a run of a scenario.
type Options struct {
	User     swlabfleet.User
	Seed     uint64
	Duration time.Duration
	Launch   swlabfleet.Launcher
	// ModifySettings, if not nil, modifies the settings of each VM, after those of the scenario.
	ModifySettings func(settings *swsetting.Settings)
}

// Harness is a running fleet, with a record of the injected faults and of the results.
type Harness struct {
	Fleet *swlabfleet.Fleet
	User  swlabfleet.User

	mutex            sync.Mutex
	begin            time.Time
	plannedStops     []swlabcheck.Window
	rulesUnreachable []swlabcheck.Window
	results          []swlabload.Result
	ruleChangeCount  int
}

// Run runs a scenario on a new fleet and checks the guarantees.
func Run(ctx context.Context, scenario Scenario, options Options) (swlabcheck.Report, error) {
	if options.Duration == 0 {
		options.Duration = scenario.Duration
	}
	fleet, err := swlabfleet.Start(ctx, swlabfleet.Config{
		User: options.User, Seed: options.Seed, Launch: options.Launch, VMListLag: vmListLag,
		ModifySettings: func(settings *swsetting.Settings) {
			if scenario.ModifySettings != nil {
				scenario.ModifySettings(settings)
			}
			if options.ModifySettings != nil {
				options.ModifySettings(settings)
			}
		},
	})
	if err != nil {
		return swlabcheck.Report{}, err
	}
	defer fleet.Close()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := fleet.AwaitReady(ready); err != nil {
		return swlabcheck.Report{}, err
	}
	harness := &Harness{Fleet: fleet, User: options.User}
	return harness.run(ctx, scenario, options)
}

func (harness *Harness) run(ctx context.Context, scenario Scenario, options Options) (swlabcheck.Report, error) {
	streams := make([]*swlabload.Stream, len(options.User.Streams))
	for i := range options.User.Streams {
		stream := options.User.Streams[i]
		streams[i] = &stream
	}
	if scenario.ModifyStreams != nil {
		streams = scenario.ModifyStreams(&options.User, options.Duration, streams)
	}
	harness.begin = time.Now()
	group := swgroup.New(ctx)
	var eventErr error
	group.Go(func(ctx context.Context) { eventErr = harness.runEvents(ctx, scenario.Events, options.Duration) })
	lines := swlabload.Run(ctx, swlabload.Config{
		Balancer: harness.Fleet.Balancer, Streams: streams, Duration: options.Duration,
		ClientDelay: options.User.ClientDelay, Seed: options.Seed, OnResult: harness.addResult,
	})
	group.Wait()
	if eventErr != nil {
		return swlabcheck.Report{}, errors.Wrapf(eventErr, "scenario %s", scenario.Name)
	}
	report := swlabcheck.NewReport(harness.evidence(), lines, harness.Fleet.Platform.Calls())
	report.Scenario, report.User, report.Seed = scenario.Name, options.User.Name, options.Seed
	report.BackendRefusals = harness.Fleet.Journal.Refusals()
	report.Duration = options.Duration.String()
	report.Timeline = swlabcheck.NewTimeline(harness.results, harness.begin, options.Duration)
	return report, nil
}

// runEvents performs each event when it is due, one after another.
func (harness *Harness) runEvents(ctx context.Context, events []Event, duration time.Duration) error {
	for _, event := range events {
		due := harness.begin.Add(time.Duration(event.AtFraction * float64(duration)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return nil
		}
		if err := event.Action(ctx, harness); err != nil {
			return errors.Wrapf(err, "event at %.2f", event.AtFraction)
		}
	}
	return nil
}

func (harness *Harness) addResult(result swlabload.Result) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.results = append(harness.results, result)
}

func (harness *Harness) evidence() *swlabcheck.Evidence {
	evidence := &swlabcheck.Evidence{
		Results: harness.results, Records: harness.Fleet.Journal.Records(), Arrivals: harness.Fleet.Journal.Arrivals(),
		Snapshots: harness.Fleet.Snapshots, PlannedStops: harness.plannedStops, RulesUnreachable: harness.rulesUnreachable,
	}
	for _, change := range harness.Fleet.RuleChanges() {
		evidence.Rules = append(evidence.Rules, swlabcheck.RuleChange(change))
	}
	return evidence
}

// urgentIndex returns the index that the urgent searches use.
func (harness *Harness) urgentIndex() string {
	return harness.User.Pools[0].Index
}

// dataCentre returns the name of a data centre by its number.
func (harness *Harness) dataCentre(number int) string {
	return harness.User.DataCentres[number].Name
}

// restartVM stops a VM gracefully, records the planned stop and starts the VM again.
func (harness *Harness) restartVM(ctx context.Context, vm *swlabfleet.VM) error {
	from := time.Now()
	err := harness.Fleet.StopVM(ctx, vm)
	harness.mutex.Lock()
	harness.plannedStops = append(harness.plannedStops, swlabcheck.Window{VM: vm.Name, From: from, Until: time.Now()})
	harness.mutex.Unlock()
	if err != nil {
		return err
	}
	return harness.Fleet.StartVM(ctx, vm)
}

// markRulesUnreachable records that VMs cannot receive rules for a duration from now. The name is that of a VM, or of a data
// centre for all of its VMs.
func (harness *Harness) markRulesUnreachable(name string, duration time.Duration) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	for _, vm := range harness.Fleet.VMs {
		if vm.Name == name || vm.DataCentre.Name == name {
			harness.rulesUnreachable = append(harness.rulesUnreachable, swlabcheck.Window{
				VM: vm.Name, From: time.Now(), Until: time.Now().Add(duration + swlabcheck.MaxRuleDelay),
			})
		}
	}
}

// changeRules publishes a new version of the rule file, which differs by a rule that matches no caller.
func (harness *Harness) changeRules() error {
	harness.mutex.Lock()
	harness.ruleChangeCount++
	text := fmt.Sprintf("refuse Caller=nobody-%d   # lab, change %d\n%s", harness.ruleChangeCount, harness.ruleChangeCount, harness.User.Rules)
	harness.mutex.Unlock()
	return harness.Fleet.SetRules(text)
}

// forEachServer calls a function for every server of an index, or for all servers when the name is empty.
func (harness *Harness) forEachServer(index string, do func(server *swlabbackend.Server)) {
	for _, server := range harness.Fleet.Servers(index) {
		do(server)
	}
}

func setPlatformFault(fault swlabplatform.Fault) func(context.Context, *Harness) error {
	return func(_ context.Context, harness *Harness) error {
		harness.Fleet.Platform.SetFault(fault)
		return nil
	}
}

// Find returns the scenario with the given name.
func Find(name string) (Scenario, error) {
	var names []string
	for _, scenario := range All() {
		if scenario.Name == name {
			return scenario, nil
		}
		names = append(names, scenario.Name)
	}
	return Scenario{}, errors.Errorf("no scenario %q; the scenarios are %s", name, strings.Join(names, ", "))
}
