package cmd

import (
	"encoding/json"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// columnGap is the number of spaces between columns of a table.
const columnGap = 2

// outputForm is the form of output that a flag chooses.
type outputForm string

// The forms of output.
const (
	outputTable outputForm = "table"
	outputJSON  outputForm = "json"
)

// String returns the form's name.
func (form *outputForm) String() string {
	return string(*form)
}

// Set takes a form by name, so that a wrong one ends the command before it does anything.
func (form *outputForm) Set(name string) error {
	switch outputForm(name) {
	case outputTable, outputJSON:
		*form = outputForm(name)
		return nil
	}
	return errors.Errorf("%q is neither json nor table", name)
}

// Type names the values in the help.
func (form *outputForm) Type() string {
	return "form"
}

// outputOptions are the flags of commands that print results.
type outputOptions struct {
	form outputForm
}

func (options *outputOptions) register(command *cobra.Command) {
	options.form = outputTable
	command.Flags().VarP(&options.form, "output", "o", "form of the output: table or json")
}

// print writes value as JSON, or calls table to write it for people. Tabs end the columns of a table.
func (options *outputOptions) print(command *cobra.Command, value any, table func(out io.Writer)) error {
	if options.form == outputJSON {
		return printJSON(command.OutOrStdout(), value)
	}
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, columnGap, ' ', 0)
	table(writer)
	return errors.Wrap(writer.Flush(), "print table")
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}
