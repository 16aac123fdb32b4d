package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swcheck"
	"github.com/sycamorewall/sycamorewall/internal/swplatform"
	"github.com/sycamorewall/sycamorewall/internal/swreplica"
	"github.com/sycamorewall/sycamorewall/internal/swroute"
	"github.com/sycamorewall/sycamorewall/pkg/swrule"
	"github.com/sycamorewall/sycamorewall/platform"
)

func newConfigCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Work with the gateway's configuration of routes, services and tenants",
	}
	command.AddCommand(newConfigCheckCommand().command)
	return command
}

// configCheckCommand checks a configuration before it is written to the platform's store.
type configCheckCommand struct {
	command  *cobra.Command
	platform platformOptions
	output   outputOptions
	json     bool
	// inForce and servers name files that take the place of what the store holds; empty for none.
	inForce string
	servers string
	// regions maps data centres to their regions, as Gateway.Regions in the settings does; empty if they are not known.
	regions map[string]string
}

// checkedConfig is the result of checking a configuration.
type checkedConfig struct {
	File string
	swcheck.Report
}

func newConfigCheckCommand() *configCheckCommand {
	check := &configCheckCommand{}
	check.command = &cobra.Command{
		Use:   "check [FILE]",
		Short: "Check a configuration, and show what it changes for callers",
		Long: "Checks a configuration in the platform's encoding from a file, or from standard input, and lists errors, entries without effect, " +
			"contradicting limits and the differences from the configuration in force. No key is printed. " +
			"If a platform URL is given, the configuration in force and the backend servers are read from its store.",
		Args: cobra.MaximumNArgs(1),
		RunE: check.run,
	}
	check.platform.addCallFlags(check.command)
	check.output.addFlags(check.command)
	flags := check.command.Flags()
	flags.BoolVar(&check.json, "json", false, "print JSON, as --output json")
	flags.StringVar(&check.inForce, "in-force", "", "file with the configuration in force, in place of the store's")
	flags.StringVar(&check.servers, "servers", "", "file with a listing of the backend servers' entries, in place of the store's")
	flags.StringToStringVar(&check.regions, "regions", nil, "regions of data centres, such as akl-a=north,chc-a=south; allowed regions are checked only with it")
	return check
}

func (check *configCheckCommand) run(command *cobra.Command, args []string) error {
	path := standardInput
	if len(args) > 0 {
		path = args[0]
	}
	if check.json {
		check.output.format = outputJSON
	}
	value, err := readInput(command, path, "read configuration")
	if err != nil {
		return err
	}
	result := checkedConfig{File: path}
	config := swcheck.Config{Names: platform.ConfigNames}
	if config.Table, err = platform.DecodeTableConfig(value); err != nil {
		place, fault := platform.DescribeDecodeError(value, err)
		result.Findings = []swcheck.Finding{{Severity: swrule.Error, Place: place, Fault: fault, Fix: "VMs ignore such a configuration; correct the file"}}
		return check.finish(command, &result)
	}
	config.Unread = platform.UnreadFields(value)
	if len(check.regions) > 0 {
		config.Regions = check.regions
	}
	// Findings about the file alone are worth printing also when the rest can't be read.
	referenceErr := check.readReferences(command, &config)
	result.Report = swcheck.Check(config)
	if err := check.finish(command, &result); err != nil {
		return err
	}
	return referenceErr
}

// finish prints the result, and returns an error with exitProblems if the configuration has errors.
func (check *configCheckCommand) finish(command *cobra.Command, result *checkedConfig) error {
	if err := check.output.print(command, result, func(out io.Writer) { printCheckedConfig(out, result) }); err != nil {
		return err
	}
	if result.HasErrors() {
		return &exitError{code: exitProblems, err: errors.Errorf("%s has errors", result.File)}
	}
	return nil
}

func printCheckedConfig(out io.Writer, result *checkedConfig) {
	for _, finding := range result.Findings {
		fmt.Fprintf(out, "%s: %s\n", result.File, finding)
	}
	if result.InForce == 0 {
		return
	}
	fmt.Fprintf(out, "%d changes from version %d, which is in force\n", len(result.Changes), result.InForce)
	for _, change := range result.Changes {
		fmt.Fprintf(out, "  %s\n", change)
	}
}

// readInput reads a file, or standard input when path is standardInput.
func readInput(command *cobra.Command, path, operation string) ([]byte, error) {
	if path == standardInput {
		value, err := io.ReadAll(command.InOrStdin())
		return value, errors.Wrap(err, "read standard input")
	}
	value, err := os.ReadFile(path)
	return value, errors.Wrap(err, operation)
}

// readReferences reads the configuration in force and the backend servers from files, or from the store if there is a platform URL.
func (check *configCheckCommand) readReferences(command *cobra.Command, config *swcheck.Config) error {
	var store *platform.Store
	if check.platform.url != "" && (check.inForce == "" || check.servers == "") {
		client, err := check.platform.client()
		if err != nil {
			return err
		}
		defer client.Close()
		store = platform.NewStore(client, swplatform.NewEraTracker(zerolog.Nop()))
	}
	var err error
	if config.InForce, err = check.readInForce(command, store); err != nil {
		return err
	}
	config.Entries, err = check.readServers(command, store, config.Regions)
	return err
}

// readInForce returns the configuration in force, or nil if there is none or nowhere to read it from.
func (check *configCheckCommand) readInForce(command *cobra.Command, store *platform.Store) (*swroute.TableConfig, error) {
	var value []byte
	var err error
	switch {
	case check.inForce != "":
		value, err = readInput(command, check.inForce, "read configuration in force")
	case store != nil:
		value, err = retryRead(command.Context(), &check.platform, func(ctx context.Context) ([]byte, error) {
			return store.GetObject(ctx, platform.KindConfig, platform.ConfigName, false)
		})
		switch {
		case errors.Is(err, swplatform.ErrNotFound):
			return nil, nil
		case errors.Is(err, swplatform.ErrMalformedResponse):
			// The decoder's message may quote a part of a key.
			return nil, &exitError{code: exitUnavailable, err: errors.New("read configuration in force: the store's response is malformed")}
		}
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	table, err := platform.DecodeTableConfig(value)
	if err != nil {
		place, fault := platform.DescribeDecodeError(value, err)
		return nil, errors.Errorf("decode configuration in force: %s: %s", place, fault)
	}
	return &table, nil
}

// readServers returns the backend servers' entries, or nil if there is nowhere to read them from.
func (check *configCheckCommand) readServers(command *cobra.Command, store *platform.Store, regions map[string]string) ([]swreplica.Entry, error) {
	if check.servers != "" {
		value, err := readInput(command, check.servers, "read backend servers")
		if err != nil {
			return nil, err
		}
		entries, err := platform.DecodeServers(value, regions)
		return entries, errors.Wrap(err, check.servers)
	}
	if store == nil {
		return nil, nil
	}
	objects, err := retryRead(command.Context(), &check.platform, func(ctx context.Context) ([]swplatform.Object, error) {
		objects, _, err := store.ListObjects(ctx, platform.KindServers)
		return objects, err
	})
	if err != nil {
		return nil, err
	}
	entries := make([]swreplica.Entry, 0, len(objects))
	for _, object := range objects {
		if entry, ok := platform.DecodeServer(object.Name, object.Value, regions); ok && !object.Deleted {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}
