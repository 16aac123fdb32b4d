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
		Short: "Tell from the logs of VMs what became of a request of the gateway, and why",
		Long:  "Reads the logs that are named, or standard input when none is, and prints the lines of one request in order, what the VM believed at that time, and the cause in words.",
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
			return printStory(command.OutOrStdout(), &explanation)
		},
	}
}

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

func printStory(out io.Writer, explanation *swexplain.Explanation) error {
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
			strings.TrimSpace(strings.Join([]string{line.Replica, line.Peer, line.Kind, strings.Join(line.Gone, " ")}, " ")))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	_, err := fmt.Fprintln(out, "cause: "+explanation.Cause)
	return errors.Wrap(err, "print")
}
