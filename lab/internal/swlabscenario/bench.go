// Package swlabscenario runs a fleet under load and a timeline of faults, and reports what callers saw.
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
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 60 * time.Second
	// listLag is how old the platform's VM list is.
	listLag = 3 * time.Second
)

// Scenario is a load and a timeline of faults.
type Scenario struct {
	Name  string
	About string
	// Duration is how long the load lasts unless the run says otherwise.
	Duration time.Duration
	// Streams alters the load of a calm day; it may be nil.
	Streams func(user *swlabfleet.User, duration time.Duration, streams []*swlabload.Stream) []*swlabload.Stream
	// Settings alters the settings of VMs; it may be nil.
	Settings func(settings *swsetting.Settings)
	// Events are in order of time.
	Events []Event
}

// Event is something that happens during a run.
type Event struct {
	// At is when it happens, as a share of the duration.
	At float64
	Do func(ctx context.Context, bench *Bench) error
}

// Options say how to run a scenario.
type Options struct {
	User     swlabfleet.User
	Seed     uint64
	Duration time.Duration
	Launch   swlabfleet.Launcher
	// Settings alters the settings of VMs; it may be nil.
	Settings func(settings *swsetting.Settings)
}

// Bench is a fleet with a record of what was done to it.
type Bench struct {
	Fleet *swlabfleet.Fleet
	User  swlabfleet.User

	mutex   sync.Mutex
	begin   time.Time
	stops   []swlabcheck.Window
	cutOff  []swlabcheck.Window
	results []swlabload.Result
	texts   int
}

// Run runs a scenario and checks the promises.
func Run(ctx context.Context, scenario Scenario, options Options) (swlabcheck.Report, error) {
	if options.Duration == 0 {
		options.Duration = scenario.Duration
	}
	fleet, err := swlabfleet.Start(ctx, swlabfleet.Config{
		User: options.User, Seed: options.Seed, Launch: options.Launch, ListLag: listLag,
		Change: func(settings *swsetting.Settings) {
			if scenario.Settings != nil {
				scenario.Settings(settings)
			}
			if options.Settings != nil {
				options.Settings(settings)
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
	bench := &Bench{Fleet: fleet, User: options.User}
	return bench.run(ctx, scenario, options)
}

func (bench *Bench) run(ctx context.Context, scenario Scenario, options Options) (swlabcheck.Report, error) {
	streams := make([]*swlabload.Stream, len(options.User.Streams))
	for i := range options.User.Streams {
		stream := options.User.Streams[i]
		streams[i] = &stream
	}
	if scenario.Streams != nil {
		streams = scenario.Streams(&options.User, options.Duration, streams)
	}
	bench.begin = time.Now()
	group := swgroup.New(ctx)
	var eventErr error
	group.Go(func(ctx context.Context) { eventErr = bench.play(ctx, scenario.Events, options.Duration) })
	lines := swlabload.Run(ctx, swlabload.Config{
		Balancer: bench.Fleet.Balancer, Streams: streams, Duration: options.Duration,
		ClientDelay: options.User.ClientDelay, Seed: options.Seed, Observe: bench.observe,
	})
	group.Wait()
	if eventErr != nil {
		return swlabcheck.Report{}, errors.Wrapf(eventErr, "scenario %s", scenario.Name)
	}
	report := swlabcheck.NewReport(bench.evidence(), lines, bench.Fleet.Platform.Calls())
	report.Scenario, report.User, report.Seed = scenario.Name, options.User.Name, options.Seed
	report.BackendRefusals = bench.Fleet.Journal.Refusals()
	report.Duration = options.Duration.String()
	report.Timeline = swlabcheck.NewTimeline(bench.results, bench.begin, options.Duration)
	return report, nil
}

// play does each event at its time, one after another.
func (bench *Bench) play(ctx context.Context, events []Event, duration time.Duration) error {
	for _, event := range events {
		due := bench.begin.Add(time.Duration(event.At * float64(duration)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return nil
		}
		if err := event.Do(ctx, bench); err != nil {
			return errors.Wrapf(err, "event at %.2f", event.At)
		}
	}
	return nil
}

func (bench *Bench) observe(result swlabload.Result) {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	bench.results = append(bench.results, result)
}

func (bench *Bench) evidence() *swlabcheck.Evidence {
	evidence := &swlabcheck.Evidence{
		Results: bench.results, Records: bench.Fleet.Journal.Records(), Arrivals: bench.Fleet.Journal.Arrivals(),
		Snapshots: bench.Fleet.Snapshots, Stops: bench.stops, CutOff: bench.cutOff,
	}
	for _, change := range bench.Fleet.RuleChanges() {
		evidence.Rules = append(evidence.Rules, swlabcheck.RuleChange(change))
	}
	return evidence
}

// index returns the index of the most urgent work.
func (bench *Bench) index() string {
	return bench.User.Pools[0].Index
}

// dataCentre returns the name of a data centre.
func (bench *Bench) dataCentre(number int) string {
	return bench.User.DataCentres[number].Name
}

// restart stops a VM gracefully and starts it again.
func (bench *Bench) restart(ctx context.Context, vm *swlabfleet.VM) error {
	from := time.Now()
	err := bench.Fleet.StopVM(ctx, vm)
	bench.mutex.Lock()
	bench.stops = append(bench.stops, swlabcheck.Window{VM: vm.Name, From: from, Until: time.Now()})
	bench.mutex.Unlock()
	if err != nil {
		return err
	}
	return bench.Fleet.StartVM(ctx, vm)
}

// cannotLearn notes that the VMs of a data centre, or one VM, cannot learn of rules from now for a time.
func (bench *Bench) cannotLearn(match string, lasting time.Duration) {
	bench.mutex.Lock()
	defer bench.mutex.Unlock()
	for _, vm := range bench.Fleet.VMs {
		if vm.Name == match || vm.DataCentre.Name == match {
			bench.cutOff = append(bench.cutOff, swlabcheck.Window{
				VM: vm.Name, From: time.Now(), Until: time.Now().Add(lasting + swlabcheck.RuleGrace),
			})
		}
	}
}

// changeRules accepts another version of the rule file.
func (bench *Bench) changeRules() error {
	bench.mutex.Lock()
	bench.texts++
	text := fmt.Sprintf("refuse Caller=nobody-%d   # lab, change %d\n%s", bench.texts, bench.texts, bench.User.Rules)
	bench.mutex.Unlock()
	return bench.Fleet.SetRules(text)
}

// eachServer does something to every server of an index.
func (bench *Bench) eachServer(index string, do func(server *swlabbackend.Server)) {
	for _, server := range bench.Fleet.Servers(index) {
		do(server)
	}
}

func setPlatform(fault swlabplatform.Fault) func(context.Context, *Bench) error {
	return func(_ context.Context, bench *Bench) error {
		bench.Fleet.Platform.SetFault(fault)
		return nil
	}
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, error) {
	var names []string
	for _, scenario := range All() {
		if scenario.Name == name {
			return scenario, nil
		}
		names = append(names, scenario.Name)
	}
	return Scenario{}, errors.Errorf("no scenario %q; there are %s", name, strings.Join(names, ", "))
}
