package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swsetting"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabcheck"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabfleet"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabscenario"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabsoak"
)

// flags holds the flags that the commands share.
type flags struct {
	user         string
	seed         uint64
	duration     time.Duration
	json         bool
	spread       bool
	binary       string
	directory    string
	placement    string
	hedgePercent float64
	shedByCohort bool
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "lab", Short: "Run the whole system with simulated clients, backend servers and platform",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newDemoCommand(), newUpCommand(), newRunCommand(), newListCommand(), newCompareCommand(), newPlotCommand(),
		newSoakCommand())
	return root
}

// addFleetFlags adds the flags that select and configure a fleet.
func (flags *flags) addFleetFlags(command *cobra.Command) {
	defaults := swsetting.Defaults()
	command.Flags().StringVar(&flags.user, "user", "kowhai", "kowhai or avellana")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of data, faults and load")
	command.Flags().BoolVar(&flags.spread, "spread", false, "turn each pool of one shard into a pool with a shard for each replica")
	command.Flags().StringVar(&flags.binary, "binary", "",
		"run the VMs as processes of this sycamorewall binary (inside this process when empty)")
	command.Flags().StringVar(&flags.directory, "logs", "",
		"directory for settings and logs of the processes (a temporary one when empty)")
	command.Flags().StringVar(&flags.placement, "placement", defaults.Query.Placement, "setting Query.Placement of the VMs")
	command.Flags().Float64Var(&flags.hedgePercent, "hedge-percent", defaults.Query.HedgePercent,
		"setting Query.HedgePercent of the VMs")
	command.Flags().BoolVar(&flags.shedByCohort, "shed-by-cohort", defaults.Admission.ShedByCohort,
		"setting Admission.ShedByCohort of the VMs")
}

func (flags *flags) addLoadFlags(command *cobra.Command, duration time.Duration) {
	command.Flags().DurationVar(&flags.duration, "duration", duration, "how long the load lasts (the scenario's duration when zero)")
	command.Flags().BoolVar(&flags.json, "json", false, "print the report as JSON")
}

func (flags *flags) applySettings(settings *swsetting.Settings) {
	settings.Query.Placement = flags.placement
	settings.Query.HedgePercent = flags.hedgePercent
	settings.Admission.ShedByCohort = flags.shedByCohort
}

// scenarioOptions returns the options of a run and a function that removes its temporary files.
func (flags *flags) scenarioOptions() (swlabscenario.Options, func(), error) {
	user, ok := swlabfleet.FindUser(flags.user)
	if !ok {
		return swlabscenario.Options{}, nil, errors.Errorf("unknown user %q; the users are kowhai and avellana", flags.user)
	}
	if flags.spread {
		user = user.SpreadOverShards()
	}
	options := swlabscenario.Options{
		User: user, Seed: flags.seed, Duration: flags.duration, ModifySettings: flags.applySettings,
		Launch: swlabfleet.LaunchInProcess(os.Stderr),
	}
	if flags.binary == "" {
		return options, func() {}, nil
	}
	directory, cleanUp := flags.directory, func() {}
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "sycamorewall-logs-"); err != nil {
			return options, nil, errors.Wrap(err, "make directory for logs")
		}
		cleanUp = func() { _ = os.RemoveAll(directory) }
	}
	options.Launch = swlabfleet.LaunchBinary(flags.binary, directory)
	return options, cleanUp, nil
}

func newDemoCommand() *cobra.Command {
	flags, gateway := &flags{}, false
	command := &cobra.Command{
		Use: "demo", Short: "Run a fleet under normal load and print the results by caller", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if gateway {
				soak := &soakCommand{config: swlabsoak.Config{
					Seed: flags.seed, Duration: flags.duration, VMs: 4, Clients: 12, WithoutFaults: true, Binary: flags.binary,
				}, seeds: 1}
				return soak.run(command)
			}
			return flags.runScenario(command, "calm")
		},
	}
	command.Flags().BoolVar(&gateway, "gateway", false,
		"run the gateway in front of the simulated users' platform instead of the search API")
	flags.addFleetFlags(command)
	flags.addLoadFlags(command, 10*time.Second)
	return command
}

