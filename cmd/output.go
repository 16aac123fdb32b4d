package cmd

import (
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// outputOptions are the flags of commands that print results.
type outputOptions struct {
	form string
}

func (options *outputOptions) register(command *cobra.Command) {
	command.Flags().StringVarP(&options.form, "output", "o", outputTable, "form of the output: table or json")
}

// print writes value as JSON, or calls table to write it for people. Tabs end the columns of a table.
func (options *outputOptions) print(command *cobra.Command, value any, table func(out io.Writer)) error {
	switch options.form {
	case outputJSON:
		return printJSON(command.OutOrStdout(), value)
	case outputTable:
		writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, columnGap, ' ', 0)
		table(writer)
		return errors.Wrap(writer.Flush(), "write output")
	}
	return errors.Errorf("output %q is neither json nor table", options.form)
}
