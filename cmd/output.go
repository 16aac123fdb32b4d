package cmd

import (
	"encoding/json"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// columnPadding is the number of spaces between columns of a table.
const columnPadding = 2

// outputFormat is the value of the flag --output.
type outputFormat string

// The output formats.
const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// String returns the format's name.
func (form *outputFormat) String() string {
	return string(*form)
}

// Set selects a format by name. An unknown name is a flag error, which ends the command before it does anything.
func (form *outputFormat) Set(name string) error {
	switch outputFormat(name) {
	case outputTable, outputJSON:
		*form = outputFormat(name)
		return nil
	}
	return errors.Errorf("%q is neither json nor table", name)
}

// Type returns the placeholder for the value in help texts.
func (form *outputFormat) Type() string {
	return "form"
}

// outputOptions are the flags of commands that print results.
type outputOptions struct {
	format outputFormat
}

func (options *outputOptions) addFlags(command *cobra.Command) {
	options.format = outputTable
	command.Flags().VarP(&options.format, "output", "o", "output format: table or json")
}

// print writes value as JSON, or calls table to write it as text. A tab ends each cell of that text; cells are aligned in columns.
func (options *outputOptions) print(command *cobra.Command, value any, table func(out io.Writer)) error {
	if options.format == outputJSON {
		return printJSON(command.OutOrStdout(), value)
	}
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, columnPadding, ' ', 0)
	table(writer)
	return errors.Wrap(writer.Flush(), "print table")
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}
