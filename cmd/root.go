// Package cmd implements the command line, with one file per command.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the command line. docs/operate/command-line.md lists them.
const (
	exitOK     = 0
	exitFailed = 1
)

// exitError is an error that ends the program with an exit code other than exitFailed.
type exitError struct {
	code int
	err  error
}

func (err *exitError) Error() string {
	return err.err.Error()
}

func (err *exitError) Unwrap() error {
	return err.err
}

// Execute runs the command line, prints its error to errOut, and returns the exit code.
func Execute(args []string, out, errOut io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "sycamorewall: "+err.Error())
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "sycamorewall",
		Short:         "A query tier over many shards, configured by files under version control",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newSettingsCommand(), newSearchCommand(), newStatusCommand(), newVersionCommand(), newExplainCommand())
	root.AddCommand(newRulesCommand(), newConfigCommand())
	return root
}
