package cmd

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
)

// statusCommand prints what one VM knows of itself and of the system.
type statusCommand struct {
	address string
	output  outputOptions
}

func newStatusCommand() *cobra.Command {
	status := &statusCommand{}
	command := &cobra.Command{
		Use:   "status",
		Short: "Print a VM's readiness, rules, members, draining servers and quarantined fingerprints",
		Args:  cobra.NoArgs,
		RunE:  status.run,
	}
	command.Flags().StringVar(&status.address, "address", "http://127.0.0.1:8080", "URL of a VM")
	status.output.register(command)
	return command
}

func (status *statusCommand) run(command *cobra.Command, _ []string) error {
	var report swapp.Status
	if err := getJSON(command.Context(), status.address, "/v1/status", &report); err != nil {
		return err
	}
	return status.output.print(command, report, func(out io.Writer) { printStatus(out, &report, time.Now()) })
}
