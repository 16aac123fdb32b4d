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

// flags are those that runs share.
type flags struct {
	user      string
	seed      uint64
	duration  time.Duration
	json      bool
	spread    bool
	binary    string
	directory string
	placement string
	hedge     float64
	cohort    bool
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "lab", Short: "Runs the whole system with stand-ins for everything around it",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newDemoCommand(), newUpCommand(), newRunCommand(), newListCommand(), newCompareCommand(), newPlotCommand(), newSoakCommand())
	return root
}

// fleetFlags adds the flags that choose a fleet.
func (flags *flags) fleetFlags(command *cobra.Command) {
	defaults := swsetting.Defaults()
	command.Flags().StringVar(&flags.user, "user", "kowhai", "kowhai or avellana")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of data, faults and load")
	command.Flags().BoolVar(&flags.spread, "spread", false, "read the pools of few replicas as shards of one replica each")
	command.Flags().StringVar(&flags.binary, "binary", "", "run the VMs as processes of this binary of sycamorewall")
	command.Flags().StringVar(&flags.directory, "logs", "", "directory for settings and logs of processes (a temporary one when empty)")
	command.Flags().StringVar(&flags.placement, "placement", defaults.Query.Placement, "setting Query.Placement of the VMs")
	command.Flags().Float64Var(&flags.hedge, "hedge-percent", defaults.Query.HedgePercent, "setting Query.HedgePercent of the VMs")
	command.Flags().BoolVar(&flags.cohort, "shed-by-cohort", defaults.Admission.ShedByCohort, "setting Admission.ShedByCohort of the VMs")
}

func (flags *flags) loadFlags(command *cobra.Command, duration time.Duration) {
	command.Flags().DurationVar(&flags.duration, "duration", duration, "how long the load lasts (the scenario's own when zero)")
	command.Flags().BoolVar(&flags.json, "json", false, "print one JSON object")
}

func (flags *flags) settings(settings *swsetting.Settings) {
	settings.Query.Placement = flags.placement
	settings.Query.HedgePercent = flags.hedge
	settings.Admission.ShedByCohort = flags.cohort
}

// options returns what a run needs, and a function that cleans up after it.
func (flags *flags) options() (swlabscenario.Options, func(), error) {
	user, ok := swlabfleet.FindUser(flags.user)
	if !ok {
		return swlabscenario.Options{}, nil, errors.Errorf("no user %q; there are kowhai and avellana", flags.user)
	}
	if flags.spread {
		user = user.SpreadOverShards()
	}
	options := swlabscenario.Options{
		User: user, Seed: flags.seed, Duration: flags.duration, ModifySettings: flags.settings, Launch: swlabfleet.LaunchInProcess(os.Stderr),
	}
	if flags.binary == "" {
		return options, func() {}, nil
	}
	directory, clean := flags.directory, func() {}
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "sycamorewall-logs-"); err != nil {
			return options, nil, errors.Wrap(err, "make directory for logs")
		}
		clean = func() { _ = os.RemoveAll(directory) }
	}
	options.Launch = swlabfleet.LaunchBinary(flags.binary, directory)
	return options, clean, nil
}

func newDemoCommand() *cobra.Command {
	flags, gateway := &flags{}, false
	command := &cobra.Command{
		Use: "demo", Short: "Run a fleet under the load of a calm day and print what callers saw", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if gateway {
				soak := &soakCommand{config: swlabsoak.Config{Seed: flags.seed, Duration: flags.duration, VMs: 4, Clients: 12, Calm: true, Binary: flags.binary}, seeds: 1}
				return soak.run(command)
			}
			return flags.run(command, "calm")
		},
	}
	command.Flags().BoolVar(&gateway, "gateway", false, "run the gateway in front of stand-ins of the users' platform instead of the search API")
	flags.fleetFlags(command)
	flags.loadFlags(command, 10*time.Second)
	return command
}

func newRunCommand() *cobra.Command {
	flags := &flags{}
	command := &cobra.Command{
		Use: "run SCENARIO", Short: "Run a scenario of faults and check every promise", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return flags.run(command, args[0]) },
	}
	flags.fleetFlags(command)
	flags.loadFlags(command, 0)
	return command
}

func (flags *flags) run(command *cobra.Command, name string) error {
	scenario, err := swlabscenario.Find(name)
	if err != nil {
		return err
	}
	options, clean, err := flags.options()
	if err != nil {
		return err
	}
	defer clean()
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

// fleetLine is what up prints.
type fleetLine struct {
	Callers  []string
	Platform string
	Backends []string
}

func newUpCommand() *cobra.Command {
	flags := &flags{}
	command := &cobra.Command{
		Use: "up", Short: "Keep a fleet running until interrupted, and print its addresses", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return flags.up(command) },
	}
	flags.fleetFlags(command)
	return command
}

func (flags *flags) up(command *cobra.Command) error {
	options, clean, err := flags.options()
	if err != nil {
		return err
	}
	defer clean()
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
	line := fleetLine{Callers: fleet.CallerURLs(), Platform: fleet.Platform.URL()}
	for _, server := range fleet.Servers("") {
		line.Backends = append(line.Backends, "http://"+server.Address().String())
	}
	if err := writeJSON(command.OutOrStdout(), line); err != nil {
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
		Use: "compare A.json B.json", Short: "Print what differs between two reports", Args: cobra.ExactArgs(2),
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
		Use: "plot REPORT.json", Short: "Draw latency and whole answers over time as SVG", Args: cobra.ExactArgs(1),
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
