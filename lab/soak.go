package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/lab/internal/swlabbuild"
	"github.com/sycamorewall/sycamorewall/lab/internal/swlabsoak"
)

// soakCommand runs the soak test for a range of seeds.
type soakCommand struct {
	config  swlabsoak.Config
	seeds   int
	verbose bool
	// features holds the names of the features of the runs.
	features []string
}

// defaultFeatures is empty while the gateway does not have the features.
var defaultFeatures []string

func newSoakCommand() *cobra.Command {
	soak := &soakCommand{}
	command := &cobra.Command{
		Use: "soak", Short: "Run the gateway as processes under random faults and check every guarantee", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return soak.run(command) },
	}
	command.Flags().Uint64Var(&soak.config.Seed, "seed", 1, "first seed")
	command.Flags().IntVar(&soak.seeds, "seeds", 1, "number of seeds")
	command.Flags().DurationVar(&soak.config.Duration, "duration", 10*time.Second, "how long faults are injected")
	command.Flags().IntVar(&soak.config.VMs, "vms", 4, "number of VMs")
	command.Flags().IntVar(&soak.config.Clients, "clients", 12, "number of clients")
	command.Flags().StringVar(&soak.config.Focus, "focus", "",
		"one of the series of faults has only those whose name contains this text, such as \"older copy\"")
	command.Flags().StringSliceVar(&soak.features, "features", defaultFeatures,
		"parts of the gateway that are used and whose rules are checked besides: homes, evacuations, cold, tenants, or all")
	command.Flags().StringVar(&soak.config.Binary, "binary", "", "binary of sycamorewall; built when empty")
	command.Flags().StringVar(&soak.config.Directory, "logs", "",
		"directory for logs; when empty, a temporary one that is removed after a run without violations")
	command.Flags().BoolVar(&soak.verbose, "verbose", false, "print each fault")
	return command
}

func (soak *soakCommand) run(command *cobra.Command) error {
	out := command.OutOrStdout()
	var err error
	if soak.config.Features, err = swlabsoak.ParseFeatures(soak.features); err != nil {
		return err
	}
	directory := soak.config.Directory
	if directory == "" {
		temporary, err := os.MkdirTemp("", "sycamorewall-soak-")
		if err != nil {
			return errors.Wrap(err, "make directory for logs")
		}
		directory = temporary
	}
	if soak.config.Binary == "" {
		soak.config.Binary = filepath.Join(directory, "sycamorewall")
		if err := swlabbuild.Build(command.Context(), soak.config.Binary); err != nil {
			return err
		}
	}
	violations := 0
	for range soak.seeds {
		config := soak.config
		config.Out = io.Discard
		if soak.verbose {
			config.Out = out
		}
		config.Directory = filepath.Join(directory, fmt.Sprintf("seed-%d", config.Seed))
		if err := os.MkdirAll(config.Directory, 0o700); err != nil {
			return errors.Wrap(err, "make directory for logs")
		}
		report, err := swlabsoak.Run(command.Context(), config)
		if err != nil {
			return errors.Wrapf(err, "seed %d", config.Seed)
		}
		fmt.Fprintf(out,
			"seed %d: %d faults, %d requests, %d served, %d refused, %d failed, median %s, 99th percentile %s, %d violations\n",
			report.Seed, report.Faults, report.Requests, report.Served, report.Refused, report.Failed,
			report.MedianLatency.Round(time.Millisecond), report.P99Latency.Round(time.Millisecond), len(report.Violations))
		for _, violation := range report.Violations {
			fmt.Fprintln(out, "  "+violation)
		}
		violations += len(report.Violations)
		soak.config.Seed++
	}
	if violations > 0 {
		return errors.Errorf("%d violations; logs are in %s", violations, directory)
	}
	if soak.config.Directory == "" {
		return errors.Wrap(os.RemoveAll(directory), "remove logs")
	}
	return nil
}
