package cmd

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/sycamorewall/sycamorewall/internal/swexplain"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST-ID [LOG...]",
		Short: "Explain the outcome of a gateway request from the logs of VMs",
		Long:  "Reads the named log files, or standard input if none is named. Prints the log lines of the request in order, what the VM learned around that time, and the cause of the outcome.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			logs, closeLogs, err := openLogs(command.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			defer closeLogs()
			explanation, err := swexplain.Explain(args[0], logs...)
			if err != nil {
				return err
			}
			return printExplanation(command.OutOrStdout(), &explanation)
		},
	}
}

// openLogs opens the named files, or returns in if there are none. The returned function closes the files.
func openLogs(in io.Reader, paths []string) ([]io.Reader, func(), error) {
	if len(paths) == 0 {
		return []io.Reader{in}, func() {}, nil
	}
	var logs []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, errors.Wrap(err, "open log")
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeAll, nil
}

// printExplanation prints the request's log lines with their attempts, what the VM learned around that time, and the cause.
func printExplanation(out io.Writer, explanation *swexplain.Explanation) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i := range explanation.RequestLines {
		line := &explanation.RequestLines[i]
		fmt.Fprintf(table, "%s\t%s\t%s\tstatus %d %s\tconfiguration %d\tafter %.1f ms\n",
			line.Time.Format(time.RFC3339Nano), line.VM, line.Message, line.Status, line.Code, line.Config, line.Took)
		if line.Rules > 0 {
			fmt.Fprintf(table, "\t\trule at line %d of version %d, caller %s\n", line.Rule, line.Rules, line.Caller)
		}
		if len(line.Without) > 0 {
			fmt.Fprintf(table, "\t\tno replica of %s\n", strings.Join(line.Without, ", "))
		}
		if len(line.Homes) > 0 {
			fmt.Fprintf(table, "\t\tonly in the regions %s\n", strings.Join(line.Homes, ", "))
		}
		for _, replica := range line.Capacity {
			fmt.Fprintf(table, "\t\treplica %s\n", replica)
		}
		for _, attempt := range line.Attempts {
			fmt.Fprintf(table, "\t\t%s\n", attempt)
		}
	}
	if len(explanation.RelatedLines) > 0 {
		fmt.Fprintln(table, "what the VM learned around that time:")
	}
	for i := range explanation.RelatedLines {
		line := &explanation.RelatedLines[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", line.Time.Format(time.RFC3339Nano), line.VM, line.Message,
			strings.TrimSpace(strings.Join([]string{line.Replica, line.DataCentre, line.Peer, line.Kind, strings.Join(line.Gone, " "), line.Position.String()}, " ")))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	_, err := fmt.Fprintln(out, "cause: "+explanation.Cause)
	return errors.Wrap(err, "print")
}