func newRunCommand() *cobra.Command {
	flags := &flags{}
	command := &cobra.Command{
		Use: "run SCENARIO", Short: "Run a scenario of faults and check every guarantee", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return flags.runScenario(command, args[0]) },
	}
	flags.addFleetFlags(command)
	flags.addLoadFlags(command, 0)
	return command
}

func (flags *flags) runScenario(command *cobra.Command, name string) error {
	scenario, err := swlabscenario.Find(name)
	if err != nil {
		return err
	}
	options, cleanUp, err := flags.scenarioOptions()
	if err != nil {
		return err
	}
	defer cleanUp()
	report, err := swlabscenario.Run(command.Context(), scenario, options)
	if err != nil {
		return err
	}
	if flags.json {
		return writeJSON(command.OutOrStdout(), report)
	}
	report.Print(command.OutOrStdout())
	return nil
}

func writeJSON(out io.Writer, value any) error {
	return errors.Wrap(json.NewEncoder(out).Encode(value), "write JSON")
}

func newListCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the scenarios", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
			for _, scenario := range swlabscenario.All() {
				fmt.Fprintf(table, "%s\t%s\t%s\n", scenario.Name, scenario.Duration, scenario.Description)
			}
			return table.Flush()
		},
	}
}

// fleetAddresses is what the up command prints.
type fleetAddresses struct {
	Callers  []string
	Platform string
	Backends []string
}

func newUpCommand() *cobra.Command {
	flags := &flags{}
	command := &cobra.Command{
		Use: "up", Short: "Start a fleet, print its addresses and keep it running until interrupted", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return flags.keepFleetRunning(command) },
	}
	flags.addFleetFlags(command)
	return command
}

func (flags *flags) keepFleetRunning(command *cobra.Command) error {
	options, cleanUp, err := flags.scenarioOptions()
	if err != nil {
		return err
	}
	defer cleanUp()
	ctx := command.Context()
	fleet, err := swlabfleet.Start(ctx, swlabfleet.Config{
		User: options.User, Seed: options.Seed, Launch: options.Launch, ModifySettings: options.ModifySettings,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.AwaitReady(ctx); err != nil {
		return err
	}
	addresses := fleetAddresses{Callers: fleet.CallerURLs(), Platform: fleet.Platform.URL()}
	for _, server := range fleet.Servers("") {
		addresses.Backends = append(addresses.Backends, "http://"+server.Address().String())
	}
	if err := writeJSON(command.OutOrStdout(), addresses); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func readReport(path string) (swlabcheck.Report, error) {
	var report swlabcheck.Report
	data, err := os.ReadFile(path)
	if err != nil {
		return report, errors.Wrap(err, "read report")
	}
	return report, errors.Wrapf(json.Unmarshal(data, &report), "decode %s", path)
}

func newCompareCommand() *cobra.Command {
	return &cobra.Command{
		Use: "compare A.json B.json", Short: "Print the differences between two reports", Args: cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			before, err := readReport(args[0])
			if err != nil {
				return err
			}
			after, err := readReport(args[1])
			if err != nil {
				return err
			}
			return swlabcheck.Compare(command.OutOrStdout(), &before, &after)
		},
	}
}

func newPlotCommand() *cobra.Command {
	var out string
	command := &cobra.Command{
		Use: "plot REPORT.json", Short: "Plot latency and whole answers over time as SVG", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			report, err := readReport(args[0])
			if err != nil {
				return err
			}
			if out == "" {
				return swlabcheck.Plot(command.OutOrStdout(), &report)
			}
			file, err := os.Create(out)
			if err != nil {
				return errors.Wrap(err, "create plot")
			}
			if err := swlabcheck.Plot(file, &report); err != nil {
				return err
			}
			return errors.Wrap(file.Close(), "close plot")
		},
	}
	command.Flags().StringVarP(&out, "out", "o", "", "file to write (standard output when empty)")
	return command
}
