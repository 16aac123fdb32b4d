package cmd

import (
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
)

// statusCommand prints the status of one VM.
type statusCommand struct {
	vm     vmOptions
	output outputOptions
}

func newStatusCommand() *cobra.Command {
	status := &statusCommand{}
	command := &cobra.Command{
		Use:   "status",
		Short: "Print a VM's readiness, rules, members, draining servers and quarantined fingerprints",
		Args:  cobra.NoArgs,
		RunE:  status.run,
	}
	status.vm.addFlags(command)
	status.output.addFlags(command)
	return command
}

func (status *statusCommand) run(command *cobra.Command, _ []string) error {
	var report swapp.Status
	if err := status.vm.getJSON(command.Context(), "/v1/status", &report); err != nil {
		return err
	}
	return status.output.print(command, report, func(out io.Writer) { printStatus(out, &report, time.Now()) })
}
