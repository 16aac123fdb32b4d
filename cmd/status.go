package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swapp"
)

// statusCommand prints what one VM knows of itself and of the system.
type statusCommand struct {
	address string
	output  string
}

func newStatusCommand() *cobra.Command {
	status := &statusCommand{}
	command := &cobra.Command{
		Use:   "status",
		Short: "Print a VM's readiness, rules, members, draining servers and quarantined fingerprints",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return status.run(command.Context(), command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&status.address, "address", "http://127.0.0.1:8080", "URL of a VM")
	command.Flags().StringVarP(&status.output, "output", "o", outputTable, "json or table")
	return command
}

func (status *statusCommand) run(ctx context.Context, out io.Writer) error {
	var report swapp.Status
	if err := getJSON(ctx, status.address, "/v1/status", &report); err != nil {
		return err
	}
	switch status.output {
	case outputJSON:
		return printJSON(out, report)
	case outputTable:
		return printStatus(out, &report)
	default:
		return errors.Errorf("output %q is neither json nor table", status.output)
	}
}

func printStatus(out io.Writer, report *swapp.Status) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	ready := "ready"
	if !report.Ready {
		ready = "not ready: " + report.Reason
	}
	fmt.Fprintf(writer, "VM\t%s in %s (%s), %s\n", report.Name, report.DataCentre, report.Region, ready)
	fmt.Fprintf(writer, "Up\t%s, version %s\n", time.Since(report.Started).Round(time.Second), report.Version)
	fmt.Fprintf(writer, "Rules\tversion %d\n", report.RuleVersion)
	for _, document := range report.Documents {
		fmt.Fprintf(writer, "Document\t%s/%s version %d\n", document.Kind, document.Name, document.Version)
		if document.Rejected != nil {
			fmt.Fprintf(writer, "\tversion %d rejected: %s\n", document.Rejected.Version, document.Rejected.Reason)
		}
	}
	if len(report.Draining) > 0 {
		fmt.Fprintf(writer, "Draining\t%s\n", strings.Join(report.Draining, ", "))
	}
	for _, suspect := range report.Quarantine {
		fmt.Fprintf(writer, "Quarantine\t%+v\n", suspect)
	}
	fmt.Fprintf(writer, "\nMEMBER\tDATA CENTRE\tSTATE\tCALLERS\n")
	for _, member := range report.Members {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\n", member.Name, member.DataCentre, member.State, member.Caller)
	}
	return writer.Flush()
}
